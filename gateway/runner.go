package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Values of Retry-After in refusals. A dialect without fractions rounds them up to a second.
const (
	// retryAfterShort is for causes that pass at once: a server that sheds load, or a retry budget that refills with the
	// next responses.
	retryAfterShort = 30 * time.Millisecond
	// retryAfterLong is for causes that end with an election or with the next report of a backend server, which take a few
	// hundred milliseconds.
	retryAfterLong = 300 * time.Millisecond
	// retryAfterStartup is for a gateway without a configuration. After a restart of all processes, an election and the
	// first renewal of the lease take about a second.
	retryAfterStartup = time.Second
)

// runner runs one call on backend servers, with retries and hedging.
type runner struct {
	p *requestPath
	c *call
	// tried lists the addresses of all attempts so far.
	tried       []string
	retriesLeft int
	// relays lists the names of the gateways that the request was passed on to.
	relays []string
	// arrivals counts how often the request reached a server, also where the server rejected it, here and at relays.
	arrivals int
	// placedAnew counts the attempts whose server could no longer receive them.
	placedAnew int
	// mayHaveRun is set if any attempt so far may have run the request.
	mayHaveRun bool
	// refusal is the last refusal of the selector.
	refusal *Refusal
}

// run returns an attempt with a response for the caller, or a refusal. The caller of run must call done on the attempt.
func (r *runner) run() (*attempt, *Refusal) {
	r.retriesLeft = r.c.retriesLeft
	first := &query{}
	if r.c.relayed != nil {
		r.arrivals, first.retry = r.c.relayed.arrivals, r.c.relayed.arrivals > 0
	}
	if refusal := r.takeToken(); refusal != nil {
		return nil, refusal
	}
	s, refusal := r.pick(first)
	if refusal != nil {
		r.giveBackToken()
		return nil, refusal
	}
	for {
		a := r.runAttempt(s)
		r.countArrivals(a)
		next, ok := r.selectRetry(a)
		if !ok {
			return r.finish(a)
		}
		a.done()
		s = next
	}
}

// countArrivals adds the arrivals of an attempt at servers. Those at a relay use up attempts of this gateway.
func (r *runner) countArrivals(a *attempt) {
	r.mayHaveRun = r.mayHaveRun || a.mayHaveRun()
	n := a.relayArrivals
	if !a.isRelay() && a.gate.wrote.Load() {
		n = 1
	}
	r.arrivals += n
	r.c.arrivals += n
	r.retriesLeft = max(0, r.retriesLeft-max(n-1, 0))
}

// pick selects a server that was not tried before, or another gateway while this one reaches no server. The caller sets
// the flags hedge and retry of q; pick sets the rest.
func (r *runner) pick(q *query) (selection, *Refusal) {
	if r.p.relay == nil || q.hedge {
		return r.pickServer(q)
	}
	return r.pickServerOrRelay(q)
}

// pickServer selects a server that was not tried before.
func (r *runner) pickServer(q *query) (selection, *Refusal) {
	c := r.c
	q.service, q.member, q.idempotent = c.rule.Service.Name, c.caller.Tenant.Member.Name, c.rule.Idempotent
	q.regions, q.allRegions = c.placement.RunIn.Names, c.placement.RunIn.Any
	q.tried, q.deadline = r.tried, r.p.clock.now()+time.Until(c.deadline)
	if c.route != nil && c.route.LatencyTarget > 0 {
		q.latencyTarget, q.late = c.arrived+c.route.LatencyTarget, q.late || c.likelyRetry
	}
	s, refusal := r.p.selector.Pick(c.ctx, q)
	if refusal != nil && refusal.yield != nil && !q.hedge && !q.retry {
		r.giveBackToken() // it would end during the wait
		s, refusal = r.awaitFreeServer(q, refusal)
		if refusal == nil {
			if refusal = r.takeToken(); refusal != nil {
				s.Done(result{kind: resultDiscarded})
			}
		}
	}
	if refusal != nil {
		r.refusal = refusal
		return nil, refusal
	}
	r.tried = append(r.tried, s.Server().address)
	return s, nil
}

