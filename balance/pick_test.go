package balance

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

const second = time.Second

func testServer(i int) Server {
	return Server{
		Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Service: "s", Region: "r", FailureDomain: fmt.Sprint("d", i%2),
		Incarnation: 1, Slots: 4, MaxInFlight: 200,
	}
}

func engineWith(n int, c Config) *Engine {
	c.Region, c.FailureDomain = "r", "d0"
	e := New(c)
	for i := range n {
		e.Apply(ServerChanged{testServer(i)})
	}
	return e
}

// Guards against a pick of a server that must not receive the request.
func TestPickRefusesForbiddenServers(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Server, *Query)
		events []Event
		want   Reason
	}{
		{name: "ready", change: func(*Server, *Query) {}},
		{name: "draining", change: func(s *Server, _ *Query) { s.State = StateDraining }, want: ReasonNoServer},
		{name: "left", change: func(s *Server, _ *Query) { s.State = StateLeft }, want: ReasonNoServer},
		{name: "cold, other owner", change: func(s *Server, _ *Query) { s.State = StateCold }, want: ReasonNoServer},
		{name: "cold, right to send expired", change: func(s *Server, _ *Query) { s.State, s.Owned = StateCold, true }, want: ReasonNoServer},
		{name: "cold, right to send valid", change: func(s *Server, _ *Query) { s.State, s.Owned, s.SendUntil = StateCold, true, 2*second }},
		{name: "evidence too old", change: func(_ *Server, q *Query) { q.Now = 2500 * time.Millisecond }, want: ReasonNoServer},
		{name: "other region", change: func(_ *Server, q *Query) { q.AnyRegion, q.Regions = false, []string{"x"} }, want: ReasonNoServer},
		{name: "no region allowed", change: func(_ *Server, q *Query) { q.AnyRegion = false }, want: ReasonNoServer},
		{name: "excluded", change: func(s *Server, q *Query) { q.Excluded[1] = s.Address }, want: ReasonNoServer},
		{name: "domain out", change: func(*Server, *Query) {}, events: []Event{ConfigChanged{DomainsOut: []string{"d0"}}}, want: ReasonNoServer},
		{name: "removed", change: func(*Server, *Query) {}, events: []Event{ServerRemoved{testServer(0).Address}}, want: ReasonNoServer},
		{name: "draining in a probe response", change: func(*Server, *Query) {}, events: []Event{StateReported{Address: testServer(0).Address, State: StateDraining}}, want: ReasonNoServer},
		{name: "service limit", change: func(*Server, *Query) {}, events: []Event{ConfigChanged{Services: []ServiceLimit{{"s", 1}}}}, want: ReasonServiceLimit},
		{name: "member limit", change: func(_ *Server, q *Query) { q.Member = "m" }, events: []Event{ConfigChanged{Members: []MemberLimit{{"m", 1}}}}, want: ReasonMemberLimit},
		{name: "hedge of a request that is not idempotent", change: func(_ *Server, q *Query) { q.Kind, q.Idempotent = AttemptHedge, false }, want: ReasonBudget},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, q := testServer(0), Query{Now: second, Service: "s", AnyRegion: true, Idempotent: true}
			c.change(&s, &q)
			e := New(Config{Region: "r", FailureDomain: "d0"})
			e.Apply(ServerChanged{s})
			for _, ev := range c.events {
				e.Apply(ev)
			}
			if c.want == ReasonServiceLimit || c.want == ReasonMemberLimit {
				if _, r := e.Current().Pick(q); r.Refused() {
					t.Fatalf("first pick within the limit refused: %v", r)
				}
			}
			if _, r := e.Current().Pick(q); r.Reason != c.want {
				t.Fatalf("got %v, want %v", r.Reason, c.want)
			}
		})
	}
}

// Guards against a second Done that releases a reserved place twice.
func TestSecondDoneHasNoEffect(t *testing.T) {
	e := engineWith(1, Config{})
	q := Query{Service: "s", AnyRegion: true}
	first, _ := e.Current().Pick(q)
	second, _ := e.Current().Pick(q)
	first.Done(Outcome{Latency: time.Millisecond})
	first.Done(Outcome{Latency: time.Millisecond})
	if n := second.candidate.load.inFlight.Load(); n != 1 {
		t.Fatalf("in flight %d, want 1", n)
	}
}

