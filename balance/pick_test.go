package balance

import (
	"fmt"
	"testing"
	"time"
)

const second = time.Second

func testServer(i int) Server {
	return Server{
		Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Service: "s", Region: "r", FailureDomain: fmt.Sprint("d", i%2),
		Incarnation: 1, Slots: 4, Connections: 200,
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
func TestPickRules(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Server, *Query)
		events []Event
		want   Reason
	}{
		{name: "ready", change: func(*Server, *Query) {}},
		{name: "draining", change: func(s *Server, _ *Query) { s.State = StateDraining }, want: ReasonNoServer},
		{name: "left", change: func(s *Server, _ *Query) { s.State = StateLeft }, want: ReasonNoServer},
		{name: "cold elsewhere", change: func(s *Server, _ *Query) { s.State = StateCold }, want: ReasonNoServer},
		{name: "cold, right ended", change: func(s *Server, _ *Query) { s.State, s.Owned = StateCold, true }, want: ReasonNoServer},
		{name: "cold, owner", change: func(s *Server, _ *Query) { s.State, s.Owned, s.SendUntil = StateCold, true, 2*second }},
		{name: "evidence too old", change: func(_ *Server, q *Query) { q.Now = 2500 * time.Millisecond }, want: ReasonNoServer},
		{name: "other region", change: func(_ *Server, q *Query) { q.AnyRegion, q.Regions = false, []string{"x"} }, want: ReasonNoServer},
		{name: "no region allowed", change: func(_ *Server, q *Query) { q.AnyRegion = false }, want: ReasonNoServer},
		{name: "excluded", change: func(s *Server, q *Query) { q.Excluded[1] = s.Address }, want: ReasonNoServer},
		{name: "domain out", change: func(*Server, *Query) {}, events: []Event{Configured{DomainsOut: []string{"d0"}}}, want: ReasonNoServer},
		{name: "removed", change: func(*Server, *Query) {}, events: []Event{ServerRemoved{testServer(0).Address}}, want: ReasonNoServer},
		{name: "probe says draining", change: func(*Server, *Query) {}, events: []Event{StateReported{Address: testServer(0).Address, State: StateDraining}}, want: ReasonNoServer},
		{name: "service limit", change: func(*Server, *Query) {}, events: []Event{Configured{Services: []ServiceLimit{{"s", 1}}}}, want: ReasonServiceLimit},
		{name: "member limit", change: func(_ *Server, q *Query) { q.Member = "m" }, events: []Event{Configured{Members: []MemberLimit{{"m", 1}}}}, want: ReasonMemberLimit},
		{name: "hedge of a request that may run once", change: func(_ *Server, q *Query) { q.Kind, q.Idempotent = AttemptHedge, false }, want: ReasonBudget},
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

// Guards against a second Done that would release a place twice.
func TestDoneTwice(t *testing.T) {
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

// Guards against a stuck server that keeps receiving requests while none of its answers has come.
func TestOutstandingAgeCounts(t *testing.T) {
	e := engineWith(2, Config{Switches: Switches{NoTiers: true}})
	now := time.Duration(0)
	var stuck string
	got := map[string]int{}
	for i := range 200 {
		now += time.Millisecond
		a, r := e.Current().Pick(Query{Now: now, Service: "s", AnyRegion: true, Random: mix(7, uint64(i))})
		if r.Refused() {
			t.Fatalf("refused: %v", r)
		}
		if stuck == "" && i == 100 {
			stuck = a.Address
		}
		if i > 100+20 {
			got[a.Address]++
		}
		if a.Address != stuck {
			a.Done(Outcome{Latency: time.Millisecond / 2})
		}
		e.Tick(now)
	}
	if got[stuck] > 2 {
		t.Fatalf("stuck server received %d requests 20 ms after it stopped answering", got[stuck])
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	s := engineWith(870, Config{}).Current()
	q := Query{Service: "s", Regions: []string{"r"}, Idempotent: true, Remaining: second}
	n := testing.AllocsPerRun(1000, func() {
		q.Random = mix(q.Random, 3)
		a, _ := s.Pick(q)
		a.Done(Outcome{Latency: time.Millisecond, Reported: true, Slots: 4})
	})
	if n != 0 {
		t.Fatalf("%v allocations", n)
	}
}

// BenchmarkPick measures a decision together with its end.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 100, 870} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := engineWith(n, Config{}).Current()
			q := Query{Service: "s", Regions: []string{"r"}, Idempotent: true, Remaining: second}
			b.ReportAllocs()
			for b.Loop() {
				q.Random = mix(q.Random, 3)
				a, _ := s.Pick(q)
				a.Done(Outcome{Latency: time.Millisecond, Reported: true, Slots: 4})
			}
		})
	}
}