// runAttempt sends the request to the selected server, and hedges it if the rule permits that.
func (r *runner) runAttempt(s selection) *attempt {
	a := r.p.startAttempt(r.c, s)
	if a.isRelay() {
		r.p.sendToRelay(r.c, a, r.retriesLeft, r.arrivals)
		return a
	}
	if r.c.rule.Idempotent && r.c.rule.Hedge {
		if delay, ok := r.p.selector.HedgeAfter(r.c.rule.Service.Name); ok {
			return r.runHedged(a, delay)
		}
	}
	r.p.send(r.c, a, r.retriesLeft)
	return a
}

// runHedged starts a second attempt if the first has not finished after the delay. If the attempt that finishes first has
// the result resultAnswered, it is returned, and the other attempt is cancelled and its response closed unread. Otherwise
// the attempt that finishes last is returned.
func (r *runner) runHedged(first *attempt, after time.Duration) *attempt {
	finished := make(chan *attempt, 2)
	r.sendAsync(first, finished)
	delay := time.NewTimer(after)
	defer delay.Stop()
	select {
	case a := <-finished:
		return a
	case <-delay.C:
	}
	s, refusal := r.pick(&query{hedge: true})
	if refusal != nil {
		return <-finished
	}
	r.p.counters.Counter("retries", "reason", "hedge").Inc(1)
	second := r.p.startAttempt(r.c, s)
	r.sendAsync(second, finished)
	a := <-finished
	other := second
	if a == second {
		other = first
	}
	if a.response != nil && a.result.kind == resultAnswered {
		r.abandon(other, finished)
		return a
	}
	r.mayHaveRun = r.mayHaveRun || a.mayHaveRun()
	a.done()
	return <-finished
}

func (r *runner) sendAsync(a *attempt, finished chan<- *attempt) {
	p, c, left := r.p, r.c, r.retriesLeft
	p.background.Go(func() {
		p.send(c, a, left)
		finished <- a
	})
}

// abandon cancels the slower hedged attempt and releases it when its round trip has ended.
func (r *runner) abandon(a *attempt, finished <-chan *attempt) {
	a.cancel()
	r.p.background.Go(func() {
		a := <-finished
		if a.result.kind != resultBroken {
			a.result.kind = resultCanceled
		}
		a.done()
	})
}

// selectRetry selects a server for another attempt after a. It returns false if no retry is permitted or no server could
// be selected.
func (r *runner) selectRetry(a *attempt) (selection, bool) {
	reason := r.retryReason(a)
	if reason == "" || r.c.ctx.Err() != nil || r.isPoison() {
		return nil, false
	}
	if refusal := r.takeToken(); refusal != nil {
		r.refusal = refusal
		return nil, false
	}
	s, ok := r.selectFurther(a)
	if !ok {
		return nil, false
	}
	r.p.counters.Counter("retries", "reason", reason).Inc(1)
	return s, true
}

// maxPlacedAnew is the number of attempts of one request that are placed anew without being charged.
const maxPlacedAnew = 8

// mayPlaceAnew reports whether an attempt ended because its server may no longer receive it, so that the next one is not
// charged.
func (r *runner) mayPlaceAnew(a *attempt) bool {
	var forbidden *SendForbiddenError
	if a.result.kind != resultNotSent || !errors.As(a.err, &forbidden) || r.placedAnew >= maxPlacedAnew {
		return false
	}
	switch forbidden.Reason {
	case forbiddenServerPaused, forbiddenServerLeaving, forbiddenServerGone, forbiddenTokenEnded:
		return true
	}
	return false
}

// placeAnew selects a server or another gateway in the place of an attempt whose server may no longer receive it.
func (r *runner) placeAnew(a *attempt) (selection, bool) {
	r.placedAnew++
	s, refusal := r.pick(&query{placedAnew: true})
	if refusal != nil {
		return r.relayInstead(a)
	}
	return s, true
}