// countStuckRequests sends 4 requests per ms to two servers that answer after 5 ms. One of the servers stops answering
// halfway; the result is the number of requests that this server receives from then on.
func countStuckRequests(t *testing.T, sw Switches) int {
	e := New(Config{Region: "r", FailureDomain: "d0", Switches: sw})
	for i := range 2 {
		s := testServer(i)
		s.Slots, s.FailureDomain = 100, "d0"
		e.Apply(ServerChanged{s})
	}
	const interval, work, stopsAt = 250 * time.Microsecond, 5 * time.Millisecond, 200
	stuck, received := testServer(0).Address, 0
	var open []Attempt
	for i := range 2 * stopsAt {
		now := time.Duration(i) * interval
		e.Tick(now)
		for len(open) > 0 && open[0].start+work <= now {
			if i < stopsAt || open[0].Address != stuck {
				open[0].Done(Outcome{Latency: work, HasState: true, Slots: 100})
			}
			open = open[1:]
		}
		a, r := e.Current().Pick(Query{Now: now, Service: "s", AnyRegion: true, Random: mix(7, uint64(i))})
		if r.Refused() {
			t.Fatalf("refused: %v", r)
		}
		if i >= stopsAt && a.Address == stuck {
			received++
		}
		open = append(open, a)
	}
	return received
}

// Guards against a stuck server that keeps receiving requests because it sends no response that shows how slow it is.
func TestInFlightAgeAvoidsStuckServer(t *testing.T) {
	with, without := countStuckRequests(t, Switches{}), countStuckRequests(t, Switches{NoInFlightAge: true, NoEjection: true})
	t.Logf("requests to a stuck server: %d, without the age of requests in flight: %d", with, without)
	if with*2 > without {
		t.Fatalf("stuck server received %d requests, %d without the age of requests in flight; want at most half", with, without)
	}
}

// Guards against a cold-start limit that is exceeded, rises too early, or does not fall after a late response.
func TestColdLimit(t *testing.T) {
	e := New(Config{Region: "r", FailureDomain: "d0"})
	s := testServer(0)
	s.State, s.Owned, s.SendUntil, s.EvidenceAt = StateCold, true, time.Hour, time.Hour
	e.Apply(ServerChanged{s})
	now := second
	round := func(latency time.Duration) int {
		var open []Attempt
		for {
			a, r := e.Current().Pick(Query{Now: now, Service: "s", AnyRegion: true})
			if r.Refused() {
				break
			}
			open = append(open, a)
		}
		now += latency
		for _, a := range open {
			a.Done(Outcome{Latency: latency})
		}
		return len(open)
	}
	latencies := []int{1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 9, 1, 1, 1, 1, 1}
	want := []int{1, 1, 1, 1, 2, 2, 3, 3, 4, 4, 4, 4, 4, 1, 1, 1, 1, 2}
	for i, ms := range latencies {
		if got := round(time.Duration(ms) * time.Millisecond); got != want[i] {
			t.Fatalf("round %d: %d in flight, want %d", i, got, want[i])
		}
	}
}

// recordResponse5ms records a response with a work time of 5 ms for the server with a number.
func recordResponse5ms(e *Engine, server int) {
	l := &e.servers[testServer(server).Address].load.latency
	l.add(second, float64(5*time.Millisecond))
	l.addUnpenalized(float64(5 * time.Millisecond))
}

// Guards against ejecting more than a third of a service's servers, and against not ejecting servers that never answer.
func TestEjectionCap(t *testing.T) {
	e := engineWith(9, Config{})
	now := second
	for i := range 9 {
		recordResponse5ms(e, i)
	}
	for range 60 { // as many as the servers left after three ejections can take
		now += 20 * time.Millisecond
		e.Tick(now)
		if _, r := e.Current().Pick(Query{Now: now, Service: "s", AnyRegion: true, Random: uint64(now)}); r.Refused() {
			t.Fatalf("refused: %v", r)
		}
	}
	ejected := 0
	for _, n := range e.Notices() {
		if n.Kind == NoticeEjected {
			ejected++
		}
	}
	if ejected != 3 {
		t.Fatalf("%d of 9 hanging servers ejected, want 3", ejected)
	}
}

