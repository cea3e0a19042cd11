package balance

import (
	"math"
	"slices"
	"time"
)

// A reading is the load and slowness that a server reports in its response to a load probe. Readings reveal noisy
// neighbours, which come and go within milliseconds: a gateway that sends each server only a few requests per second
// cannot detect them from the responses to its requests.
const (
	// readingLifetime is the age up to which a reading is fresh.
	readingLifetime = 60 * time.Millisecond
	// slownessHalfAge is the age at which a reported slowness has half its weight; noise lasts a few hundred
	// milliseconds.
	slownessHalfAge = 150 * time.Millisecond
	// ownDomainProbes and maxProbes bound the servers of the own failure domain and all servers that are probed first for
	// one request. secondRoundProbes bounds those that are probed in addition when none of the first is idle.
	ownDomainProbes   = 2
	maxProbes         = 3
	secondRoundProbes = 5
	// preferredServers is the largest number of servers of a tier that a gateway probes first. Others are probed when none
	// of those is idle. With a larger number, a gateway would open a new connection for most probes.
	preferredServers = 8
	// minPreferredPerProbe is the smallest number of preferred servers for each probe of a round.
	minPreferredPerProbe = 2
	// usualSlownessWeight is the weight of one reading in the usual slowness of a service.
	usualSlownessWeight = 0.02
	// maxIdleSlowness is the slowness below which a server counts as undisturbed.
	maxIdleSlowness = 1.5
)

// ProbeTarget is a server to probe before a selection.
type ProbeTarget struct {
	Address string
	ID      string
	Service string
	// Incarnation is the number of the run of the server.
	Incarnation uint64

	snapshot  *Snapshot
	candidate *candidate
}

// Reading is the response to a load probe.
type Reading struct {
	// At is the monotonic time at which the probe was sent.
	At time.Duration
	// InFlight is the number of requests that run or wait at the server.
	InFlight int
	// Slowness is the current work time as a multiple of the usual one; 0 if unknown.
	Slowness float64
	// ColdRemaining is the remaining time of a cold start; 0 for a warm server.
	ColdRemaining time.Duration
}

// maxReportedCold bounds how long a server receives no requests after it reported a cold start that the catalogue does
// not contain yet. Its next report to the catalogue comes sooner and brings the limits of a cold start.
const maxReportedCold = 2 * time.Second

// Observe records the response to a load probe. It may be called by any goroutine.
func (t ProbeTarget) Observe(r Reading) {
	l := t.candidate.load
	l.report.add(r.At, int64(r.InFlight), l.inFlight.Load())
	l.readingAt.raise(r.At)
	if r.ColdRemaining > 0 {
		l.reportedColdUntil.raise(r.At + min(r.ColdRemaining, maxReportedCold))
	}
	if r.Slowness > 0 {
		l.slowness.store(r.Slowness)
		l.slownessAt.raise(r.At)
		if v := t.snapshot.services[t.Service]; v != nil {
			v.load.slownessExcess.blend(r.Slowness-1, usualSlownessWeight)
		}
	}
}

// usualSlowness returns the mean slowness in the readings of a service, which is that of a server without a reading.
func (l *serviceLoad) usualSlowness() float64 { return 1 + max(l.slownessExcess.load(), 0) }

// ProbeTargets returns the servers to probe before a selection: a few of the own failure domain, others of the region,
// and those of other regions only if the region has none. Servers with a fresh reading are left out. secondRound returns
// further servers, up to secondRoundProbes of all that the request permits; it is meant for times at which those probed
// first are busy or disturbed.
func (s *Snapshot) ProbeTargets(q *Query, secondRound bool) []ProbeTarget {
	v := s.services[q.Service]
	if v == nil {
		return nil
	}
	r := probeRound{maxOwnDomain: ownDomainProbes, maxTotal: maxProbes}
	if len(v.tiers[tierDomain]) >= preferredServers {
		r.maxTotal = ownDomainProbes // two of many nearby servers are enough to avoid a disturbed one in most cases
	}
	r.preferred = s.preferredCount(v, r.maxTotal)
	if secondRound {
		r = probeRound{maxOwnDomain: secondRoundProbes, maxTotal: secondRoundProbes, preferred: s.secondRoundCount(r.preferred), skipFresh: true}
	}
	if !s.hasPermittedInTier(v, tierDomain, q) && !s.hasPermittedInTier(v, tierRegion, q) {
		s.addTargets(v, tierOther, q, &r, r.maxTotal)
		return r.targets
	}
	s.addTargets(v, tierDomain, q, &r, r.maxOwnDomain)
	s.addTargets(v, tierRegion, q, &r, r.maxTotal)
	return r.targets
}

// preferredCount returns how many servers of a tier a gateway probes first: as many as it contacts within the time for
// which an idle connection is reused.
func (s *Snapshot) preferredCount(v *serviceView, probes int) int {
	rate := v.load.requestRate.load()
	if s.config.ReuseWindow == 0 || rate == 0 {
		return preferredServers
	}
	contacts := rate * float64(probes) * s.config.ReuseWindow.Seconds()
	return int(min(max(math.Ceil(contacts), float64(minPreferredPerProbe*probes)), preferredServers))
}

// secondRoundFactor is the number of servers among which a second round chooses, as a multiple of those probed first.
const secondRoundFactor = 2

// secondRoundCount returns the number of servers of a tier among which a second round chooses. It is all of them, unless
// the connections of a gateway with few requests have to be reused.
func (s *Snapshot) secondRoundCount(preferred int) int {
	if s.config.ReuseWindow == 0 {
		return math.MaxInt
	}
	return secondRoundFactor*preferred + secondRoundProbes
}

// probeRound is one round of probes before a selection.
type probeRound struct {
	// maxOwnDomain and maxTotal bound the servers of the own failure domain and those of all tiers.
	maxOwnDomain, maxTotal int
	// preferred is the number of servers of a tier that are probed before the others.
	preferred int
	// found counts the servers found so far; skipFresh excludes those with a fresh reading from the count.
	skipFresh bool
	found     int
	targets   []ProbeTarget
}

// addTargets adds servers of a tier until the round has found n. It starts with a random one of the preferred servers.
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
		if !s.isPermitted(c, q) {
			continue
		}
		if c.load.hasFreshReading(q.Now) {
			if !r.skipFresh {
				r.found++
			}
			continue
		}
		r.found++
		r.targets = append(r.targets, s.probeTarget(c))
	}
}

// HasIdleServer reports whether a server with a fresh reading has free slots and is undisturbed. It considers the own
// region, and other regions only if the own region has no server for the request.
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

// hasFreshReading reports whether the last reading is younger than readingLifetime.
func (l *serverLoad) hasFreshReading(now time.Duration) bool {
	at := l.readingAt.load()
	return at > 0 && now-at < readingLifetime
}

// currentSlowness returns the factor by which work takes longer than usual. The last reported slowness decays towards 1
// with its age.
func (l *serverLoad) currentSlowness(now time.Duration) float64 {
	at := l.slownessAt.load()
	if at == 0 {
		return 1
	}
	weight := float64(slownessHalfAge) / float64(slownessHalfAge+max(now-at, 0))
	return 1 + (l.slowness.load()-1)*weight
}
