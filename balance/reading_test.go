package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against selections that ignore noisy neighbours: with fresh readings, no request goes to a slow server while an
// undisturbed one of the failure domain has free slots.
func TestSelectionFollowsReadings(t *testing.T) {
	e := New(Config{Region: "r", FailureDomain: "d", EvidenceLifetime: time.Hour})
	for i := range 4 {
		e.Apply(ServerChanged{Server: Server{Address: fmt.Sprintf("10.0.0.%d:80", i), ID: fmt.Sprint(i), Service: "s", Region: "r", FailureDomain: "d", Slots: 2}})
	}
	now := time.Second
	for round := range 200 {
		now += 100 * time.Millisecond
		e.Tick(now)
		q := Query{Now: now, Service: "s", AnyRegion: true, Random: uint64(round) * 0x9e3779b97f4a7c15, PreferProbed: true}
		targets := e.Current().ProbeTargets(&q, false)
		if len(targets) != ownDomainProbes {
			t.Fatalf("%d servers to probe; want %d", len(targets), ownDomainProbes)
		}
		targets[0].Observe(Reading{At: now, Slowness: 4})
		targets[1].Observe(Reading{At: now, Slowness: 1})
		a, refusal := e.Current().Pick(q)
		if refusal.Refused() || a.Address != targets[1].Address {
			t.Fatalf("picked %q, refusal %v; want the undisturbed server %s", a.Address, refusal, targets[1].Address)
		}
		a.Done(Outcome{Kind: OutcomeOK, Latency: 160 * time.Millisecond})
	}
}

// Guards against a service that cannot be used because none of its servers answers probes.
func TestSelectionWithoutReadings(t *testing.T) {
	e := New(Config{Region: "r", FailureDomain: "d", EvidenceLifetime: time.Hour})
	e.Apply(ServerChanged{Server: Server{Address: "10.0.0.1:80", Service: "s", Region: "r", FailureDomain: "d", Slots: 2}})
	if _, refusal := e.Current().Pick(Query{Now: time.Second, Service: "s", AnyRegion: true, PreferProbed: true}); refusal.Refused() {
		t.Errorf("refused: %v", refusal)
	}
}

// Guards against cold servers that receive more requests than they can handle: in any second, the shares of all gateways
// together must stay within the server's capacity.
func TestColdSendIntervalsStayWithinCapacity(t *testing.T) {
	for _, gateways := range []int{1, 2, 5, 15, 40, 120} {
		var names []string
		for i := range gateways {
			names = append(names, fmt.Sprintf("gw-%d", i))
		}
		for _, capacity := range []float64{1, 2.5, 9.2, 17, 60} {
			sum, sharing := 0, 0
			for _, name := range names {
				interval, permitted := ColdSendInterval("server-1", name, names, capacity)
				if !permitted {
					continue
				}
				sharing++
				sum += int(time.Second/interval) + 1 // most requests in any second at this interval
			}
			if float64(sum) > capacity {
				t.Errorf("%d gateways may send %d requests in a second; the server can take %g", gateways, sum, capacity)
			}
			if capacity >= 2 && sharing == 0 {
				t.Errorf("no gateway of %d may send to a server that can take %g", gateways, capacity)
			}
		}
	}
}

// Guards against a server that fell back into cold start and receives the load of a warm one until its next report.
func TestServerThatReportsColdStartIsNotPicked(t *testing.T) {
	e := New(Config{Region: "r", FailureDomain: "d", EvidenceLifetime: time.Hour})
	server := Server{Address: "10.0.0.1:80", Service: "s", Region: "r", FailureDomain: "d", Slots: 2, Incarnation: 1}
	e.Apply(ServerChanged{Server: server})
	now := time.Second
	q := Query{Now: now, Service: "s", AnyRegion: true, PreferProbed: true}
	e.Current().ProbeTargets(&q, false)[0].Observe(Reading{At: now, ColdRemaining: time.Second})
	if _, refusal := e.Current().Pick(q); !refusal.Refused() {
		t.Error("a server in cold start was picked")
	}
	server.State, server.Owned, server.SendUntil, server.Sequence = StateCold, true, time.Hour, 1
	e.Apply(ServerChanged{Server: server})
	if _, refusal := e.Current().Pick(q); refusal.Refused() {
		t.Errorf("a server whose cold start is known, with a share for this gateway, was refused: %v", refusal)
	}
	q.Now += maxReportedCold
	server.State, server.Sequence = StateReady, 2
	e.Apply(ServerChanged{Server: server})
	if _, refusal := e.Current().Pick(q); refusal.Refused() {
		t.Errorf("a warm server was refused: %v", refusal)
	}
}