// countFailedRequests sends a request every 5 ms to nine servers, of which some fail at once, and returns the number of
// requests that the failing servers receive.
func countFailedRequests(t *testing.T, failingServers int) int {
	e, received := engineWith(9, Config{}), 0
	for i := range 400 {
		now := second + time.Duration(i)*5*time.Millisecond
		e.Tick(now)
		a, r := e.Current().Pick(Query{Now: now, Service: "s", AnyRegion: true, Random: mix(7, uint64(i))})
		if r.Refused() {
			t.Fatalf("refused: %v", r)
		}
		o := Outcome{Latency: 4 * time.Millisecond, Slots: 4, HasState: true}
		for f := range failingServers {
			if a.Address == testServer(f).Address {
				o.Kind, o.Latency = OutcomeFailed, 200*time.Microsecond
				received++
			}
		}
		a.Done(o)
	}
	return received
}

// Guards against a server that attracts load because it fails fast, and against refusing all requests because all servers
// fail.
func TestFastFailuresAttractNoLoad(t *testing.T) {
	if n := countFailedRequests(t, 1); n > 400/9/3 {
		t.Errorf("a server that fails at once received %d of 400 requests; want at most a third of its share", n)
	}
	if n := countFailedRequests(t, 9); n != 400 {
		t.Errorf("%d of 400 requests sent while all servers fail", n)
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	s := engineWith(870, Config{}).Current()
	q := Query{Service: "s", Regions: []string{"r"}, Idempotent: true, Remaining: second}
	n := testing.AllocsPerRun(1000, func() {
		q.Random = mix(q.Random, 3)
		a, _ := s.Pick(q)
		a.Done(Outcome{Latency: time.Millisecond, HasState: true, Slots: 4})
	})
	if n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

// BenchmarkPick measures a pick and the release of its place.
func BenchmarkPick(b *testing.B) {
	benchmarkPick(b, func(a Attempt) {
		a.candidate.load.tickets.release(a.ticket)
		a.candidate.load.requestEnded(a.start)
		a.snapshot.releaseLimits(a.view, a.member)
	})
}

// BenchmarkPickDone measures a pick and Done, which updates load and latency.
func BenchmarkPickDone(b *testing.B) {
	benchmarkPick(b, func(a Attempt) { a.Done(Outcome{Latency: time.Millisecond, HasState: true, Slots: 4}) })
}

// benchmarkPick runs picks among 12, 100 and 870 servers; in the last case nine of ten servers are unreachable.
func benchmarkPick(b *testing.B, end func(Attempt)) {
	cases := []struct {
		name               string
		servers, reachable int
	}{{"12", 12, 1}, {"100", 100, 1}, {"870", 870, 1}, {"870-tenth", 870, 10}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			e := engineWith(c.servers, Config{})
			for i, r := range e.byService["s"] {
				if i%c.reachable != 0 {
					r.load.unreachableUntil.store(time.Hour)
				}
			}
			s := e.Current()
			q := Query{Service: "s", Regions: []string{"r"}, Idempotent: true, Remaining: second}
			b.ReportAllocs()
			for b.Loop() {
				q.Random = mix(q.Random, 3)
				a, _ := s.Pick(q)
				end(a)
			}
		})
	}
}

// Guards against places that are lost or released twice when requests, ticks and events are concurrent. With -race, it
// also checks the access to the counters.
func TestConcurrentPicks(t *testing.T) {
	e := engineWith(6, Config{})
	var done sync.WaitGroup
	for g := range 4 {
		done.Go(func() {
			for i := range 2000 {
				q := Query{Now: time.Duration(i) * 10 * time.Microsecond, Service: "s", AnyRegion: true, Random: mix(uint64(g), uint64(i))}
				if a, r := e.Current().Pick(q); !r.Refused() {
					a.Done(Outcome{Kind: OutcomeKind(i % 3), Latency: time.Millisecond, HasState: true, Slots: 4})
				}
			}
		})
	}
	for i := range 200 {
		e.Tick(time.Duration(i) * time.Millisecond)
		s := testServer(i % 6)
		s.Sequence = uint64(i)
		e.Apply(ServerChanged{s})
	}
	done.Wait()
	for _, r := range e.servers {
		if n := r.load.inFlight.Load(); n != 0 {
			t.Errorf("%s: %d in flight after all have ended", r.server.Address, n)
		}
	}
	if n := e.ensureService("s").inFlight.Load(); n != 0 {
		t.Errorf("service: %d in flight after all have ended", n)
	}
}

