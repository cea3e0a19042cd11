package main

import (
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/balance/budget"
)

// Constants of the gateway model. All policies use the same values.
const (
	serviceName   = "service"
	deadlineAfter = 250 * time.Millisecond
	maxAttempts   = 3
	retryRatio    = 0.1
	retryBurst    = 10
	retryAfter    = time.Second
	// connectFailTime is the time after which opening a connection to a server that is down fails.
	connectFailTime = 2 * time.Millisecond
	probeBytes      = 400
	// pushBytes is the size of a change pushed to one peer.
	pushBytes = 200
	// digestBytes is the size of an exchange with one peer, both directions together, for each gateway of the deployment.
	digestBytes      = 60
	exchangeInterval = 500 * time.Millisecond
	tickInterval     = 20 * time.Millisecond
)

// gateway receives requests and forwards them by one policy.
type gateway struct {
	sim     *simulation
	index   int
	place   place
	engine  *balance.Engine
	queue   *balance.Queue
	waiting map[*balance.Waiter]*request
	simple  *simplePolicy
	// hidden marks servers that, as far as this gateway knows, are draining or in a failure domain that is out.
	hidden  []bool
	retries float64
	limiter *budget.Limiter
}

// request is one request of a caller.
type request struct {
	gateway  *gateway
	arrived  time.Duration
	deadline time.Duration
	work     time.Duration
	excluded []string
	attempts int
	open     []*attempt
	ended    bool
}

// attempt is one attempt to run a request at a server.
type attempt struct {
	request       *request
	server        *server
	job           *job
	start         time.Duration
	engineAttempt balance.Attempt
	ended         bool
}

func (g *gateway) receive(work time.Duration) {
	now := g.sim.clock.now
	r := &request{gateway: g, arrived: now, deadline: now + deadlineAfter, work: work}
	g.sim.result.recordArrival(now)
	g.retries = min(g.retries+retryRatio, retryBurst)
	g.sim.clock.at(r.deadline, func() { r.end(outcomeFailed) })
	r.send(balance.AttemptFirst)
}

// send starts one attempt, enters the queue or refuses the request.
func (r *request) send(kind balance.AttemptKind) {
	g := r.gateway
	if g.simple != nil {
		r.sendSimple()
		return
	}
	q := balance.Query{
		Now: g.sim.clock.now, Service: serviceName, AnyRegion: true, Idempotent: !g.sim.scenario.atMostOnce, Kind: kind,
		Remaining: r.deadline - g.sim.clock.now, Random: g.sim.picks.Uint64(),
	}
	copy(q.Excluded[:], r.excluded)
	a, refusal := g.engine.Current().Pick(q)
	if refusal.Refused() {
		r.refused(kind, refusal)
		return
	}
	r.start(&attempt{request: r, server: g.sim.byAddress[a.Address], engineAttempt: a})
	if kind != balance.AttemptHedge {
		r.scheduleHedge()
	}
}

func (r *request) sendSimple() {
	g := r.gateway
	s := g.simple.pick(r.excluded)
	if s == nil {
		r.end(outcomeRefused)
		return
	}
	g.simple.inFlight[s.index]++
	r.start(&attempt{request: r, server: s})
}

func (r *request) refused(kind balance.AttemptKind, refusal balance.Refusal) {
	if kind == balance.AttemptHedge {
		return
	}
	if kind == balance.AttemptRetry && refusal.Reason == balance.ReasonBudget {
		r.end(outcomeFailed)
		return
	}
	if refusal.Reason != balance.ReasonOverloaded || r.gateway.sim.policy.noQueue {
		r.end(outcomeRefused)
		return
	}
	r.enqueue()
}

// enqueue enters the queue of the gateway.
func (r *request) enqueue() {
	g := r.gateway
	w, refusal := g.queue.Enter(g.sim.clock.now, r.deadline)
	if refusal.Refused() {
		r.end(outcomeRefused)
		return
	}
	g.waiting[w] = r
	g.sim.clock.after(balance.DefaultQueueWait, func() {
		if g.waiting[w] == r {
			delete(g.waiting, w)
			g.queue.Leave(w)
			r.end(outcomeRefused)
		}
	})
}

