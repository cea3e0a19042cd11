package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// mustPick picks for a request at a time and fails the test if it is refused.
func mustPick(t *testing.T, e *Engine, now time.Duration) Attempt {
	t.Helper()
	a, r := e.Current().Pick(Query{Now: now, Service: "s", AnyRegion: true, Idempotent: true, Random: mix(uint64(now), 1)})
	if r.Refused() {
		t.Fatal(r)
	}
	return a
}

func pickReason(e *Engine, now time.Duration, kind AttemptKind) Refusal {
	a, r := e.Current().Pick(Query{Now: now, Service: "s", AnyRegion: true, Idempotent: true, Kind: kind})
	if !r.Refused() {
		a.Done(Outcome{Kind: OutcomeDiscarded})
	}
	return r
}

// Guards against a server that said it leaves and returns because of a newer record, a ready response that crossed, a probe,
// or because it was listed again.
func TestLeavingIsFinalForTheIncarnation(t *testing.T) {
	later := map[string]func(*Engine, Server){
		"nothing": func(*Engine, Server) {},
		"record":  func(e *Engine, s Server) { s.Sequence = 9; e.Apply(ServerChanged{s}) },
		"probe":   func(e *Engine, s Server) { e.Apply(StateReported{Address: s.Address, At: second, State: StateReady}) },
		"listed again": func(e *Engine, s Server) {
			e.Apply(ServerRemoved{s.Address})
			e.Apply(ServerChanged{s})
		},
		"address lent": func(e *Engine, s Server) {
			other := s
			other.ID, other.Incarnation = "other", 2
			e.ApplyAll([]Event{ServerRemoved{s.Address}, ServerChanged{other}, ServerRemoved{s.Address}, ServerChanged{s}})
		},
	}
	for name, change := range later {
		t.Run(name, func(t *testing.T) {
			e := engineWith(1, Config{EvidenceLifetime: time.Hour})
			crossing, a := mustPick(t, e, second), mustPick(t, e, second)
			if effect := a.RecordStatement(second, Statement{Leaving: true}); !effect.Left {
				t.Error("the first statement has no effect")
			}
			if effect := a.RecordStatement(second, Statement{Leaving: true}); effect.Left {
				t.Error("the second statement has an effect")
			}
			a.Done(Outcome{Kind: OutcomeFailed})
			change(e, testServer(0))
			crossing.Done(Outcome{HasState: true, State: StateReady})
			if r := pickReason(e, 2*second, AttemptFirst); r.Reason != ReasonNoServer {
				t.Errorf("picked: %v", r.Reason)
			}
			if n := len(e.Current().ProbeTargets(&Query{Now: 2 * second, Service: "s", AnyRegion: true}, true)); n != 0 {
				t.Error("a server that leaves is probed")
			}
			if !crossing.Standing(2 * second).ForbidsSending() {
				t.Errorf("a request chosen before may be sent: %v", crossing.Standing(2*second))
			}
		})
	}
}

// Guards against a mark of one server that keeps out the next one at the same address, or that hits a server which has not
// said it.
func TestLeavingBindsOneIncarnationOnly(t *testing.T) {
	changes := map[string]func(*Server){
		"higher incarnation":  func(s *Server) { s.Incarnation++ },
		"other ID, same time": func(s *Server) { s.ID = "other" },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			e := engineWith(1, Config{EvidenceLifetime: time.Hour})
			a := mustPick(t, e, second)
			next := testServer(0)
			change(&next)
			e.Apply(ServerChanged{next})
			if a.Standing(second) != StandingGone {
				t.Errorf("the old incarnation is %v", a.Standing(second))
			}
			a.RecordStatement(second, Statement{Leaving: true, Pause: second})
			a.Done(Outcome{Kind: OutcomeNotRun, HasState: true, State: StateDraining})
			e.Apply(StateReported{Address: next.Address, Incarnation: 99, State: StateDraining})
			if r := pickReason(e, second, AttemptFirst); r.Refused() {
				t.Errorf("the new incarnation is refused: %v", r)
			}
		})
	}
}

