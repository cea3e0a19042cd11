package balance

import (
	"slices"
	"time"
)

// Tiers in the order of preference.
const (
	tierDomain = iota
	tierRegion
	tierOther
	tierCount
)

// Snapshot is immutable in structure; the counters it points to are atomic.
type Snapshot struct {
	config   Config
	services map[string]*serviceView
	members  map[string]*memberLoad
}

type serviceView struct {
	load  *serviceLoad
	tiers [tierCount][]candidate
}

type candidate struct {
	server Server
	load   *serverLoad
}

// HedgeAfter returns how long to wait for an answer of the service before a hedge is worthwhile; ok is false when too
// little is known or hedging is off.
func (s *Snapshot) HedgeAfter(service string) (after time.Duration, ok bool) {
	return 0, false
}

// Pick selects a server for one attempt. Either the attempt may be sent and must be ended with Done, or the refusal
// tells why not. It may be called by any goroutine and allocates nothing.
func (s *Snapshot) Pick(q Query) (Attempt, Refusal) {
	v := s.services[q.Service]
	if v == nil {
		return Attempt{}, Refusal{Reason: ReasonNoServer, RetryAfter: time.Second}
	}
	for t := range v.tiers {
		if c := s.best(v.tiers[t], &q); c != nil {
			return s.start(v, c, &q), Refusal{}
		}
	}
	return Attempt{}, Refusal{Reason: ReasonNoServer, RetryAfter: time.Second}
}

func (s *Snapshot) best(list []candidate, q *Query) *candidate {
	var best *candidate
	n := len(list)
	for i := range n {
		c := &list[(int(q.Random%uint64(n))+i)%n]
		if !s.eligible(c, q) {
			continue
		}
		if best != nil {
			if c.load.inFlight.Load() < best.load.inFlight.Load() {
				best = c
			}
			return best
		}
		best = c
	}
	return best
}

func (s *Snapshot) eligible(c *candidate, q *Query) bool {
	if !q.AnyRegion && !slices.Contains(q.Regions, c.server.Region) {
		return false
	}
	if slices.Contains(q.Excluded[:], c.server.Address) {
		return false
	}
	if q.Now-time.Duration(c.load.evidence.Load()) >= s.config.EvidenceLifetime {
		return false
	}
	if c.server.State == StateCold {
		return q.Now < time.Duration(c.load.sendUntil.Load()) && c.load.inFlight.Load() < 1
	}
	return true
}

func (s *Snapshot) start(v *serviceView, c *candidate, q *Query) Attempt {
	c.load.inFlight.Add(1)
	v.load.inFlight.Add(1)
	return Attempt{
		Address: c.server.Address, FailureDomain: c.server.FailureDomain, Region: c.server.Region,
		State: c.server.State, Owned: c.server.Owned,
		load: c.load, service: v.load, start: q.Now, kind: q.Kind, ticket: c.load.tickets.issue(),
	}
}
