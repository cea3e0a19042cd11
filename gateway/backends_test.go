package gateway

import (
	"bytes"
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/balance"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// Guards against gateways that together accumulate more retries than the slack of the retry budget. If there are more
// gateways than retries, each may still accumulate one.
func TestRetryBurstsStayWithinTheSlack(t *testing.T) {
	for _, gateways := range []int{0, 1, 15, 24, 117} {
		for _, slack := range []float64{58, 186, 198} {
			burst := retryBurst(settings.RetryBudget{Slack: slack}, gateways)
			if sum := float64(burst) * float64(gateways); burst < 1 || sum > slack && burst > 1 {
				t.Errorf("%d gateways accumulate %d retries each; the slack is %g", gateways, burst, slack)
			}
		}
	}
}

// Guards against a new snapshot for each server of the first catalogue, which takes a tenth of a second on a small instance,
// and against a log line for each server.
func TestFirstCatalogueIsAppliedInOneBatch(t *testing.T) {
	var lines bytes.Buffer
	b := &catalogueBackends{name: "gw-1", region: "north", engine: balance.New(balance.Config{Region: "north", FailureDomain: "north-a"}),
		log: telemetry.NewLogger(&lines, telemetry.Info), counters: telemetry.NewMetrics(),
		commands: make(chan func(time.Duration)), stopped: make(chan struct{}), records: map[string]*backendRecord{}}
	ctx, cancel := context.WithCancel(t.Context())
	go b.run(ctx)
	defer func() { cancel(); <-b.stopped }()
	servers := map[string]*controlpb.BackendServer{}
	for i := range 400 {
		id := fmt.Sprint("server-", i)
		servers[id] = &controlpb.BackendServer{Id: id, Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Service: "s", Region: "north", FailureDomain: "north-a", Slots: 2, Changed: 1}
	}
	b.configure(&lease{catalogue: catalogueView{index: 1, servers: servers}})
	if n := len(b.engine.Current().ProbeTargets(&balance.Query{Now: time.Second, Service: "s", AnyRegion: true}, true)); n == 0 {
		t.Error("the engine knows no server")
	}
	if n := strings.Count(lines.String(), "\n"); n != 1 || !strings.Contains(lines.String(), `"servers":400`) {
		t.Errorf("%d lines for the first catalogue; want one with the number of servers", n)
	}
	next := maps.Clone(servers)
	delete(next, "server-0")
	next["server-1"] = &controlpb.BackendServer{Id: "server-1", Address: "10.0.0.1:80", Service: "s", State: controlpb.BackendState_BACKEND_DRAINING, Changed: 2}
	b.configure(&lease{catalogue: catalogueView{index: 2, servers: next}})
	if n := strings.Count(lines.String(), "\n"); n != 3 {
		t.Errorf("%d lines after a server left and one changed; want 3", n)
	}
}

// Guards against an odd record of the catalogue that draws all requests, can be reached by none, or removes the records
// of others; such records may be in the log already.
func TestOddRecordsNameNoServer(t *testing.T) {
	var lines bytes.Buffer
	b := &catalogueBackends{name: "gw-1", region: "north", engine: balance.New(balance.Config{Region: "north", FailureDomain: "north-a", EvidenceLifetime: noExpiry}),
		log: telemetry.NewLogger(&lines, telemetry.Info), counters: telemetry.NewMetrics(), clock: newClock(), ownAddresses: []string{"10.0.0.7:80"},
		commands: make(chan func(time.Duration)), stopped: make(chan struct{}), records: map[string]*backendRecord{}}
	ctx, cancel := context.WithCancel(t.Context())
	go b.run(ctx)
	defer func() { cancel(); <-b.stopped }()
	record := func(id, address string, slots, cold uint32) *controlpb.BackendServer {
		return &controlpb.BackendServer{Id: id, Address: address, Service: "s", Region: "north", FailureDomain: "north-a", Slots: slots, ColdMs: cold, Changed: 1}
	}
	good := record("good", "10.0.0.1:80", 2, 0)
	servers := map[string]*controlpb.BackendServer{
		"good": good, "slots": record("slots", "10.0.0.2:80", 4294967295, 0), "line\r\n": record("line\r\n", "10.0.0.3:80", 2, 0),
		"zone": record("zone", "[fe80::1%eth0]:80", 2, 0), "port": record("port", "10.0.0.4:70000", 2, 0), "cold": record("cold", "10.0.0.5:80", 2, 4294967295),
		"": record("", "10.0.0.6:80", 2, 0), "none": record("none", "", 2, 0), "own": record("own", "10.0.0.7:80", 2, 0),
	}
	picks := func() []string {
		seen := map[string]bool{}
		for i := range uint64(50) {
			a, refusal := b.engine.Current().Pick(balance.Query{Now: b.clock.now(), Service: "s", AnyRegion: true, Remaining: time.Second, Random: i})
			if !refusal.Refused() {
				seen[a.Address] = true
				a.Done(balance.Outcome{Kind: balance.OutcomeOK, Latency: time.Millisecond})
			}
		}
		return slices.Sorted(maps.Keys(seen))
	}
	for range 2 {
		b.configure(&lease{catalogue: catalogueView{index: 1, servers: servers}})
	}
	if got := picks(); !slices.Equal(got, []string{"10.0.0.1:80"}) {
		t.Errorf("requests go to %v", got)
	}
	if n := strings.Count(lines.String(), `"backend_skipped"`); n != len(servers)-1 {
		t.Errorf("%d log lines for skipped records, want %d", n, len(servers)-1)
	}
	odd := record("good", "10.0.0.1:80", 4294967295, 0)
	odd.Changed = 2
	b.configure(&lease{catalogue: catalogueView{index: 2, servers: map[string]*controlpb.BackendServer{"good": odd}}})
	if got := picks(); len(got) != 0 {
		t.Errorf("requests go to %v, whose record has become odd", got)
	}
	good.Changed = 3
	b.configure(&lease{catalogue: catalogueView{index: 3, servers: map[string]*controlpb.BackendServer{"good": good}}})
	if got := picks(); len(got) != 1 {
		t.Errorf("requests go to %v after the record was corrected", got)
	}
}
