package balance

import "time"

// Backoff of a server to which no connection could be opened: the first wait, the longest, and how often it doubles at
// most.
const (
	unreachableInitial      = 100 * time.Millisecond
	unreachableMax          = 2 * time.Second
	unreachableMaxDoublings = 5
)

// Backoff of a server that sheds load without asking for a pause: the first one, and how often it doubles at most.
const (
	backoffInitial      = 20 * time.Millisecond
	backoffMaxDoublings = 16
)

// Done ends the attempt: it releases the reserved place and updates the server's load and latency from the outcome. It
// may be called by any goroutine.
func (a Attempt) Done(o Outcome) {
	if a.candidate == nil || !a.candidate.load.tickets.release(a.ticket) {
		return
	}
	a.candidate.load.requestEnded(a.start)
	a.snapshot.releaseLimits(a.view, a.member)
	if o.Kind == OutcomeDiscarded {
		return
	}
	now := a.start + o.Latency
	if o.Kind == OutcomeNotConnected {
		a.recordConnectFailure(now)
		return
	}
	a.recordReachable(now)
	a.recordState(now, o)
	a.recordBackoff(now, o)
	a.recordLatency(now, o)
	a.recordLoad(now, o)
}

// recordConnectFailure excludes the server for a time that doubles with each consecutive failure.
func (a Attempt) recordConnectFailure(now time.Duration) {
	l := a.candidate.load
	n := min(l.connectFailures.Add(1)-1, unreachableMaxDoublings)
	l.unreachableUntil.raise(now + min(unreachableInitial<<n, unreachableMax))
}

// recordReachable starts a gradual return of the server if connections to it have failed before.
func (a Attempt) recordReachable(now time.Duration) {
	l := a.candidate.load
	if l.connectFailures.Load() == 0 {
		return
	}
	l.connectFailures.Store(0)
	l.returnRampStart.store(now)
}

// recordState records the state in the response. The state is evidence as of the time at which the request was sent.
func (a Attempt) recordState(now time.Duration, o Outcome) {
	if !o.HasState {
		return
	}
	l := a.candidate.load
	if o.State > StateCold {
		l.record(now, Statement{Leaving: true})
		return
	}
	before := State(l.reportedState.Swap(uint32(o.State)))
	l.evidenceAt.raise(a.start)
	if o.State == StateCold && before != StateCold && a.candidate.server.State != StateCold {
		l.cold.resetLimit(now)
		l.cold.noticeSent.Store(false)
	}
}

// recordBackoff sends nothing for a moment to a server that shed load with Retry-After but does not pause this gateway (see
// Statement). The header is only an upper bound then. The backoff doubles while the server repeats the header.
func (a Attempt) recordBackoff(now time.Duration, o Outcome) {
	l := a.candidate.load
	switch {
	case o.Kind == OutcomeOK:
		l.consecutiveBackoffs.Store(0)
	case o.RetryAfter > 0 && now >= l.backoffUntil.load() && now >= l.pausedUntil.load():
		n := min(l.consecutiveBackoffs.Add(1)-1, backoffMaxDoublings)
		l.backoffUntil.raise(now + min(backoffInitial<<n, o.RetryAfter))
	}
}

// recordLatency updates the latency estimates, the limit of a cold start and the detection of a fallback.
func (a Attempt) recordLatency(now time.Duration, o Outcome) {
	c := a.candidate
	work := max(float64(o.Latency-c.cost), float64(minWork))
	typicalWork := a.view.load.typicalWork.load()
	ok := o.Kind == OutcomeOK
	if ok {
		a.view.load.latencies.add(o.Latency)
	}
	if o.Kind == OutcomeCanceled {
		c.load.latency.addLowerBound(now, work, typicalWork)
		a.detectFallbackFromCancel(now, o)
		c.load.cold.cancelledGoneAt.raise(now + c.cost + cancelGrace)
		return
	}
	if a.cold {
		c.load.cold.recordResponse(now, ok, work, typicalWork, c.slots)
	}
	if o.Kind == OutcomeNotRun && o.RetryAfter > 0 && !a.cold {
		// A server that sheds load is paused; the response does not show that its speed has changed.
		return
	}
	total := a.snapshot.estimateInFlight(a.view, c, now, c.load.inFlight.Load())
	adjustedWork := work / max(a.slowness, 1)
	if !a.cold { // the limit of a cold server permits no queue
		adjustedWork /= max(1, (total+1)/float64(c.slots))
	}
	a.detectFallback(now, o, adjustedWork, total)
	penalised := !ok && !a.snapshot.config.Switches.NoFailurePenalty
	if penalised {
		adjustedWork = max(adjustedWork, failurePenalty*typicalWork)
	}
	c.load.latency.add(now, adjustedWork)
	switch {
	case ok:
		c.load.latency.addUnpenalized(adjustedWork)
	case penalised:
		c.load.latency.slow.blend(adjustedWork, failureWeight)
	}
}

// detectFallbackFromCancel counts a cancelled attempt as anomalous if it was slow enough to be hedged. If such attempts did
// not count, hedging would hide a fallback.
func (a Attempt) detectFallbackFromCancel(now time.Duration, o Outcome) {
	after := a.view.load.hedgeAfter.load()
	if a.cold || a.snapshot.config.Switches.NoFallbackDetection || after == 0 || o.Latency <= after {
		return
	}
	if a.candidate.load.cold.recordAnomaly(now, true) {
		a.candidate.load.cold.markSuspected(now)
	}
}

// detectFallback compares a response with the server's own history and with the typical work time.
func (a Attempt) detectFallback(now time.Duration, o Outcome, adjustedWork, total float64) {
	c := a.candidate
	if a.cold || a.snapshot.config.Switches.NoFallbackDetection || c.load.latency.samples.Load() < minResponses {
		return
	}
	slow := o.Kind == OutcomeOK && adjustedWork > anomalyFactor*max(c.load.latency.slow.load(), a.view.load.typicalWork.load())
	shed := o.Kind == OutcomeNotRun && total < float64(c.slots)/2
	if c.load.cold.recordAnomaly(now, slow || shed) {
		c.load.cold.markSuspected(now)
	}
}

// recordLoad records the load in the response, and updates the trust in the server's reports by comparing the load with the
// measured latency.
func (a Attempt) recordLoad(now time.Duration, o Outcome) {
	if o.Slots <= 0 {
		return
	}
	c := a.candidate
	own := c.load.inFlight.Load()
	c.load.report.add(now, int64(o.InFlight), own)
	typicalWork := a.view.load.typicalWork.load()
	if typicalWork == 0 || o.Kind != OutcomeOK {
		return
	}
	predicted := typicalWork * max(1, float64(o.InFlight+1)/float64(c.slots))
	measured := max(float64(o.Latency-c.cost), float64(minWork))
	c.load.report.updateTrust(predicted, measured)
}
