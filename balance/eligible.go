package balance

import (
	"slices"
	"time"
)

// verdict is the result of an eligibility check.
type verdict uint8

const (
	verdictEligible verdict = iota
	// verdictBusy: the candidate is permitted, but ejected, returning or at a limit.
	verdictBusy
	// verdictPaused: the candidate asked this gateway to send nothing for a time.
	verdictPaused
	// verdictForbidden: the candidate must not receive the request, regardless of load, or cannot be reached.
	verdictForbidden
)

// maxLoadPerSlot is the number of requests per slot from which on a server counts as busy.
const maxLoadPerSlot = 2.5

// maxHedgeLoadPerSlot is the number of requests per slot above which a server receives no hedge.
const maxHedgeLoadPerSlot = 1.5

// checkEligibility applies the rules that hold regardless of load, then those that depend on the candidate's state and
// load.
func (s *Snapshot) checkEligibility(v *serviceView, c *candidate, q *Query) verdict {
	if !isInRegion(c, q) {
		return verdictForbidden
	}
	standing := s.standing(c, q.Now)
	switch {
	case standing == StandingPaused: // also if it is excluded, because the request could be sent there once the pause ends
		return verdictPaused
	case standing >= StandingUnreachable || isExcluded(c, q):
		return verdictForbidden
	case standing == StandingCold && !s.mayReceiveCold(c, q.Now):
		return verdictForbidden
	case standing == StandingEjected || !s.passesReturnRamp(c, q):
		return verdictBusy
	case standing == StandingCold && c.server.State != StateCold && q.Now < c.load.reportedColdUntil.load():
		return verdictBusy
	case q.Now < c.load.backoffUntil.load() && !s.config.Switches.NoPause:
		return verdictBusy
	}
	return s.checkLoad(v, c, q, standing == StandingCold && !s.config.Switches.NoColdLimit)
}

// isPermitted reports whether the server may be probed for the request: region, exclusion, state, and the right to send to
// a cold server.
func (s *Snapshot) isPermitted(c *candidate, q *Query) bool {
	if !isInRegion(c, q) || isExcluded(c, q) {
		return false
	}
	standing := s.standing(c, q.Now)
	return standing < StandingUnreachable && (standing != StandingCold || s.mayReceiveCold(c, q.Now))
}

func isInRegion(c *candidate, q *Query) bool {
	return q.AnyRegion || slices.Contains(q.Regions, c.server.Region)
}

func isExcluded(c *candidate, q *Query) bool { return slices.Contains(q.Excluded[:], c.server.Address) }

// mayReceiveCold reports whether this gateway may send to a server in StandingCold. A cold start that only a reading
// reports needs no right, because such a server counts as busy.
func (s *Snapshot) mayReceiveCold(c *candidate, now time.Duration) bool {
	needsRight := c.server.State == StateCold || State(c.load.reportedState.Load()) == StateCold || s.isSuspected(c, now)
	return !needsRight || s.maySendCold(c, now)
}

// maySendCold reports whether this gateway currently has the right to send to a cold server.
func (s *Snapshot) maySendCold(c *candidate, now time.Duration) bool {
	return c.server.Owned && now < c.load.sendUntil.load()
}

// isSuspected reports whether the server's behaviour indicates a fallback into cold start. The owner clears the suspicion
// when the fallback has ended (see reportFallbacks); other gateways try again after suspicionTime.
func (s *Snapshot) isSuspected(c *candidate, now time.Duration) bool {
	at := c.load.cold.suspectedAt.load()
	if at == 0 {
		return false
	}
	return c.server.Owned || now-at < suspicionTime
}

// isCold reports whether the in-flight limit of a cold start applies.
func (s *Snapshot) isCold(c *candidate, now time.Duration) bool {
	if s.config.Switches.NoColdLimit {
		return false
	}
	return c.server.State == StateCold || State(c.load.reportedState.Load()) == StateCold || s.isSuspected(c, now)
}

// passesReturnRamp reports whether the request may be sent to a returning server. The share of requests for which it
// returns true grows over ReturnRampTime.
func (s *Snapshot) passesReturnRamp(c *candidate, q *Query) bool {
	rampStart := c.load.returnRampStart.load()
	if rampStart == 0 || s.config.Switches.NoGradualReturn {
		return true
	}
	elapsed := q.Now - rampStart
	if elapsed >= s.config.ReturnRampTime {
		return true
	}
	share := minReturnShare + (1-minReturnShare)*float64(elapsed)/float64(s.config.ReturnRampTime)
	return float64(mix(q.Random, uint64(c.slots))>>11)/(1<<53) < share
}

// minReturnShare is the share of requests that may be sent to a server when its return begins.
const minReturnShare = 0.05

// checkLoad applies the load limits. The limit for hedges is stricter, because at high load a hedge would take the place
// of a first attempt.
func (s *Snapshot) checkLoad(v *serviceView, c *candidate, q *Query, cold bool) verdict {
	own := c.load.inFlight.Load()
	if cold {
		if own >= c.load.cold.limit() || q.Now < c.load.cold.cancelledGoneAt.load() || q.Now < c.nextColdSend() {
			return verdictBusy
		}
		return verdictEligible
	}
	if c.server.MaxInFlight > 0 && own >= int64(c.server.MaxInFlight) {
		return verdictBusy
	}
	if q.Kind == AttemptHedge && s.estimateInFlight(v, c, q.Now, own) > maxHedgeLoadPerSlot*float64(c.slots) {
		return verdictBusy
	}
	if s.config.Switches.NoServerLimit {
		return verdictEligible
	}
	if s.isFull(v, c, q.Now, own) {
		return verdictBusy
	}
	return verdictEligible
}

// nextColdSend returns the earliest time at which this gateway may send the next request to the server while it is cold.
func (c *candidate) nextColdSend() time.Duration {
	if c.server.ColdInterval == 0 {
		return 0
	}
	return c.load.nextColdSendAt.load()
}

// estimateInFlight estimates the number of requests in flight at a server, from this gateway and from others. As the
// server's report ages, the mean of the service replaces it.
func (s *Snapshot) estimateInFlight(v *serviceView, c *candidate, now time.Duration, own int64) float64 {
	others, weight := c.load.report.weightedOthers(now, v.load.typicalWork.load(), s.config.Switches)
	if s.config.Switches.NoReports {
		return float64(own)
	}
	return float64(own) + others + v.load.meanOthers.load()*(1-weight)
}

// isFull reports whether a server is at its limit. A gateway whose report has aged may send a single request to a server
// last reported as full; its response brings a new report.
func (s *Snapshot) isFull(v *serviceView, c *candidate, now time.Duration, own int64) bool {
	limit := maxLoadPerSlot * float64(c.slots)
	if float64(own) >= limit {
		return true
	}
	if s.config.Switches.NoReports {
		return false
	}
	r := &c.load.report
	others := r.others.load() * r.trust(s.config.Switches)
	return float64(own)+others >= limit && (own > 0 || r.weight(now, v.load.typicalWork.load()) > 0.5)
}
