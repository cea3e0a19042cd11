package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"
)

// Times that refused callers are told to wait. A dialect without fractions rounds them up to a second.
const (
	// retryAfterShort follows a refusal by chance: a server that sheds, or a budget that the next answer fills.
	retryAfterShort = 30 * time.Millisecond
	// retryAfterLong follows a refusal that ends with an election or a report, which takes some hundred milliseconds.
	retryAfterLong = 300 * time.Millisecond
	// retryAfterStartup follows a refusal of a gateway that has no configuration yet: where all processes were restarted,
	// an election and a first renewal take about a second.
	retryAfterStartup = time.Second
)

// runner has one call run by backend servers: attempts, retries and hedging.
type runner struct {
	p *requestPath
	c *call
	// tried lists the addresses of all attempts so far.
	tried       []string
	retriesLeft int
	// mayHaveRun is set once an attempt may have run the request.
	mayHaveRun bool
	// refusal is the last refusal of the selector.
	refusal *Refusal
}

// run returns an attempt with an answer for the caller, or a refusal. The attempt is not done yet.
func (r *runner) run() (*attempt, *Refusal) {
	r.retriesLeft = r.c.retriesLeft
	s, refusal := r.pick(&query{})
	if refusal != nil {
		return nil, refusal
	}
	for {
		a := r.runAttempt(s)
		r.mayHaveRun = r.mayHaveRun || a.mayHaveRun()
		next, ok := r.selectRetry(a)
		if !ok {
			return r.finish(a)
		}
		a.done()
		s = next
	}
}

// pick selects a server that was not tried before; q carries the flags hedge and retry.
func (r *runner) pick(q *query) (selection, *Refusal) {
	c := r.c
	q.service, q.member, q.idempotent = c.rule.Service.Name, c.caller.Tenant.Member.Name, c.rule.Idempotent
	q.regions, q.allRegions = c.placement.RunIn.Names, c.placement.RunIn.Any
	q.tried, q.deadline = r.tried, r.p.clock.now()+time.Until(c.deadline)
	if c.route != nil && c.route.LatencyTarget > 0 {
		q.latencyTarget, q.late = c.arrived+c.route.LatencyTarget, q.late || c.likelyRetry
	}
	s, refusal := r.p.selector.Pick(c.ctx, q)
	if refusal != nil && refusal.yield != nil && !q.hedge && !q.retry {
		s, refusal = r.awaitFreeServer(q, refusal)
	}
	if refusal != nil {
		r.refusal = refusal
		return nil, refusal
	}
	r.tried = append(r.tried, s.Server().address)
	return s, nil
}

// runAttempt sends the request to a server, with a second one in parallel where the rule permits hedging.
func (r *runner) runAttempt(s selection) *attempt {
	a := r.p.startAttempt(r.c, s)
	if r.c.rule.Idempotent && r.c.rule.Hedge {
		if delay, ok := r.p.selector.HedgeAfter(r.c.rule.Service.Name); ok {
			return r.runHedged(a, delay)
		}
	}
	r.p.send(r.c, a, r.retriesLeft)
	return a
}

// runHedged sends a second request when the first takes longer than the delay, and returns the first good answer. The
// other attempt is cancelled, and its answer is closed unread.
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

// abandon cancels an attempt that lost and releases it when its round trip has ended.
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

// selectRetry selects a server for another attempt if the outcome of a permits one.
func (r *runner) selectRetry(a *attempt) (selection, bool) {
	reason := r.retryReason(a)
	if reason == "" || r.retriesLeft == 0 || r.c.ctx.Err() != nil || r.isPoison() {
		return nil, false
	}
	s, refusal := r.pick(&query{retry: true})
	if refusal != nil {
		return nil, false
	}
	r.retriesLeft--
	r.p.counters.Counter("retries", "reason", reason).Inc(1)
	return s, true
}

// isPoison tells whether the attempts so far have made the request one that crashes backend servers.
func (r *runner) isPoison() bool {
	return r.p.poison.RefusedFor(r.p.clock.now(), r.c.fingerprint) > 0
}

// retryReason is empty when the request must not be sent again: it may have run and is not idempotent.
func (r *runner) retryReason(a *attempt) string {
	if a.mayHaveRun() && !r.c.rule.Idempotent {
		return ""
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
		case forbiddenAttemptEnded:
			return "not_sent"
		}
	}
	return ""
}

// finish turns the last attempt into an answer or a refusal.
func (r *runner) finish(a *attempt) (*attempt, *Refusal) {
	if a.response != nil && a.result.kind != resultNotRun {
		return a, nil
	}
	a.done()
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
	case errors.As(a.err, &forbidden) && forbidden.Reason == forbiddenLeaseExpired:
		return refuse(ReasonConfigurationStale, "the configuration could not be confirmed").withRetryAfter(retryAfterLong)
	case r.refusal != nil:
		return r.refusal
	case a.result.kind == resultNotRun:
		return refuse(ReasonOverloaded, "backend servers shed the request").withRetryAfter(max(a.result.RetryAfter, retryAfterShort))
	}
	return refuse(ReasonNoServer, "no backend server could be reached").withRetryAfter(retryAfterLong)
}
