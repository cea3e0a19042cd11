package balance

import "time"

// Constants of sampling.
const (
	// sampleSize is the number of eligible candidates compared in each tier.
	sampleSize = 4
	// scanLimit is the number of servers scanned in a tier if at least one of them is eligible. The scan goes on past it
	// until the first eligible server.
	scanLimit = 24
	// reserveTries bounds how often Pick chooses a server; it chooses again when a concurrent request took the last place
	// at the chosen one.
	reserveTries = 3
	// spillMargin multiplies the cost of a request to another region, because traffic between regions is billed.
	spillMargin = 1.25
	// refuseRetryAfter is the Retry-After suggested to callers of refused requests.
	refuseRetryAfter = time.Second
	// minPausedRetryAfter and maxPausedRetryAfter bound it if all servers have paused. Other servers may join within the
	// longest time.
	minPausedRetryAfter = 20 * time.Millisecond
	maxPausedRetryAfter = 5 * time.Second
	// maxDeadlineOverrun is the multiple of the remaining time; a request with a longer expected latency is refused.
	maxDeadlineOverrun = 2
)

// choice is the best candidate found so far.
type choice struct {
	candidate *candidate
	// expected is the expected latency in ns, including the network cost.
	expected float64
	// anyBusy is set if the verdict on any server was verdictBusy.
	anyBusy bool
	// anyUnreachable is set if connections to any server failed lately.
	anyUnreachable bool
	// pauseEnd is the earliest end of the pause of a server that was passed over for it; 0 for none.
	pauseEnd time.Duration
}

// refusal explains why no server was chosen.
func (b *choice) refusal(now time.Duration) Refusal {
	switch {
	case b.anyBusy:
		return newRefusal(ReasonOverloaded)
	case b.pauseEnd > 0:
		return Refusal{Reason: ReasonPaused, RetryAfter: min(max(b.pauseEnd-now, minPausedRetryAfter), maxPausedRetryAfter)}
	}
	r := newRefusal(ReasonNoServer)
	r.Unreachable = b.anyUnreachable
	return r
}

// Pick selects a server for one attempt. Unless the refusal is set, the caller may send the attempt and must end it with
// Done. Pick may be called by any goroutine and does not allocate.
func (s *Snapshot) Pick(q Query) (Attempt, Refusal) {
	v := s.services[q.Service]
	if v == nil {
		return Attempt{}, newRefusal(ReasonNoServer)
	}
	if !s.chargeBudget(v, &q) {
		return Attempt{}, newRefusal(ReasonBudget)
	}
	m := s.members[q.Member]
	if r := s.reserveWithinLimits(v, m); r != ReasonNone {
		s.refundBudget(v, &q)
		return Attempt{}, newRefusal(r)
	}
	c, cold, refused := s.chooseAndReserve(v, &q)
	if refused.Refused() {
		s.releaseLimits(v, m)
		s.refundBudget(v, &q)
		return Attempt{}, refused
	}
	return s.startAttempt(v, m, c, cold, &q), Refusal{}
}

// chooseAndReserve chooses a server, reserves a place there, and reports whether the limit of a cold start applies.
func (s *Snapshot) chooseAndReserve(v *serviceView, q *Query) (*candidate, bool, Refusal) {
	for range reserveTries {
		best := s.choose(v, q)
		if best.candidate == nil {
			return nil, false, best.refusal(q.Now)
		}
		if q.Remaining > 0 && best.expected > maxDeadlineOverrun*float64(q.Remaining) {
			return nil, false, newRefusal(ReasonDeadline)
		}
		if y, yields := s.shouldYield(v, q, &best); yields {
			return nil, false, Refusal{Reason: ReasonYield, RetryAfter: refuseRetryAfter, Yield: y}
		}
		cold := s.isCold(best.candidate, q.Now)
		if s.reservePlace(best.candidate, cold, q.Now) {
			return best.candidate, cold, Refusal{}
		}
		q.Random = mix(q.Random, 1)
	}
	return nil, false, newRefusal(ReasonOverloaded)
}