func (g *gateway) sendNextQueued() {
	if g.queue == nil {
		return
	}
	w := g.queue.WakeNext(g.sim.clock.now)
	r := g.waiting[w]
	if w == nil || r == nil {
		return
	}
	delete(g.waiting, w)
	if !r.ended {
		r.send(balance.AttemptFirst)
	}
}

func (r *request) scheduleHedge() {
	g := r.gateway
	after, ok := g.engine.Current().HedgeAfter(serviceName)
	if !ok || len(r.open) != 1 {
		return
	}
	first := r.open[0]
	g.sim.clock.after(after, func() {
		if !r.ended && len(r.open) == 1 && !first.ended {
			r.excluded = append(r.excluded, first.server.address)
			r.send(balance.AttemptHedge)
		}
	})
}

func (r *request) start(a *attempt) {
	g := r.gateway
	a.start = g.sim.clock.now
	r.attempts++
	r.open = append(r.open, a)
	g.sim.result.recordAttempt(a.start)
	oneWay := g.sim.deployment.latency(g.place, a.server.place)
	if a.server.down {
		g.sim.clock.after(connectFailTime+2*oneWay, func() { a.end(balance.Outcome{Kind: balance.OutcomeNotConnected}) })
		return
	}
	a.job = &job{remaining: r.work, expires: r.deadline}
	a.job.end = func(o balance.Outcome) { g.sim.clock.after(oneWay, func() { a.end(o) }) }
	g.sim.clock.after(oneWay, func() { a.deliver() })
}

func (a *attempt) deliver() {
	switch {
	case a.job.ended:
	case a.server.down:
		a.job.ended = true
		a.job.end(balance.Outcome{Kind: balance.OutcomeCrashed})
	default:
		a.server.arrive(a.job)
	}
}

// end handles the outcome of an attempt.
func (a *attempt) end(o balance.Outcome) {
	if a.ended {
		return
	}
	r, g := a.request, a.request.gateway
	a.ended = true
	o.Latency = g.sim.clock.now - a.start
	if o.Kind == balance.OutcomeNotRun {
		o.RetryAfter = retryAfter
		if g.simple == nil {
			a.engineAttempt.RecordStatement(g.sim.clock.now, balance.Statement{Pause: retryAfter})
		}
	}
	a.done(o)
	r.removeAttempt(a)
	switch {
	case r.ended:
	case o.Kind == balance.OutcomeOK:
		r.end(outcomeOK)
	case len(r.open) == 0:
		r.retry(a.server, o.Kind)
	}
}

// done releases the attempt's in-flight slot and sends the next queued request.
func (a *attempt) done(o balance.Outcome) {
	g := a.request.gateway
	if g.simple != nil {
		g.simple.inFlight[a.server.index]--
		return
	}
	a.engineAttempt.Done(o)
	g.sendNextQueued()
}

func (r *request) removeAttempt(a *attempt) {
	for i, x := range r.open {
		if x == a {
			r.open = append(r.open[:i], r.open[i+1:]...)
			return
		}
	}
}

// retry resends a request that may run again: an idempotent one, or one that certainly did not run.
func (r *request) retry(failed *server, kind balance.OutcomeKind) {
	g := r.gateway
	r.excluded = append(r.excluded, failed.address)
	notRun := kind == balance.OutcomeNotRun || kind == balance.OutcomeNotConnected
	if r.attempts >= maxAttempts || g.sim.scenario.atMostOnce && !notRun {
		r.end(outcomeFailed)
		return
	}
	if g.simple != nil {
		if g.retries < 1 {
			r.end(outcomeFailed)
			return
		}
		g.retries--
	}
	r.send(balance.AttemptRetry)
}

// end records the outcome for the caller and cancels the open attempts.
func (r *request) end(kind requestOutcome) {
	if r.ended {
		return
	}
	r.ended = true
	g := r.gateway
	g.sim.result.recordOutcome(r.arrived, g.sim.clock.now, kind)
	for _, a := range r.open {
		a.cancel()
	}
	r.open = nil
}

func (a *attempt) cancel() {
	if a.ended {
		return
	}
	g := a.request.gateway
	a.ended = true
	if j := a.job; j != nil {
		g.sim.clock.after(g.sim.deployment.latency(g.place, a.server.place), func() { a.server.cancel(j) })
	}
	a.done(balance.Outcome{Kind: balance.OutcomeCanceled, Latency: g.sim.clock.now - a.start})
}