// Guards against a gateway that never sends again to a server whose fallback ended without a new sequence number.
func TestFallbackEnds(t *testing.T) {
	e := engineWith(1, Config{})
	q := Query{Now: second, Service: "s", AnyRegion: true}
	late, _ := e.Current().Pick(q)
	s := testServer(0)
	s.State = StateCold
	e.Apply(ServerChanged{s})
	late.Done(Outcome{Latency: time.Millisecond, HasState: true, State: StateCold})
	if _, r := e.Current().Pick(q); r.Reason != ReasonNoServer {
		t.Fatalf("cold server of another owner: got %v", r.Reason)
	}
	s.State = StateReady
	e.Apply(ServerChanged{s})
	if _, r := e.Current().Pick(q); r.Refused() {
		t.Fatalf("refused after the end of the fallback: %v", r)
	}
}

// Guards against a server that stays cold forever because its owner, in another failure domain, sends it no requests, and
// against ending a cold start that the server announced itself.
func TestUnusedFallbackEnds(t *testing.T) {
	for _, tt := range []struct {
		name     string
		sequence uint64
		ends     bool
	}{{"fallback by behaviour", 1, true}, {"announced cold start", 2, false}} {
		t.Run(tt.name, func(t *testing.T) {
			e := New(Config{Region: "r", FailureDomain: "d0"})
			s := testServer(0)
			s.Owned, s.Sequence = true, 1
			e.Tick(second)
			e.Apply(ServerChanged{s})
			s.State, s.Sequence = StateCold, tt.sequence
			e.Apply(ServerChanged{s})
			e.Tick(second + maxUnusedFallback)
			e.Notices()
			e.Tick(second + maxUnusedFallback + 100*time.Millisecond)
			ended := false
			for _, n := range e.Notices() {
				ended = ended || n.Kind == NoticeFallbackEnded
			}
			if ended != tt.ends {
				t.Errorf("cold start ended: %v, want %v", ended, tt.ends)
			}
		})
	}
}

// Guards against servers that are avoided for minutes because their last responses took seconds during a freeze.
func TestSlowResponsesDecay(t *testing.T) {
	const typical = float64(3 * time.Millisecond)
	var l latency
	for range 10 {
		l.add(second, float64(3*second))
	}
	if got := l.estimate(second+100*time.Millisecond, typical); got < 10*typical {
		t.Errorf("estimate after 100 ms is %v, which decayed too fast", time.Duration(got))
	}
	if got := l.estimate(31*second, typical); got > typicalSpread*typical {
		t.Errorf("estimate after 30 s is %v, want at most %v", time.Duration(got), time.Duration(typicalSpread*typical))
	}
}

// Guards against a server that receives its full load while it still works at half speed after a fallback, and against a
// server that stays limited although it is as fast as the others.
func TestFallbackEndsAtUsualSpeed(t *testing.T) {
	for _, tt := range []struct {
		name string
		work time.Duration
		ends bool
	}{{"half speed", 10 * time.Millisecond, false}, {"usual speed", 5 * time.Millisecond, true}} {
		t.Run(tt.name, func(t *testing.T) {
			e := New(Config{Region: "r", FailureDomain: "d0"})
			for i := range 3 {
				e.Apply(ServerChanged{testServer(i)})
				recordResponse5ms(e, i)
			}
			cold := testServer(0)
			cold.Owned, cold.State, cold.SendUntil, cold.EvidenceAt = true, StateCold, time.Hour, time.Hour
			e.Tick(second)
			e.Apply(ServerChanged{cold})
			q := Query{Now: second, Service: "s", AnyRegion: true, Excluded: [MaxExcluded]string{testServer(1).Address, testServer(2).Address}}
			for range 2 * (warmResponses + cold.Slots*responsesPerColdStep) {
				a, r := e.Current().Pick(q)
				if r.Refused() {
					t.Fatalf("refused: %v", r)
				}
				a.Done(Outcome{Latency: tt.work})
				q.Now += tt.work
				e.Tick(q.Now)
			}
			ended := slices.ContainsFunc(e.Notices(), func(n Notice) bool { return n.Kind == NoticeFallbackEnded })
			if ended != tt.ends {
				t.Errorf("fallback ended: %v, want %v", ended, tt.ends)
			}
		})
	}
}

// Guards against a server that hangs and is tried again and again, because lower bounds that equal its estimate do not
// renew the estimate.
func TestEqualLowerBoundsRenewTheEstimate(t *testing.T) {
	const typical, bound = float64(5 * time.Millisecond), float64(250 * time.Millisecond)
	var l latency
	now := second
	for range 10 {
		l.addLowerBound(now, bound, typical)
		if got := l.estimate(now, typical); got < bound*0.99 {
			t.Fatalf("estimate at %v after the bound is %v, want %v", now, time.Duration(got), time.Duration(bound))
		}
		now += 3 * second
	}
}
