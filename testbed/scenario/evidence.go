package scenario

import (
	"fmt"
	"os"
	"strings"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
)

const (
	sampleInterval = 500 * time.Millisecond
	// evidenceLifetimeMs is the age of the evidence from which on a gateway does not select a server.
	evidenceLifetimeMs = 2500
)

// evidence counts samples of servers known to a gateway, in other regions (far) and in its own region (near). The
// outdated ones are those that the gateway must not select because its evidence is too old.
type evidence struct {
	far, farOutdated   int
	near, nearOutdated int
}

// sampleEvidence reads /servers of every gateway periodically until the load ends.
func (r *run) sampleEvidence() {
	var e evidence
	for r.isRunning() {
		for _, g := range r.setup.cluster.Setup.Gateways {
			r.addEvidence(&e, g)
		}
		r.pause(sampleInterval)
	}
	r.note(fmt.Sprintf("evidence too old to select a server: %d of %d samples in other regions, %d of %d in the own region",
		e.farOutdated, e.far, e.nearOutdated, e.near))
}

func (r *run) addEvidence(e *evidence, g localsetup.Instance) {
	servers, err := harness.ListServers(g)
	if err != nil {
		r.t.Errorf("servers: %v", err)
	}
	for _, s := range servers {
		outdated := 0
		if s.EvidenceAgeMs >= evidenceLifetimeMs {
			outdated = 1
		}
		if s.Region == g.Region {
			e.near++
			e.nearOutdated += outdated
		} else {
			e.far++
			e.farOutdated += outdated
		}
	}
}

// noteLogEvents counts the suspected fallbacks and ejections in the logs of the gateways.
func (r *run) noteLogEvents() {
	counts := map[string]int{}
	for _, g := range r.setup.cluster.Setup.Gateways {
		text, err := os.ReadFile(r.setup.cluster.Process(g.Name).Log)
		if err != nil {
			r.t.Error(err)
			continue
		}
		for _, event := range []string{"server_fell_back", "server_ejected"} {
			counts[event] += strings.Count(string(text), event)
		}
	}
	if len(counts) > 0 {
		r.note(fmt.Sprintf("events at all gateways, warm-up included: %v", counts))
	}
}