// reservePlace reserves a place at a server and, while the server is cold, this gateway's next send interval.
func (s *Snapshot) reservePlace(c *candidate, cold bool, now time.Duration) bool {
	if !reserve(&c.load.inFlight, s.inFlightLimit(c, cold)) {
		return false
	}
	if !cold || c.server.ColdInterval == 0 || c.load.nextColdSendAt.advance(now, c.server.ColdInterval) {
		return true
	}
	c.load.inFlight.Add(-1)
	return false
}

// inFlightLimit returns the maximum number of this gateway's requests in flight at a server. It holds for concurrent
// picks too.
func (s *Snapshot) inFlightLimit(c *candidate, cold bool) int64 {
	if cold {
		return c.load.cold.limit()
	}
	return int64(c.server.MaxInFlight)
}

// choose returns the best candidate. If the query asks for it, servers with a fresh reading are preferred, unless all of
// them are disturbed and an unknown server is likely to be faster.
func (s *Snapshot) choose(v *serviceView, q *Query) choice {
	if !q.PreferProbed {
		return s.chooseAcrossTiers(v, q)
	}
	best := s.chooseAcrossTiers(v, q)
	if best.candidate != nil && !s.isDisturbed(best.candidate, q.Now) {
		return best
	}
	q.PreferProbed = false // compare by latency history alone
	unknown := s.chooseAcrossTiers(v, q)
	if best.candidate == nil || unknown.candidate != nil && unknown.expected*v.load.usualSlowness() < best.expected {
		return unknown
	}
	q.PreferProbed = true
	return best
}

// isDisturbed reports whether the last reading of a server says that work takes longer there at the moment.
func (s *Snapshot) isDisturbed(c *candidate, now time.Duration) bool {
	return c.load.currentSlowness(now) >= maxIdleSlowness
}

// chooseAcrossTiers returns the best candidate of all tiers. It samples the own region first, and other regions only when
// the gain exceeds their cost.
func (s *Snapshot) chooseAcrossTiers(v *serviceView, q *Query) choice {
	var best choice
	s.sample(v, v.tiers[tierDomain], q, 0, &best)
	s.sample(v, v.tiers[tierRegion], q, float64(s.config.DomainCost), &best)
	spill := spillMargin * float64(s.config.SpillCost)
	if best.candidate != nil && (best.expected <= spill || isInTime(q, &best)) {
		return best
	}
	if q.Kind == AttemptHedge && (s.hasLocalServers(v) || best.candidate != nil) {
		return best
	}
	if q.Remaining > 0 && q.Remaining < s.config.SpillCost {
		return best
	}
	s.sample(v, v.tiers[tierOther], q, spill, &best)
	return best
}

// inTimeShare is the share of the time to the latency target up to which an expected latency counts as in time; the rest
// allows for its spread.
const inTimeShare = 0.8

// isInTime reports whether a request is expected to reach its latency target at the best server of the own region. Then
// nothing is gained by a faster one in another region, and traffic between regions is billed.
func isInTime(q *Query, best *choice) bool {
	return q.Target > 0 && !q.Late && best.expected <= inTimeShare*float64(q.Target)
}

// hasLocalServers reports whether the service has servers in the own region. If so, no hedge is sent to another region,
// where it would come too late.
func (s *Snapshot) hasLocalServers(v *serviceView) bool {
	return len(v.tiers[tierDomain])+len(v.tiers[tierRegion]) > 0
}