// selectFurther selects a server or another gateway for another attempt after a. Passing on a request that has reached no
// server yet is not charged.
func (r *runner) selectFurther(a *attempt) (selection, bool) {
	if a.isRelay() && a.relayArrivals == 0 {
		return r.selectAfterRelay()
	}
	if r.mayPlaceAnew(a) {
		return r.placeAnew(a)
	}
	if r.retriesLeft == 0 {
		return r.relayInstead(a)
	}
	s, refusal := r.pick(&query{retry: true})
	if refusal != nil {
		return r.relayInstead(a)
	}
	if _, isRelay := s.(*relaySelection); !isRelay || r.arrivals > 0 {
		r.retriesLeft--
	}
	return s, true
}

// isPoison reports whether the request has crashed enough backend servers, in this call or before, to be refused.
func (r *runner) isPoison() bool {
	return r.p.crashMarks.RefusedFor(r.p.clock.now(), r.c.fingerprint) > 0
}

// retryReason returns the reason of a retry for the metrics. It is empty if the request must not be sent again, for
// example because it is not idempotent and may have run.
func (r *runner) retryReason(a *attempt) string {
	if a.mayHaveRun() && !r.c.rule.Idempotent {
		return ""
	}
	if a.isRelay() {
		return r.relayRetryReason(a)
	}
	switch a.result.kind {
	case resultNotRun:
		return "not_run"
	case resultUnreachable:
		return "unreachable"
	case resultBroken:
		return "broken"
	case resultFailed:
		if a.response.StatusCode == http.StatusBadGateway || a.response.StatusCode == http.StatusServiceUnavailable {
			return "failed_answer"
		}
	case resultNotSent:
		var forbidden *SendForbiddenError
		if !errors.As(a.err, &forbidden) {
			return "not_sent"
		}
		switch forbidden.Reason {
		case forbiddenDomainOut:
			return "domain_out"
		case forbiddenSelectionOutdated:
			return "selection_outdated"
		case forbiddenServerPaused, forbiddenServerLeaving, forbiddenServerGone, forbiddenTokenEnded:
			return "placed_anew"
		case forbiddenAttemptEnded:
			return "not_sent"
		}
	}
	return ""
}

// finish returns the last attempt if it has a response for the caller, otherwise a refusal.
func (r *runner) finish(a *attempt) (*attempt, *Refusal) {
	if a.response != nil && a.result.kind != resultNotRun {
		return a, nil
	}
	a.done()
	if !r.mayHaveRun && r.arrivals == 0 {
		r.giveBackToken()
	}
	return nil, r.finalRefusal(a)
}

func (r *runner) finalRefusal(a *attempt) *Refusal {
	var forbidden *SendForbiddenError
	late := a.result.kind == resultTimeout || errors.Is(r.c.ctx.Err(), context.DeadlineExceeded)
	switch {
	case late && r.mayHaveRun:
		return refuse(ReasonDeadlineExceeded, "no answer within the deadline").withRan(RanUnknown)
	case late:
		return refuse(ReasonDeadlineExceeded, "the request could not be sent within the deadline")
	case r.mayHaveRun:
		return refuse(ReasonBackendFailed, "the connection to the backend server broke before the answer")
	case a.relayRefusal != nil:
		return a.relayRefusal
	case errors.As(a.err, &forbidden) && forbidden.Reason == forbiddenLeaseExpired:
		return refuse(ReasonConfigurationStale, "the configuration could not be confirmed").withRetryAfter(retryAfterLong)
	case r.refusal != nil:
		return r.refusal
	case a.result.kind == resultNotRun:
		return refuse(ReasonOverloaded, "backend servers shed the request").withRetryAfter(max(a.result.RetryAfter, retryAfterShort))
	}
	return refuse(ReasonNoServer, "no backend server could be reached").withRetryAfter(retryAfterLong)
}
