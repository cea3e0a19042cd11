package balance

import "time"

// Standing is the state of a server at this gateway. It follows from what the server announced, from what it said of itself
// in its responses, and from what this gateway observed. docs/design.md, section 5.9, has the table of its transitions.
type Standing uint8

// States of a server at this gateway. Where several apply, the last of this list wins.
const (
	// StandingReady: the server receives requests.
	StandingReady Standing = iota
	// StandingCold: the server is in cold start; only its owner sends requests, within limits.
	StandingCold
	// StandingEjected: the server hangs and receives no requests for a limited time.
	StandingEjected
	// StandingUnreachable: no connection could be opened a moment ago, or there is no fresh evidence that it serves.
	StandingUnreachable
	// StandingPaused: the server asked this gateway to send nothing for a time.
	StandingPaused
	// StandingLeaving: the server announced or said that it leaves, which is final for its incarnation if it said so.
	StandingLeaving
	// StandingGone: the server has left, or this gateway no longer lists this incarnation of it.
	StandingGone
)

// String returns the name of the state in logs.
func (s Standing) String() string {
	return [...]string{"ready", "cold", "ejected", "unreachable", "paused", "leaving", "gone"}[s]
}

// ForbidsSending reports whether nothing may be sent to the server, not even a probe or a request that was assigned to it
// before.
func (s Standing) ForbidsSending() bool { return s >= StandingPaused }

// Bits of serverLoad.final.
const (
	finalLeaving = 1 << iota
	finalRemoved
)

// standing derives the state of a server.
func (s *Snapshot) standing(c *candidate, now time.Duration) Standing {
	l := c.load
	final := l.final.Load()
	switch {
	case final&finalRemoved != 0 || c.server.State == StateLeft:
		return StandingGone
	case final != 0 || c.server.State == StateDraining:
		return StandingLeaving
	case now < l.pausedUntil.load() && !s.config.Switches.NoPause:
		return StandingPaused
	case now < l.unreachableUntil.load() || now-l.evidenceAt.load() >= s.config.EvidenceLifetime:
		return StandingUnreachable
	case now < l.ejectedUntil.load():
		return StandingEjected
	case c.server.State == StateCold || State(l.reportedState.Load()) == StateCold || now < l.reportedColdUntil.load() || s.isSuspected(c, now):
		return StandingCold
	}
	return StandingReady
}

// Statement is what a server says of itself in the header of any response.
type Statement struct {
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// Pause is the time for which a server that turned a request away wants nothing from this gateway; 0 for none.
	Pause time.Duration
}

// StatementEffect is what a statement has changed.
type StatementEffect struct {
	// Left is set if the server was not known to be leaving before.
	Left bool
	// Paused is set if the server was not paused before; PauseEnd is when the pause ends.
	Paused   bool
	PauseEnd time.Duration
}

// Spread of the end of a pause: the share of the pause, and the longest time, by which it ends later.
const (
	pauseSpreadShare = 0.25
	maxPauseSpread   = 2 * time.Second
)

// record applies a statement that arrived at the given time. Neither a pause nor a departure is ever taken back.
func (l *serverLoad) record(now time.Duration, st Statement) StatementEffect {
	var e StatementEffect
	if st.Leaving {
		e.Left = l.final.Or(finalLeaving)&finalLeaving == 0
	}
	if st.Pause > 0 {
		e.Paused = now >= l.pausedUntil.load()
		l.pausedUntil.raise(now + st.Pause + l.pauseSpread(now, st.Pause))
		e.PauseEnd = l.pausedUntil.load()
	}
	return e
}

// pauseSpread returns by how much a pause ends later here than the server asked for, so that the gateways do not all
// return at one moment.
func (l *serverLoad) pauseSpread(now, pause time.Duration) time.Duration {
	share := float64(mix(l.seed, uint64(now))>>11) / (1 << 53)
	return time.Duration(share * min(pauseSpreadShare*float64(pause), float64(maxPauseSpread)))
}

// RecordStatement applies what the server said in the header of its response. It may be called by any goroutine, before
// the attempt ends.
func (a Attempt) RecordStatement(now time.Duration, st Statement) StatementEffect {
	return a.candidate.load.record(now, st)
}

// Incarnation returns the number of the run of the server.
func (a Attempt) Incarnation() uint64 { return a.candidate.server.Incarnation }

// Standing returns the present state of the server.
func (a Attempt) Standing(now time.Duration) Standing { return a.snapshot.standing(a.candidate, now) }

// RecordStatement applies what the server said in the header of its response to a probe. It may be called by any goroutine.
func (t ProbeTarget) RecordStatement(now time.Duration, st Statement) StatementEffect {
	return t.candidate.load.record(now, st)
}

// Standing returns the present state of the server.
func (t ProbeTarget) Standing(now time.Duration) Standing {
	return t.snapshot.standing(t.candidate, now)
}

// Target returns the listed server at an address; ok is false if there is none. It also finds servers that no query may pick.
func (s *Snapshot) Target(address string) (t ProbeTarget, ok bool) {
	c := s.byAddress[address]
	if c == nil {
		return ProbeTarget{}, false
	}
	return s.probeTarget(c), true
}

func (s *Snapshot) probeTarget(c *candidate) ProbeTarget {
	return ProbeTarget{Address: c.server.Address, ID: c.server.ID, Service: c.server.Service, Incarnation: c.server.Incarnation, snapshot: s, candidate: c}
}
