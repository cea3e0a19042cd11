package balance

import (
	"slices"
	"time"
)

// verdict tells whether a candidate may receive a request.
type verdict uint8

const (
	verdictEligible verdict = iota
	// verdictBusy: permitted, but at a limit or paused.
	verdictBusy
	// verdictForbidden: not permitted, whatever the load.
	verdictForbidden
)

// maxLoadPerSlot is the number of requests at a server, in times of its slots, above which it counts as busy.
const maxLoadPerSlot = 2.5

// maxHedgeLoadPerSlot is the number of requests at a server, in times of its slots, above which it gets no hedge.
const maxHedgeLoadPerSlot = 1.5

// checkEligibility checks a candidate against the rules that no load can override, then against those of its state and load.
func (s *Snapshot) checkEligibility(v *serviceView, c *candidate, q *Query) verdict {
	if !s.isPermitted(c, q) {
		return verdictForbidden
	}
	if q.Now < c.load.unreachableUntil.load() {
		return verdictForbidden
	}
	if c.server.State != StateCold && q.Now < c.load.reportedColdUntil.load() {
		return verdictBusy
	}
	if q.Now < c.load.ejectedUntil.load() || !s.passesReturnRamp(c, q) {
		return verdictBusy
	}
	if !s.config.Switches.NoPause && q.Now < c.load.pausedUntil.load() {
		return verdictBusy
	}
	return s.checkLoad(v, c, q)
}

// isPermitted holds the rules of safety: region, exclusion, evidence, state, and the right to send to a cold server.
func (s *Snapshot) isPermitted(c *candidate, q *Query) bool {
	if !q.AnyRegion && !slices.Contains(q.Regions, c.server.Region) {
		return false
	}
	if slices.Contains(q.Excluded[:], c.server.Address) {
		return false
	}
	if q.Now-c.load.evidenceAt.load() >= s.config.EvidenceLifetime {
		return false
	}
	reported := State(c.load.reportedState.Load())
	if reported > StateCold {
		return false
	}
	if c.server.State != StateCold && reported != StateCold {
		return !s.isSuspected(c, q.Now) || s.maySendCold(c, q.Now)
	}
	return s.maySendCold(c, q.Now)
}

// maySendCold reports whether this gateway has the right to send to a cold server.
func (s *Snapshot) maySendCold(c *candidate, now time.Duration) bool {
	return c.server.Owned && now < c.load.sendUntil.load()
}

// isSuspected reports whether the server's behaviour showed a fallback. The owner ends the suspicion when its limit has
// risen to the server's slots; other gateways try again after a while.
func (s *Snapshot) isSuspected(c *candidate, now time.Duration) bool {
	at := c.load.cold.suspectedAt.load()
	if at == 0 {
		return false
	}
	return c.server.Owned || now-at < suspicionTime
}

// isCold reports whether the limit of cold start applies.
func (s *Snapshot) isCold(c *candidate, now time.Duration) bool {
	if s.config.Switches.NoColdLimit {
		return false
	}
	return c.server.State == StateCold || State(c.load.reportedState.Load()) == StateCold || s.isSuspected(c, now)
}

// passesReturnRamp lets a growing share of requests consider a server that returns.
func (s *Snapshot) passesReturnRamp(c *candidate, q *Query) bool {
	start := c.load.returnRampStart.load()
	if start == 0 || s.config.Switches.NoGradualReturn {
		return true
	}
	passed := q.Now - start
	if passed >= s.config.ReturnRampTime {
		return true
	}
	share := minReturnShare + (1-minReturnShare)*float64(passed)/float64(s.config.ReturnRampTime)
	return float64(mix(q.Random, uint64(c.slots))>>11)/(1<<53) < share
}

// minReturnShare is the share at which a return begins.
const minReturnShare = 0.05

// checkLoad holds the limits. A hedge goes only to a server without a queue: at high load it
// would take the place of a first attempt.
func (s *Snapshot) checkLoad(v *serviceView, c *candidate, q *Query) verdict {
	own := c.load.inFlight.Load()
	if s.isCold(c, q.Now) {
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

// nextColdSend is when a cold server may get its next request from this gateway.
func (c *candidate) nextColdSend() time.Duration {
	if c.server.ColdInterval == 0 {
		return 0
	}
	return c.load.nextColdSendAt.load()
}

// estimateInFlight estimates the requests at a server, of this gateway and of others. Where the report has aged, the mean of the
// service takes its place.
func (s *Snapshot) estimateInFlight(v *serviceView, c *candidate, now time.Duration, own int64) float64 {
	others, weight := c.load.report.weightedOthers(now, v.load.typicalWork.load(), s.config.Switches)
	if s.config.Switches.NoReports {
		return float64(own)
	}
	return float64(own) + others + v.load.meanOthers.load()*(1-weight)
}

// isFull reports whether a server is at its limit. A gateway whose report has aged may test a full server with a single
// request, whose answer brings a new report.
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