// sample compares eligible candidates, starting at a random position, and updates best. It compares up to sampleSize of
// them or, if the query prefers probed servers, all that have a fresh reading.
func (s *Snapshot) sample(v *serviceView, list []candidate, q *Query, cost float64, best *choice) {
	n := uint64(len(list))
	if n == 0 {
		return
	}
	i := mix(q.Random, n) % n
	freshOnly := q.PreferProbed && !(list[0].tier == tierOther && best.candidate != nil)
	found := 0
	for scanned := range n {
		if scanned >= scanLimit && found > 0 && !freshOnly {
			return
		}
		c := &list[i]
		i++
		if i == n {
			i = 0
		}
		if freshOnly && !c.load.hasFreshReading(q.Now) {
			continue
		}
		switch s.checkEligibility(v, c, q) {
		case verdictForbidden:
			best.anyUnreachable = best.anyUnreachable || q.Now < c.load.unreachableUntil.load()
			continue
		case verdictBusy:
			best.anyBusy = true
			continue
		case verdictPaused:
			if end := c.load.pausedUntil.load(); best.pauseEnd == 0 || end < best.pauseEnd {
				best.pauseEnd = end
			}
			continue
		}
		expected := s.expectedLatency(v, c, q.Now) + cost
		if best.candidate == nil || expected < best.expected {
			best.candidate, best.expected = c, expected
		}
		if found++; found == sampleSize && !freshOnly {
			return
		}
	}
}

// reserveWithinLimits reserves a place within the limits of the service and the member, or returns why it could not.
func (s *Snapshot) reserveWithinLimits(v *serviceView, m *memberLoad) Reason {
	if !reserve(&v.load.inFlight, v.load.limit.Load()) {
		return ReasonServiceLimit
	}
	if m != nil && !reserve(&m.inFlight, m.limit.Load()) {
		v.load.inFlight.Add(-1)
		return ReasonMemberLimit
	}
	return ReasonNone
}

// releaseLimits releases the place that reserveWithinLimits reserved.
func (s *Snapshot) releaseLimits(v *serviceView, m *memberLoad) {
	v.load.inFlight.Add(-1)
	if m != nil {
		m.inFlight.Add(-1)
	}
}

func (s *Snapshot) startAttempt(v *serviceView, m *memberLoad, c *candidate, cold bool, q *Query) Attempt {
	c.load.requestStarted(q.Now)
	if q.Kind == AttemptFirst {
		v.load.firstAttempts.Add(1)
	}
	return Attempt{
		Address: c.server.Address, ID: c.server.ID, FailureDomain: c.server.FailureDomain, Region: c.server.Region,
		State: c.server.State, Owned: c.server.Owned,
		snapshot: s, view: v, candidate: c, member: m,
		Details: s.pickDetails(v, c, q.Now),
		start:   q.Now, slowness: c.load.currentSlowness(q.Now), ticket: c.load.tickets.issue(), cold: cold,
	}
}

func (s *Snapshot) pickDetails(v *serviceView, c *candidate, now time.Duration) PickDetails {
	e := PickDetails{Load: s.estimateInFlight(v, c, now, c.load.inFlight.Load()), Slowness: c.load.currentSlowness(now), ReadingAge: -1}
	if at := c.load.readingAt.load(); at > 0 {
		e.ReadingAge = now - at
	}
	return e
}

// chargeBudget spends one token of the retry or hedge budget; a first attempt adds to both. It returns false if the
// attempt is not permitted.
func (s *Snapshot) chargeBudget(v *serviceView, q *Query) bool {
	switch q.Kind {
	case AttemptRetry:
		return s.config.Switches.NoRetryBudget || v.load.retries.spend()
	case AttemptHedge:
		return q.Idempotent && !s.config.Switches.NoHedging && v.load.hedges.spend()
	case AttemptPlacedAnew:
		return true
	}
	v.load.retries.deposit(s.config.RetryShare, s.config.RetryBurst)
	v.load.hedges.deposit(s.config.HedgeShare, hedgeBurst)
	return true
}

// refundBudget gives back the token that a refused retry or hedge was charged.
func (s *Snapshot) refundBudget(v *serviceView, q *Query) {
	switch q.Kind {
	case AttemptRetry:
		v.load.retries.refund()
	case AttemptHedge:
		v.load.hedges.refund()
	}
}

func newRefusal(r Reason) Refusal { return Refusal{Reason: r, RetryAfter: refuseRetryAfter} }

// mix derives another random value with the finaliser of SplitMix64.
func mix(random, salt uint64) uint64 {
	z := random + (salt+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
