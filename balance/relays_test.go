package balance

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newTestRelays() *Relays {
	r := NewRelays("north", "north-a")
	r.Update([]Relay{
		{Name: "a1", Region: "north", FailureDomain: "north-a"}, {Name: "a2", Region: "north", FailureDomain: "north-a"},
		{Name: "b1", Region: "north", FailureDomain: "north-b"}, {Name: "c1", Region: "south", FailureDomain: "south-a"},
	})
	return r
}

func (r *Relays) pickName(q RelayQuery) string {
	x, _ := r.Pick(q)
	return x.Name
}

// Guards against relays that are farther than needed, outside the permitted regions, tried before, unavailable or paused.
func TestRelayIsTheNearestUsableOne(t *testing.T) {
	anywhere := RelayQuery{AnyRegion: true, Random: 1}
	for name, c := range map[string]struct {
		change func(r *Relays, q *RelayQuery)
		want   []string
	}{
		"nearest":     {func(*Relays, *RelayQuery) {}, []string{"a1", "a2"}},
		"tried":       {func(_ *Relays, q *RelayQuery) { q.Tried = []string{"a1"} }, []string{"a2"}},
		"next domain": {func(_ *Relays, q *RelayQuery) { q.Tried = []string{"a1", "a2"} }, []string{"b1"}},
		"home":        {func(_ *Relays, q *RelayQuery) { q.AnyRegion, q.Regions = false, []string{"south"} }, []string{"c1"}},
		"no home":     {func(_ *Relays, q *RelayQuery) { q.AnyRegion, q.Regions = false, []string{"west"} }, []string{""}},
		"unavailable": {func(r *Relays, _ *RelayQuery) {
			for i := range r.list[:3] {
				r.list[i].Unavailable = true
			}
		}, []string{"c1"}},
		"refused": {func(r *Relays, q *RelayQuery) {
			r.Done("a1", 0, RelayRefused)
			q.Now = relayRefusedPause - 1
		}, []string{"a2"}},
		"failed": {func(r *Relays, q *RelayQuery) {
			r.Done("a1", 0, RelayFailed)
			q.Now = relayFailedPause - 1
		}, []string{"a2"}},
		"back": {func(r *Relays, q *RelayQuery) {
			r.Done("a1", 0, RelayFailed)
			q.Now, q.Tried = time.Second, []string{"a2"}
		}, []string{"a1"}},
	} {
		for seed := range uint64(20) {
			r, q := newTestRelays(), anywhere
			q.Random = seed
			c.change(r, &q)
			got := r.pickName(q)
			if got != c.want[0] && got != c.want[len(c.want)-1] {
				t.Errorf("%s: got %q; want one of %q", name, got, c.want)
			}
		}
	}
}

// Guards against requests that all go to the same relay, and against load that is never released.
func TestRelaysShareTheLoad(t *testing.T) {
	r := newTestRelays()
	random := rand.New(rand.NewPCG(1, 2))
	picked := map[string]int{}
	for range 100 {
		picked[r.pickName(RelayQuery{AnyRegion: true, Random: random.Uint64()})]++
	}
	if picked["a1"] != 50 || picked["a2"] != 50 {
		t.Errorf("%v in flight; want equal shares", picked)
	}
	for name, n := range picked {
		for range n {
			r.Done(name, 0, RelayOK)
		}
	}
	if r.loads["a1"].inFlight != 0 || r.loads["a2"].inFlight != 0 {
		t.Error("requests that ended still count")
	}
	r.Update(nil)
	if len(r.loads) != 0 {
		t.Errorf("%d gateways are remembered that are not listed any more", len(r.loads))
	}
}

// Guards against failures of the path that change what is known of a server.
func TestDiscardedOutcomeChangesNothing(t *testing.T) {
	e := engineWith(1, Config{})
	a, refusal := e.Current().Pick(Query{Now: 1, Service: "s", AnyRegion: true})
	if refusal.Refused() {
		t.Fatal(refusal)
	}
	l := a.candidate.load
	before := l.latency.fast.load()
	a.Done(Outcome{Kind: OutcomeDiscarded, Latency: 10 * time.Second})
	if l.inFlight.Load() != 0 || l.unreachableUntil.load() != 0 || l.connectFailures.Load() != 0 || l.latency.fast.load() != before || l.latency.samples.Load() != 0 {
		t.Errorf("a discarded outcome was recorded: %+v", l)
	}
}