// Guards against a pause that is shorter than the server asked for, longer than its spread permits, or ended by a response
// that crossed.
func TestRetryAfterPausesInFull(t *testing.T) {
	for _, pause := range []time.Duration{300 * time.Millisecond, 3 * second, 40 * second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			e := engineWith(1, Config{EvidenceLifetime: time.Hour})
			crossing, a := mustPick(t, e, second), mustPick(t, e, second)
			effect := a.RecordStatement(second, Statement{Pause: pause})
			a.Done(Outcome{Kind: OutcomeNotRun, RetryAfter: pause})
			crossing.RecordStatement(second, Statement{Pause: pause / 10})
			crossing.Done(Outcome{HasState: true, State: StateReady})
			end := second + pause
			if latest := end + min(time.Duration(float64(pause)*pauseSpreadShare), maxPauseSpread); !effect.Paused || effect.PauseEnd < end || effect.PauseEnd > latest {
				t.Errorf("the pause ends at %s; want %s to %s", effect.PauseEnd, end, latest)
			}
			for _, kind := range []AttemptKind{AttemptFirst, AttemptRetry, AttemptHedge, AttemptPlacedAnew} {
				if r := pickReason(e, end-1, kind); !r.Refused() {
					t.Errorf("kind %d is sent to a paused server", kind)
				}
			}
			if n := len(e.Current().ProbeTargets(&Query{Now: end - 1, Service: "s", AnyRegion: true}, true)); n != 0 || !crossing.Standing(end-1).ForbidsSending() {
				t.Errorf("%d probes to a paused server; standing %v", n, crossing.Standing(end-1))
			}
			if r := pickReason(e, effect.PauseEnd, AttemptFirst); r.Refused() {
				t.Errorf("refused after the pause: %v", r)
			}
		})
	}
}

// Guards against gateways that return to a server at one moment.
func TestRetryAfterEndsAtDifferentTimes(t *testing.T) {
	ends := map[time.Duration]bool{}
	for i := range 20 {
		e := New(Config{Name: fmt.Sprint("gw-", i), Region: "r", FailureDomain: "d0", EvidenceLifetime: time.Hour})
		e.Apply(ServerChanged{testServer(0)})
		ends[mustPick(t, e, second).RecordStatement(second, Statement{Pause: 2 * second}).PauseEnd/(20*time.Millisecond)] = true
	}
	if len(ends) < 10 {
		t.Errorf("20 gateways return at %d times", len(ends))
	}
}

// Guards against callers that are told to come back before any server is free, and against a pause that hides a server at
// its limit.
func TestRetryAfterOfRefusalIsTheEarliestEnd(t *testing.T) {
	e := engineWith(3, Config{EvidenceLifetime: time.Hour})
	earliest := time.Duration(math.MaxInt64)
	for i := range 3 {
		target, _ := e.Current().Target(testServer(i).Address)
		effect := target.RecordStatement(second, Statement{Pause: time.Duration(3+i) * second / 2})
		earliest = min(earliest, effect.PauseEnd)
	}
	if r := pickReason(e, second, AttemptFirst); r.Reason != ReasonPaused || r.RetryAfter != earliest-second {
		t.Errorf("refused with %v after %s; want %s", r.Reason, r.RetryAfter, earliest-second)
	}
	q := Query{Now: second, Service: "s", AnyRegion: true, Excluded: [MaxExcluded]string{testServer(0).Address, testServer(1).Address, testServer(2).Address}}
	if _, r := e.Current().Pick(q); r.Reason != ReasonPaused {
		t.Errorf("a retry after the pauses is refused with %v", r.Reason)
	}
	full := testServer(9)
	full.MaxInFlight = 1
	e.Apply(ServerChanged{full})
	mustPick(t, e, second)
	if r := pickReason(e, second, AttemptFirst); r.Reason != ReasonOverloaded {
		t.Errorf("refused with %v although a server is only at its limit", r.Reason)
	}
}
