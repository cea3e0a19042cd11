package process

import (
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/journal"
	"heatherwall.example/testbed/load"
	"heatherwall.example/testbed/localsetup"
	"heatherwall.example/testbed/relay"
)

const (
	regionCallRate = 200
	// refusedCalls are sent to the cut gateway after its lease must have run out.
	refusedCalls = 40
	// cutVariable names the environment variable with the duration of the cut; the default is for CI.
	cutVariable = "HEATHERWALL_REGION_CUT"
	defaultCut  = 5 * time.Second
	// healBound is the time after the end of the cut from which every request is served.
	healBound = 10 * time.Second
	// watchedAfterHeal is added to healBound after a cut longer than the default, to see whether a call still fails then.
	watchedAfterHeal = 5 * time.Second
)

// Archive runs at most once and in the far region only, while its claims are in the near one: each of its requests
// crosses the cut.
const (
	archive     = "archive"
	archivePath = "/archive"
)

// archiveDocument is the test document with the archive, which is made from the ledger.
func archiveDocument(t *testing.T) string {
	t.Helper()
	document := harness.Document()
	_, rest, _ := strings.Cut(document, "  ledger:\n")
	ledger, _, found := strings.Cut(rest, "  vault:\n")
	if !found {
		t.Fatal("the test document has no ledger in front of the vault")
	}
	text := strings.NewReplacer("/ledger", archivePath, "idempotent: false", "idempotent: false, run_in: ["+harness.FarRegion+"]").Replace(ledger)
	return document + "  " + archive + ":\n" + text
}

// cutRegions silently drops all traffic of the system between the two regions.
func cutRegions(t *testing.T, c *harness.Cluster, d relay.Direction) {
	t.Helper()
	instances := append(append([]localsetup.Instance{}, c.Setup.Controls...), c.Setup.Gateways...)
	for _, near := range instances {
		for _, far := range instances {
			if near.Region == harness.NearRegion && far.Region == harness.FarRegion {
				c.Cut(t, near.Name, far.Name, d)
			}
		}
	}
}

func gatewayIn(t *testing.T, c *harness.Cluster, region string) localsetup.Instance {
	t.Helper()
	for _, g := range c.Setup.Gateways {
		if g.Region == region {
			return g
		}
	}
	t.Fatalf("no gateway in %s", region)
	return localsetup.Instance{}
}