// engineWithFarServers returns an engine in region "r" whose service has servers in region "far" only.
func engineWithFarServers(n int) *Engine {
	e := New(Config{Region: "r", FailureDomain: "d", EvidenceLifetime: time.Hour})
	for i := range n {
		e.Apply(ServerChanged{Server: Server{Address: fmt.Sprintf("10.0.0.%d:80", i), ID: fmt.Sprint(i), Service: "s", Region: "far", FailureDomain: "f", Slots: 2}})
	}
	return e
}

// Guards against requests to other regions that ignore the readings: with 60 servers, a random server that was not probed
// looked better than a busy server that was.
func TestRequestsToOtherRegionsFollowReadings(t *testing.T) {
	e := engineWithFarServers(60)
	now := time.Second
	for round := range 200 {
		now += 100 * time.Millisecond
		e.Tick(now)
		q := Query{Now: now, Service: "s", Regions: []string{"far"}, Random: uint64(round) * 0x9e3779b97f4a7c15, PreferProbed: true}
		targets := e.Current().ProbeTargets(&q, false)
		if len(targets) != maxProbes {
			t.Fatalf("%d servers to probe; want %d", len(targets), maxProbes)
		}
		for _, target := range targets {
			target.Observe(Reading{At: now, InFlight: 2, Slowness: 3})
		}
		if e.Current().HasIdleServer(&q) {
			t.Fatal("busy servers count as idle")
		}
		secondRound := e.Current().ProbeTargets(&q, true)
		if len(secondRound) != secondRoundProbes {
			t.Fatalf("%d more servers to probe; want %d", len(secondRound), secondRoundProbes)
		}
		for _, target := range secondRound[1:] {
			target.Observe(Reading{At: now, InFlight: 2, Slowness: 3})
		}
		secondRound[0].Observe(Reading{At: now, Slowness: 1})
		if !e.Current().HasIdleServer(&q) {
			t.Error("HasIdleServer does not find the idle server")
		}
		a, refusal := e.Current().Pick(q)
		if refusal.Refused() || a.Address != secondRound[0].Address {
			t.Fatalf("picked %q, refusal %v; want the idle server %s", a.Address, refusal, secondRound[0].Address)
		}
		a.Done(Outcome{Kind: OutcomeOK, Latency: 200 * time.Millisecond})
	}
}

// Guards against requests to other regions that are refused because no server there has answered a probe.
func TestRequestsToOtherRegionsWithoutReadings(t *testing.T) {
	q := Query{Now: time.Second, Service: "s", Regions: []string{"far"}, PreferProbed: true}
	if _, refusal := engineWithFarServers(3).Current().Pick(q); refusal.Refused() {
		t.Errorf("refused: %v", refusal)
	}
}

// Guards against gateways that probe every server of a service in turn, so that hardly any connection is reused, and
// against servers that no gateway probes first.
func TestFirstProbesUseFewServers(t *testing.T) {
	const servers, gateways = 25, 12
	probedBy := map[string]int{}
	for g := range gateways {
		e := New(Config{Name: fmt.Sprint("gw-", g), Region: "r", FailureDomain: "d", EvidenceLifetime: time.Hour})
		for i := range servers {
			e.Apply(ServerChanged{Server: Server{Address: fmt.Sprintf("10.0.0.%d:80", i), ID: fmt.Sprint("s-", i), Service: "s", Region: "r", FailureDomain: "d", Slots: 2}})
		}
		first, more := map[string]bool{}, map[string]bool{}
		for round := range 300 {
			q := Query{Now: time.Second, Service: "s", AnyRegion: true, Random: uint64(round) * 0x9e3779b97f4a7c15}
			for _, target := range e.Current().ProbeTargets(&q, false) {
				first[target.Address] = true
			}
			for _, target := range e.Current().ProbeTargets(&q, true) {
				more[target.Address] = true
			}
		}
		if len(first) != preferredServers || len(more) != servers {
			t.Errorf("gateway %d probes %d servers first and %d in the second round; want %d and %d", g, len(first), len(more), preferredServers, servers)
		}
		for address := range first {
			probedBy[address]++
		}
	}
	if len(probedBy) < servers-1 {
		t.Errorf("%d of %d servers are probed first by any of %d gateways", len(probedBy), servers, gateways)
	}
}

// Guards against a capacity out of the range of integers, which stopped all requests to a cold server on some processors.
func TestColdIntervalOfAHugeCapacity(t *testing.T) {
	for _, capacity := range []float64{1e300, math.Inf(1), 9.3e18} {
		if interval, permitted := ColdSendInterval("server", "gw-1", []string{"gw-1"}, capacity); !permitted || interval < 0 || interval > time.Millisecond {
			t.Errorf("capacity %g: %s, %t", capacity, interval, permitted)
		}
	}
	for _, capacity := range []float64{math.NaN(), math.Inf(-1), -1e300, 0} {
		if _, permitted := ColdSendInterval("server", "gw-1", []string{"gw-1"}, capacity); permitted {
			t.Errorf("capacity %g: permitted", capacity)
		}
	}
}
