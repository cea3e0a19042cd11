package balance

import "time"

// Times after which a server to which no connection could be opened is tried again.
const (
	unreachableFirst = 100 * time.Millisecond
	unreachableMost  = 2 * time.Second
	unreachableSteps = 5
)

// The first pause of a server that asks for one, and how often it doubles at most.
const (
	pauseFirst = 20 * time.Millisecond
	pauseSteps = 16
)

// Done ends the attempt: it releases its place and takes what the outcome teaches. It may be called by any goroutine.
func (a Attempt) Done(o Outcome) {
	if a.candidate == nil || !a.candidate.load.tickets.redeem(a.ticket) {
		return
	}
	a.candidate.load.closed(a.start)
	a.snapshot.release(a.view, a.member)
	now := a.start + o.Latency
	if o.Kind == OutcomeNotConnected {
		a.notConnected(now)
		return
	}
	a.learnReachable(now)
	a.learnState(now, o)
	a.learnPause(now, o)
	a.learnLatency(now, o)
	a.learnLoad(now, o)
}

// notConnected passes the server over for a while that doubles with each failure in a row.
func (a Attempt) notConnected(now time.Duration) {
	l := a.candidate.load
	n := min(l.unreachable.Add(1)-1, unreachableSteps)
	l.unreachableUntil.raise(now + min(unreachableFirst<<n, unreachableMost))
}

// learnReachable starts a gradual return after failed connections.
func (a Attempt) learnReachable(now time.Duration) {
	l := a.candidate.load
	if l.unreachable.Load() == 0 {
		return
	}
	l.unreachable.Store(0)
	l.returnStart.store(now)
}

// learnState takes the state header. It is evidence as of the time at which the request was sent.
func (a Attempt) learnState(now time.Duration, o Outcome) {
	if !o.HasState {
		return
	}
	l := a.candidate.load
	before := State(l.reported.Swap(uint32(o.State)))
	if o.State <= StateCold {
		l.evidence.raise(a.start)
	}
	if o.State == StateCold && before != StateCold && a.candidate.server.State != StateCold {
		l.cold.begin(now)
		l.cold.told.Store(false)
	}
}

// learnPause takes Retry-After as an upper bound: its unit is a second, in which a server answers thousands of requests.
// The pause starts short and doubles while the server goes on asking for it.
func (a Attempt) learnPause(now time.Duration, o Outcome) {
	l := a.candidate.load
	switch {
	case o.Kind == OutcomeOK:
		l.pauses.Store(0)
	case o.RetryAfter > 0 && now >= l.pausedUntil.load():
		n := min(l.pauses.Add(1)-1, pauseSteps)
		l.pausedUntil.raise(now + min(pauseFirst<<n, o.RetryAfter))
	}
}

// learnLatency updates the estimates, the limit of a cold start, and the watch for a fallback.
func (a Attempt) learnLatency(now time.Duration, o Outcome) {
	c := a.candidate
	work := max(float64(o.Latency-c.cost), float64(minWork))
	typical := a.view.load.typical.load()
	ok := o.Kind == OutcomeOK
	if ok {
		a.view.load.latencies.add(o.Latency)
	}
	if o.Kind == OutcomeCanceled {
		c.load.latency.atLeast(now, work, typical)
		a.watchCancelled(now, o)
		c.load.cold.settled.raise(now + c.cost + cancelSettle)
		return
	}
	if a.cold {
		c.load.cold.answered(now, ok, work, typical, c.slots)
	}
	if o.Kind == OutcomeNotRun && o.RetryAfter > 0 && !a.cold {
		// The pause deals with a server that sheds load; its speed is not known to have changed.
		return
	}
	total := a.snapshot.total(a.view, c, now, c.load.inFlight.Load())
	seen := work / max(a.slowness, 1)
	if !a.cold { // at a cold server, the limit leaves no queue
		seen /= max(1, (total+1)/float64(c.slots))
	}
	a.watchFallback(now, o, seen, total)
	penalised := !ok && !a.snapshot.config.Switches.NoFailurePenalty
	if penalised {
		seen = max(seen, failurePenalty*typical)
	}
	c.load.latency.add(now, seen)
	switch {
	case ok:
		c.load.latency.addUsual(seen)
	case penalised:
		c.load.latency.slow.blend(seen, failureWeight)
	}
}

// watchCancelled counts an attempt that a hedge overtook; otherwise hedging would hide a fallback.
func (a Attempt) watchCancelled(now time.Duration, o Outcome) {
	after := a.view.load.hedgeAfter.load()
	if a.cold || a.snapshot.config.Switches.NoFallbackDetection || after == 0 || o.Latency <= after {
		return
	}
	if a.candidate.load.cold.watch(now, true) {
		a.candidate.load.cold.suspect(now)
	}
}

// watchFallback compares an answer with the server's own history.
func (a Attempt) watchFallback(now time.Duration, o Outcome, seen, total float64) {
	c := a.candidate
	if a.cold || a.snapshot.config.Switches.NoFallbackDetection || c.load.latency.samples.Load() < minAnswers {
		return
	}
	slow := o.Kind == OutcomeOK && seen > oddFactor*max(c.load.latency.slow.load(), a.view.load.typical.load())
	shed := o.Kind == OutcomeNotRun && total < float64(c.slots)/2
	if c.load.cold.watch(now, slow || shed) {
		c.load.cold.suspect(now)
	}
}

// learnLoad takes the load header and judges it by the latency seen.
func (a Attempt) learnLoad(now time.Duration, o Outcome) {
	if o.Slots <= 0 {
		return
	}
	c := a.candidate
	own := c.load.inFlight.Load()
	c.load.report.add(now, int64(o.InFlight), own)
	typical := a.view.load.typical.load()
	if typical == 0 || o.Kind != OutcomeOK {
		return
	}
	predicted := typical * max(1, float64(o.InFlight+1)/float64(c.slots))
	seen := max(float64(o.Latency-c.cost), float64(minWork))
	c.load.report.judge(predicted, seen)
}