func cutDuration(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv(cutVariable)
	if text == "" {
		return defaultCut
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Guards against a region without a majority that goes on serving with a configuration that may be out of date, against
// a majority that stops with it, against requests that run twice or are refused as not run because the path to their
// server was cut, and against a region that does not come back.
func TestRegionCutFromTheMajority(t *testing.T) {
	o := harness.DefaultOptions()
	o.UseRelays = true
	o.ControlPlaces = []localsetup.Place{nearFirst, nearSecond, farFirst}
	c := harness.NewCluster(t, binaries, o)
	c.Apply(t, archiveDocument(t))
	c.WaitReady(t)
	paths := newRegionPaths(t, c)
	startRegionServers(t, paths)
	calls, file := c.NewLoadOptions(t, "calls", regionCallRate, endless, seed)
	calls.Targets = append(calls.Targets, load.Target{Method: http.MethodPost, Path: archivePath, Token: harness.Token, Weight: 1, AtMostOnce: true, BodyBytes: 200})
	calls.Resends, calls.DuplicateShare, calls.Timeout = 1, 0.02, 6*time.Second
	duration := cutDuration(t)
	var cut, healed, ended int64
	during(t, calls, func() {
		awaitServed(t, file, journal.Nanotime())
		paths.cutRegions(t, relay.Both)
		cut = journal.Nanotime()
		end := time.Now().Add(duration)
		ids := changesDuringCut(t, c)
		time.Sleep(time.Until(end))
		accepted, _ := revisionOf(t, c.Operator(t), measuring)
		paths.cutRegions(t, relay.None)
		healed = journal.Nanotime()
		awaitServed(t, file, healed)
		harness.Eventually(t, limit, "the far replica follows", func() bool {
			return c.Operator(t).DocumentAt(c.Setup.Controls[2].Name).GetRevision() >= accepted
		})
		checkHistory(t, c.Operator(t), ids)
		if duration > defaultCut {
			time.Sleep(healBound + watchedAfterHeal - time.Duration(journal.Nanotime()-healed))
		}
		ended = journal.Nanotime()
	})
	c.CheckSafety(t, file)
	checkCallsOfCut(t, file, cut, healed, ended)
}

func startRegionServers(t *testing.T, p *regionPaths) {
	t.Helper()
	for _, s := range []struct {
		service string
		place   localsetup.Place
	}{
		{harness.Catalogue, nearFirst}, {harness.Catalogue, nearSecond}, {harness.Catalogue, farFirst},
		{harness.Ledger, nearFirst}, {harness.Ledger, nearSecond}, {harness.Vault, nearFirst}, {archive, farFirst},
	} {
		g := p.startServers(t, s.service, s.place, 3)
		harness.Eventually(t, limit, g.Name+" registered", g.Registered)
	}
}

// changesDuringCut has the majority accept changes, waits until the lease of the cut gateway must have run out, and
// expects it to refuse every request and to leave the platform's balancer.
func changesDuringCut(t *testing.T, c *harness.Cluster) []string {
	t.Helper()
	expired := time.Now().Add(api.ConfigurationLease + api.LeaseMargin)
	ids := applyChain(t, c.Operator(t), 0, 3)
	time.Sleep(time.Until(expired))
	far, near := gatewayIn(t, c, harness.FarRegion), gatewayIn(t, c, harness.NearRegion)
	for range refusedCalls {
		if status := harness.GetStatusAsCaller(t, "http://"+far.Callers+harness.CataloguePath, http.Header{}); status != http.StatusServiceUnavailable {
			t.Fatalf("the cut gateway answered %d after its lease ran out", status)
		}
	}
	if harness.IsReady(far) {
		t.Error("the cut gateway still asks the platform's balancer for requests")
	}
	harness.Eventually(t, limit, "the majority serves", func() bool {
		return harness.GetStatusAsCaller(t, "http://"+near.Callers+harness.CataloguePath, http.Header{}) == http.StatusOK
	})
	return ids
}

// route is a path of the load through one gateway.
type route struct{ gateway, path string }

func routeOf(c journal.Call) route { return route{c.Gateway, c.Path} }

// isForeign tells that the home regions of a request exclude the gateway, which always refuses it.
func isForeign(c journal.Call) bool { return c.Reason == "home_region" && c.Ran == journal.RanNo }

// isAboutKey tells that another sending of the same request decided the answer.
func isAboutKey(c journal.Call) bool {
	return slices.Contains([]string{"key_in_progress", "already_run", "outcome_unknown"}, c.Reason)
}

// awaitServed waits until each route that can be served has answered a request that was sent after a moment.
func awaitServed(t *testing.T, file string, after int64) {
	t.Helper()
	const routes = 3*4 - 1 // gateways, services, and the vault at the far gateway
	harness.Eventually(t, limit, "an answer on every route", func() bool {
		served := map[route]bool{}
		readCalls(t, file, func(call journal.Call) {
			if call.SentAt >= after && call.Outcome == journal.OK {
				served[routeOf(call)] = true
			}
		})
		return len(served) == routes
	})
}

func readCalls(t *testing.T, file string, visit func(journal.Call)) {
	t.Helper()
	if err := journal.Read(file, visit); err != nil {
		t.Fatal(err)
	}
}

// cutTally counts the calls of a cut by side.
type cutTally struct {
	// nearServed and nearAll count the calls at gateways of the majority whose service has servers there.
	nearServed, nearAll int
	// crossing counts the calls at the majority whose service has servers on the other side only, by what was told.
	crossing map[string]int
	// farRefused counts the calls that the cut gateway refused after its lease, farWrong those that it treated in another
	// way, by what was told.
	farRefused int
	farWrong   map[string]int
	// lastFar and lastTrouble are the last answer of the cut gateway since the cut and the last call without an answer
	// since its end.
	lastFar, lastTrouble time.Duration
	// trouble counts the calls without an answer since the end of the cut.
	trouble map[string]int
}

// checkCallsOfCut judges each call by the moments at which it was sent and answered. Calls under way at the end of the load
// are given up by the load itself.
func checkCallsOfCut(t *testing.T, file string, cut, healed, ended int64) {
	t.Helper()
	tally := cutTally{farWrong: map[string]int{}, crossing: map[string]int{}, trouble: map[string]int{}}
	readCalls(t, file, func(call journal.Call) {
		switch {
		case isForeign(call) || isAboutKey(call) || call.SentAt < cut || call.OutcomeAt >= ended:
		case call.SentAt >= healed:
			if call.Outcome != journal.OK {
				tally.lastTrouble = max(tally.lastTrouble, time.Duration(call.SentAt-healed))
				tally.trouble[string(call.Outcome)+" "+call.Reason]++
			}
		case call.GatewayRegion == harness.FarRegion:
			tally.far(call, cut, healed)
		case call.Path == archivePath:
			tally.crossing[string(call.Outcome)+" "+call.Reason+" "+call.Ran]++
		default:
			tally.nearAll++
			if call.Outcome == journal.OK {
				tally.nearServed++
			}
		}
	})
	t.Logf("cut of %s: %+v", time.Duration(healed-cut), tally)
	if tally.nearServed < tally.nearAll/2 {
		t.Errorf("the majority served %d of %d calls during the cut", tally.nearServed, tally.nearAll)
	}
	if len(tally.farWrong) > 0 {
		t.Errorf("later than %s after the cut, the cut gateway told %v", api.ConfigurationLease, tally.farWrong)
	}
	if tally.farRefused == 0 {
		t.Error("no call reached the cut gateway after its lease")
	}
	if tally.lastTrouble > healBound {
		t.Errorf("a call failed %s after the end of the cut", tally.lastTrouble)
	}
}

// far judges a call that the cut gateway got during the cut. The lease counts from the sending of a renewal, so no
// confirmed one is younger than the cut. Calls that were answered after the end of the cut prove nothing.
func (a *cutTally) far(call journal.Call, cut, healed int64) {
	since := time.Duration(call.SentAt - cut)
	if call.Outcome == journal.OK {
		a.lastFar = max(a.lastFar, since)
	}
	if since <= api.ConfigurationLease || call.OutcomeAt >= healed {
		return
	}
	if call.Outcome != journal.Refused || call.Reason != "configuration_stale" || call.Ran != journal.RanNo {
		a.farWrong[string(call.Outcome)+" "+call.Reason+" "+call.Ran]++
		return
	}
	a.farRefused++
}
