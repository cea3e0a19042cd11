package balance

import (
	"fmt"
	"testing"
	"time"
)

// place describes servers of one service in one place.
type place struct {
	region, domain string
	servers        int
}

// engineWithPlaces returns an engine in region "r" and failure domain "d" with servers of service "s" in several places.
func engineWithPlaces(c Config, places ...place) *Engine {
	c.Region, c.FailureDomain, c.EvidenceLifetime = "r", "d", time.Hour
	e := New(c)
	for _, p := range places {
		for i := range p.servers {
			address := fmt.Sprintf("%s-%s-%d:80", p.region, p.domain, i)
			e.Apply(ServerChanged{Server: Server{Address: address, ID: address, Service: "s", Region: p.region, FailureDomain: p.domain, Slots: 6}})
		}
	}
	return e
}

// learnWork lets every server answer a few requests that take the given time.
func learnWork(e *Engine, now time.Duration, work time.Duration) {
	for i := range 200 {
		a, refusal := e.Current().Pick(Query{Now: now, Service: "s", AnyRegion: true, Random: mix(uint64(i), 7)})
		if !refusal.Refused() {
			a.Done(Outcome{Kind: OutcomeOK, Latency: work})
		}
	}
	e.Tick(now)
}

// Guards against long requests that go to another region, where bytes are billed, although the own region answers in time:
// with work of more than a second, a slightly busy server at home cost more than the way to another region.
func TestRequestInTimeStaysInItsRegion(t *testing.T) {
	const work = 1400 * time.Millisecond
	e := engineWithPlaces(Config{SpillCost: 200 * time.Millisecond}, place{"r", "d", 2}, place{"far", "f", 20})
	now := time.Second
	learnWork(e, now, work)
	for _, tt := range []struct {
		name   string
		target time.Duration
		far    bool
	}{{"in time at home", 3 * time.Second, false}, {"late at home", 1800 * time.Millisecond, true}} {
		far := 0
		for round := range 100 {
			q := Query{Now: now, Service: "s", AnyRegion: true, Random: mix(uint64(round), 1), Target: tt.target, Remaining: 10 * time.Second, PreferProbed: true}
			for _, target := range e.Current().ProbeTargets(&q, false) {
				target.Observe(Reading{At: now, Slowness: 1.3})
			}
			a, refusal := e.Current().Pick(q)
			if refusal.Refused() {
				t.Fatalf("%s: refused: %v", tt.name, refusal)
			}
			if a.Region == "far" {
				far++
			}
			a.Done(Outcome{Kind: OutcomeDiscarded})
		}
		if (far > 0) != tt.far {
			t.Errorf("%s: %d of 100 requests went to another region, want some: %v", tt.name, far, tt.far)
		}
	}
}

// Guards against a request that is sent to a server known to be disturbed, because it is the only kind with a fresh reading,
// while most of the unknown servers are likely to be faster.
func TestDisturbedServersYieldToUnknownOnes(t *testing.T) {
	e := engineWithPlaces(Config{}, place{"r", "d", 12})
	now := time.Second
	learnWork(e, now, 700*time.Millisecond)
	for round := range 400 { // a quarter of all readings are slow
		now += 200 * time.Millisecond
		q := Query{Now: now, Service: "s", AnyRegion: true, Random: mix(uint64(round), 2), PreferProbed: true}
		for i, target := range e.Current().ProbeTargets(&q, false) {
			slowness := 1.0
			if (round+i)%4 == 0 {
				slowness = 4
			}
			target.Observe(Reading{At: now, Slowness: slowness})
		}
	}
	now += time.Second
	q := Query{Now: now, Service: "s", AnyRegion: true, Random: 5, PreferProbed: true, Target: 2 * time.Second, Remaining: 3 * time.Second}
	probed := map[string]bool{}
	for _, target := range e.Current().ProbeTargets(&q, false) {
		target.Observe(Reading{At: now, Slowness: 4})
		probed[target.Address] = true
	}
	a, refusal := e.Current().Pick(q)
	if refusal.Refused() || probed[a.Address] {
		t.Errorf("picked %q, refusal %v; want one of the servers without a reading", a.Address, refusal)
	}
}

// Guards against a gateway with few requests that spreads its probes over so many servers that each of them needs a new
// connection, and against one with many requests that uses a few servers only.
func TestPreferredServersFollowTheRequestRate(t *testing.T) {
	const window = 4 * time.Second
	for _, tt := range []struct {
		requests    int // in 20 s
		least, most int
	}{{0, preferredServers, preferredServers}, {4, 4, 4}, {15, 5, 7}, {400, preferredServers, preferredServers}} {
		e := engineWithPlaces(Config{Name: "gw-1", ReuseWindow: window}, place{"r", "d", 30})
		const ticks = 200
		sent := 0
		for tick := range ticks {
			now := time.Duration(tick+1) * 100 * time.Millisecond
			for ; sent < tt.requests*(tick+1)/ticks; sent++ {
				a, _ := e.Current().Pick(Query{Now: now, Service: "s", AnyRegion: true, Random: mix(uint64(sent), 4)})
				a.Done(Outcome{Kind: OutcomeOK, Latency: time.Millisecond})
			}
			e.Tick(now)
		}
		used := map[string]bool{}
		for round := range 300 {
			q := Query{Now: time.Minute, Service: "s", AnyRegion: true, Random: mix(uint64(round), 3)}
			for _, target := range e.Current().ProbeTargets(&q, false) {
				used[target.Address] = true
			}
		}
		if len(used) < tt.least || len(used) > tt.most {
			t.Errorf("%d requests in 20 s: %d servers are probed first, want %d to %d", tt.requests, len(used), tt.least, tt.most)
		}
	}
}
