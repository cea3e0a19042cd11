package balance

import (
	"slices"
	"time"
)

// verdict tells whether a candidate may receive a request.
type verdict uint8

const (
	verdictYes verdict = iota
	// verdictBusy: permitted, but at a limit or paused.
	verdictBusy
	// verdictNo: not permitted, whatever the load.
	verdictNo
)

// serverLimit is the number of requests at a server, in times of its slots, above which it counts as busy.
const serverLimit = 2.5

// hedgeLimit is the number of requests at a server, in times of its slots, above which it gets no hedge.
const hedgeLimit = 1.5

// judge checks a candidate against the rules that no load can override, then against those of its state and load.
func (s *Snapshot) judge(v *serviceView, c *candidate, q *Query) verdict {
	if !s.permitted(c, q) {
		return verdictNo
	}
	if q.Now < c.load.unreachableUntil.load() {
		return verdictNo
	}
	if c.server.State != StateCold && q.Now < c.load.coldHeard.load() {
		return verdictBusy
	}
	if q.Now < c.load.ejectedUntil.load() || !s.returned(c, q) {
		return verdictBusy
	}
	if !s.config.Switches.NoPause && q.Now < c.load.pausedUntil.load() {
		return verdictBusy
	}
	return s.judgeLoad(v, c, q)
}

// permitted holds the rules of safety: region, exclusion, evidence, state, and the right to send to a cold server.
func (s *Snapshot) permitted(c *candidate, q *Query) bool {
	if !q.AnyRegion && !slices.Contains(q.Regions, c.server.Region) {
		return false
	}
	if slices.Contains(q.Excluded[:], c.server.Address) {
		return false
	}
	if q.Now-c.load.evidence.load() >= s.config.EvidenceLifetime {
		return false
	}
	reported := State(c.load.reported.Load())
	if reported > StateCold {
		return false
	}
	if c.server.State != StateCold && reported != StateCold {
		return !s.suspected(c, q.Now) || s.mayWarm(c, q.Now)
	}
	return s.mayWarm(c, q.Now)
}

// mayWarm reports whether this gateway has the right to send to a cold server.
func (s *Snapshot) mayWarm(c *candidate, now time.Duration) bool {
	return c.server.Owned && now < c.load.sendUntil.load()
}

// suspected reports whether the server's behaviour showed a fallback. The owner ends the suspicion when its limit has
// risen to the server's slots; other gateways try again after a while.
func (s *Snapshot) suspected(c *candidate, now time.Duration) bool {
	at := c.load.cold.fallback.load()
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
	return c.server.State == StateCold || State(c.load.reported.Load()) == StateCold || s.suspected(c, now)
}

// returned lets a growing share of requests consider a server that returns.
func (s *Snapshot) returned(c *candidate, q *Query) bool {
	start := c.load.returnStart.load()
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

// judgeLoad holds the limits. A hedge goes only to a server without a queue: at high load it
// would take the place of a first attempt.
func (s *Snapshot) judgeLoad(v *serviceView, c *candidate, q *Query) verdict {
	own := c.load.inFlight.Load()
	if s.isCold(c, q.Now) {
		if own >= c.load.cold.limit() || q.Now < c.load.cold.settled.load() || q.Now < c.coldTurn() {
			return verdictBusy
		}
		return verdictYes
	}
	if c.server.MaxInFlight > 0 && own >= int64(c.server.MaxInFlight) {
		return verdictBusy
	}
	if q.Kind == AttemptHedge && s.total(v, c, q.Now, own) > hedgeLimit*float64(c.slots) {
		return verdictBusy
	}
	if s.config.Switches.NoServerLimit {
		return verdictYes
	}
	if s.full(v, c, q.Now, own) {
		return verdictBusy
	}
	return verdictYes
}

// coldTurn is when a cold server may get its next request from this gateway.
func (c *candidate) coldTurn() time.Duration {
	if c.server.ColdInterval == 0 {
		return 0
	}
	return c.load.coldTurn.load()
}

// total estimates the requests at a server, of this gateway and of others. Where the report has aged, the mean of the
// service takes its place.
func (s *Snapshot) total(v *serviceView, c *candidate, now time.Duration, own int64) float64 {
	others, weight := c.load.report.fresh(now, v.load.typical.load(), s.config.Switches)
	if s.config.Switches.NoReports {
		return float64(own)
	}
	return float64(own) + others + v.load.typicalOthers.load()*(1-weight)
}

// full reports whether a server is at its limit. A gateway whose report has aged may test a full server with a single
// request, whose answer brings a new report.
func (s *Snapshot) full(v *serviceView, c *candidate, now time.Duration, own int64) bool {
	limit := serverLimit * float64(c.slots)
	if float64(own) >= limit {
		return true
	}
	if s.config.Switches.NoReports {
		return false
	}
	r := &c.load.report
	others := r.others.load() * r.trust(s.config.Switches)
	return float64(own)+others >= limit && (own > 0 || r.weight(now, v.load.typical.load()) > 0.5)
}
