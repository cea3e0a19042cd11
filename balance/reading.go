package balance

import (
	"math"
	"slices"
	"time"
)

// A reading is what a server tells about itself in the answer to a probe. It answers noisy neighbours, which shift within
// milliseconds: a gateway that sends a few requests per second to each server learns nothing of them from its answers.
const (
	// readingLifetime is the age up to which a reading counts in full for a selection.
	readingLifetime = 60 * time.Millisecond
	// slownessHalfAge is the age at which half of a server's slowness counts; noise lasts a few hundred milliseconds.
	slownessHalfAge = 150 * time.Millisecond
	// ownDomainProbes and maxProbes bound the servers that are asked first for one request, and moreProbes those that are
	// asked beside them when none of them is idle.
	ownDomainProbes   = 2
	maxProbes         = 3
	secondRoundProbes = 5
	// preferredServers is the number of servers of a tier among which a gateway asks first. Others are asked when none of
	// those is idle. With more servers than that, a gateway would open a connection for most questions.
	preferredServers = 8
	// maxIdleSlowness is the slowness up to which a server counts as undisturbed.
	maxIdleSlowness = 1.5
)

// ProbeTarget is a server to ask before a selection.
type ProbeTarget struct {
	Address string
	ID      string

	load *serverLoad
}

// Reading is the answer to a probe.
type Reading struct {
	// At is the monotonic time at which the probe was sent.
	At time.Duration
	// InFlight is the number of requests that run or wait at the server.
	InFlight int
	// Slowness is the work time of the moment in usual work times; 0 when unknown.
	Slowness float64
	// ColdRemaining is the rest of a cold start; 0 for a warm server.
	ColdRemaining time.Duration
}

// maxReportedCold bounds how long a server that tells of a cold start, which the catalogue does not know yet, gets nothing:
// its next report comes sooner, and brings the limits of a cold start.
const maxReportedCold = 2 * time.Second

// Observe takes the answer to a probe. It may be called by any goroutine.
func (t ProbeTarget) Observe(r Reading) {
	t.load.report.add(r.At, int64(r.InFlight), t.load.inFlight.Load())
	t.load.readingAt.raise(r.At)
	if r.ColdRemaining > 0 {
		t.load.reportedColdUntil.raise(r.At + min(r.ColdRemaining, maxReportedCold))
	}
	if r.Slowness > 0 {
		t.load.slowness.store(r.Slowness)
		t.load.slownessAt.raise(r.At)
	}
}

// ProbeTargets returns the servers to ask before a selection: a few of the own failure domain, others of the region, and
// of other regions only where the region has none. Servers that were asked a moment ago are left out. more asks for most
// servers of the region; it answers times at which those asked first are busy or disturbed.
func (s *Snapshot) ProbeTargets(q *Query, secondRound bool) []ProbeTarget {
	v := s.services[q.Service]
	if v == nil {
		return nil
	}
	r := probeRound{maxOwnDomain: ownDomainProbes, maxTotal: maxProbes, preferred: preferredServers}
	if secondRound {
		r = probeRound{maxOwnDomain: secondRoundProbes, maxTotal: secondRoundProbes, preferred: math.MaxInt, skipFresh: true}
	}
	if !s.hasPermittedInTier(v, tierDomain, q) && !s.hasPermittedInTier(v, tierRegion, q) {
		s.addTargets(v, tierOther, q, &r, r.maxTotal)
		return r.targets
	}
	s.addTargets(v, tierDomain, q, &r, r.maxOwnDomain)
	s.addTargets(v, tierRegion, q, &r, r.maxTotal)
	return r.targets
}

// probeRound is one round of questions before a selection.
type probeRound struct {
	// maxOwnDomain and most bound the servers of the own failure domain and all of them.
	maxOwnDomain, maxTotal int
	// preferred is the number of servers of a tier that are asked before the others.
	preferred int
	// skipFresh leaves servers that were asked a moment ago out of the count.
	skipFresh bool
	found     int
	targets   []ProbeTarget
}

// addTargets adds servers of a tier, the preferred ones first and from a random one on, until the round has found n.
func (s *Snapshot) addTargets(v *serviceView, tier int, q *Query, r *probeRound, n int) {
	candidates := v.tiers[tier]
	first := min(r.preferred, len(candidates))
	for i := range candidates {
		if r.found >= n {
			return
		}
		c := &candidates[i]
		if i < first {
			c = &candidates[(mix(q.Random, uint64(tier))+uint64(i))%uint64(first)]
		}
		if !s.isPermitted(c, q) || q.Now < c.load.unreachableUntil.load() {
			continue
		}
		if c.load.hasFreshReading(q.Now) {
			if !r.skipFresh {
				r.found++
			}
			continue
		}
		r.found++
		r.targets = append(r.targets, ProbeTarget{Address: c.server.Address, ID: c.server.ID, load: c.load})
	}
}

// HasIdleServer tells whether a server that answered a moment ago has room and is undisturbed. It looks at the region, and at
// other regions only where the region has no server for the request.
func (s *Snapshot) HasIdleServer(q *Query) bool {
	v := s.services[q.Service]
	if v == nil {
		return false
	}
	if s.hasIdleInTier(v, tierDomain, q) || s.hasIdleInTier(v, tierRegion, q) {
		return true
	}
	if s.hasPermittedInTier(v, tierDomain, q) || s.hasPermittedInTier(v, tierRegion, q) {
		return false
	}
	return s.hasIdleInTier(v, tierOther, q)
}

func (s *Snapshot) hasIdleInTier(v *serviceView, tier int, q *Query) bool {
	for i := range v.tiers[tier] {
		c := &v.tiers[tier][i]
		if !c.load.hasFreshReading(q.Now) || s.checkEligibility(v, c, q) != verdictEligible {
			continue
		}
		total := s.estimateInFlight(v, c, q.Now, c.load.inFlight.Load())
		if total+1 <= nearFullShare*float64(c.slots) && c.load.currentSlowness(q.Now) < maxIdleSlowness {
			return true
		}
	}
	return false
}

func (s *Snapshot) hasPermittedInTier(v *serviceView, tier int, q *Query) bool {
	return slices.ContainsFunc(v.tiers[tier], func(c candidate) bool { return s.isPermitted(&c, q) })
}

// hasFreshReading tells whether the server answered a probe a moment ago.
func (l *serverLoad) hasFreshReading(now time.Duration) bool {
	at := l.readingAt.load()
	return at > 0 && now-at < readingLifetime
}

// currentSlowness is the factor by which work takes longer than usual, as far as the last reading still tells.
func (l *serverLoad) currentSlowness(now time.Duration) float64 {
	at := l.slownessAt.load()
	if at == 0 {
		return 1
	}
	weight := float64(slownessHalfAge) / float64(slownessHalfAge+max(now-at, 0))
	return 1 + (l.slowness.load()-1)*weight
}
