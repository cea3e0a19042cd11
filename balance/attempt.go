package balance

import "time"

// Times after which a server to which no connection could be opened is tried again.
const (
	unreachableInitial      = 100 * time.Millisecond
	unreachableMax          = 2 * time.Second
	unreachableMaxDoublings = 5
)

// The first pause of a server that asks for one, and how often it doubles at most.
const (
	pauseInitial      = 20 * time.Millisecond
	pauseMaxDoublings = 16
)

// Done ends the attempt: it releases its place and takes what the outcome teaches. It may be called by any goroutine.
func (a Attempt) Done(o Outcome) {
	if a.candidate == nil || !a.candidate.load.tickets.close(a.ticket) {
		return
	}
	a.candidate.load.requestEnded(a.start)
	a.snapshot.releaseLimits(a.view, a.member)
	now := a.start + o.Latency
	if o.Kind == OutcomeNotConnected {
		a.recordConnectFailure(now)
		return
	}
	a.recordReachable(now)
	a.recordState(now, o)
	a.recordRetryAfter(now, o)
	a.recordLatency(now, o)
	a.recordLoad(now, o)
}

// recordConnectFailure passes the server over for a while that doubles with each failure in a row.
func (a Attempt) recordConnectFailure(now time.Duration) {
	l := a.candidate.load
	n := min(l.connectFailures.Add(1)-1, unreachableMaxDoublings)
	l.unreachableUntil.raise(now + min(unreachableInitial<<n, unreachableMax))
}

// recordReachable starts a gradual return after failed connections.
func (a Attempt) recordReachable(now time.Duration) {
	l := a.candidate.load
	if l.connectFailures.Load() == 0 {
		return
	}
	l.connectFailures.Store(0)
	l.returnRampStart.store(now)
}

// recordState takes the state header. It is evidence as of the time at which the request was sent.
func (a Attempt) recordState(now time.Duration, o Outcome) {
	if !o.HasState {
		return
	}
	l := a.candidate.load
	before := State(l.reportedState.Swap(uint32(o.State)))
	if o.State <= StateCold {
		l.evidenceAt.raise(a.start)
	}
	if o.State == StateCold && before != StateCold && a.candidate.server.State != StateCold {
		l.cold.resetLimit(now)
		l.cold.noticeSent.Store(false)
	}
}

// recordRetryAfter takes Retry-After as an upper bound: its unit is a second, in which a server answers thousands of requests.
// The pause starts short and doubles while the server goes on asking for it.
func (a Attempt) recordRetryAfter(now time.Duration, o Outcome) {
	l := a.candidate.load
	switch {
	case o.Kind == OutcomeOK:
		l.consecutivePauses.Store(0)
	case o.RetryAfter > 0 && now >= l.pausedUntil.load():
		n := min(l.consecutivePauses.Add(1)-1, pauseMaxDoublings)
		l.pausedUntil.raise(now + min(pauseInitial<<n, o.RetryAfter))
	}
}

// recordLatency updates the estimates, the limit of a cold start, and the watch for a fallback.
func (a Attempt) recordLatency(now time.Duration, o Outcome) {
	c := a.candidate
	work := max(float64(o.Latency-c.cost), float64(minWork))
	typical := a.view.load.typicalWork.load()
	ok := o.Kind == OutcomeOK
	if ok {
		a.view.load.latencies.add(o.Latency)
	}
	if o.Kind == OutcomeCanceled {
		c.load.latency.addLowerBound(now, work, typical)
		a.detectFallbackFromCancel(now, o)
		c.load.cold.cancelledGoneAt.raise(now + c.cost + cancelGrace)
		return
	}
	if a.cold {
		c.load.cold.recordAnswer(now, ok, work, typical, c.slots)
	}
	if o.Kind == OutcomeNotRun && o.RetryAfter > 0 && !a.cold {
		// The pause deals with a server that sheds load; its speed is not known to have changed.
		return
	}
	total := a.snapshot.estimateInFlight(a.view, c, now, c.load.inFlight.Load())
	seen := work / max(a.slowness, 1)
	if !a.cold { // at a cold server, the limit leaves no queue
		seen /= max(1, (total+1)/float64(c.slots))
	}
	a.detectFallback(now, o, seen, total)
	penalised := !ok && !a.snapshot.config.Switches.NoFailurePenalty
	if penalised {
		seen = max(seen, failurePenalty*typical)
	}
	c.load.latency.add(now, seen)
	switch {
	case ok:
		c.load.latency.addUnpenalized(seen)
	case penalised:
		c.load.latency.slow.blend(seen, failureWeight)
	}
}

// detectFallbackFromCancel counts an attempt that a hedge overtook; otherwise hedging would hide a fallback.
func (a Attempt) detectFallbackFromCancel(now time.Duration, o Outcome) {
	after := a.view.load.hedgeAfter.load()
	if a.cold || a.snapshot.config.Switches.NoFallbackDetection || after == 0 || o.Latency <= after {
		return
	}
	if a.candidate.load.cold.recordAnomaly(now, true) {
		a.candidate.load.cold.markSuspected(now)
	}
}

// detectFallback compares an answer with the server's own history.
func (a Attempt) detectFallback(now time.Duration, o Outcome, seen, total float64) {
	c := a.candidate
	if a.cold || a.snapshot.config.Switches.NoFallbackDetection || c.load.latency.samples.Load() < minAnswers {
		return
	}
	slow := o.Kind == OutcomeOK && seen > anomalyFactor*max(c.load.latency.slow.load(), a.view.load.typicalWork.load())
	shed := o.Kind == OutcomeNotRun && total < float64(c.slots)/2
	if c.load.cold.recordAnomaly(now, slow || shed) {
		c.load.cold.markSuspected(now)
	}
}

// recordLoad takes the load header and judges it by the latency seen.
func (a Attempt) recordLoad(now time.Duration, o Outcome) {
	if o.Slots <= 0 {
		return
	}
	c := a.candidate
	own := c.load.inFlight.Load()
	c.load.report.add(now, int64(o.InFlight), own)
	typical := a.view.load.typicalWork.load()
	if typical == 0 || o.Kind != OutcomeOK {
		return
	}
	predicted := typical * max(1, float64(o.InFlight+1)/float64(c.slots))
	seen := max(float64(o.Latency-c.cost), float64(minWork))
	c.load.report.updateTrust(predicted, seen)
}
