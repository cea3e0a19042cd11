package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"heatherwall.example/balance"
)

// engineSelector adapts the engine to the request path.
type engineSelector struct {
	engine *balance.Engine
	clock  clock
	// evidence takes the address of a server that answered a request sent at a time; nil where nobody needs it.
	evidence func(address string, sent time.Duration)
	// prober asks servers for their load before a selection; nil for none.
	prober *loadProber
	queues queues
}

// Pick implements selector. When every server is at its limit, the request waits for a short time in a queue that is
// ordered by deadline.
func (e *engineSelector) Pick(ctx context.Context, q *query) (selection, *Refusal) {
	s, refusal := e.pick(ctx, q)
	if refusal.Reason != balance.ReasonOverloaded || q.hedge || q.retry || q.repeat {
		return s, pickRefusal(refusal)
	}
	queue := e.queues.get(q.service)
	waiter, refusal := queue.Enter(e.clock.now(), q.deadline)
	if refusal.Refused() {
		return nil, pickRefusal(refusal)
	}
	defer queue.Leave(waiter)
	limit := time.NewTimer(min(queueMaxWait, q.deadline-e.clock.now()))
	defer limit.Stop()
	select {
	case <-waiter.Woken:
	case <-limit.C:
	case <-ctx.Done():
	}
	s, refusal = e.pick(ctx, q)
	return s, pickRefusal(refusal)
}

// HedgeAfter implements selector.
func (e *engineSelector) HedgeAfter(service string) (time.Duration, bool) {
	return e.engine.Current().HedgeAfter(service)
}

func (e *engineSelector) pick(ctx context.Context, q *query) (selection, balance.Refusal) {
	now := e.clock.now()
	query := e.query(q, now)
	if e.prober != nil {
		e.prober.ask(ctx, e.engine.Current(), &query, q.waits)
		query.Now = e.clock.now()
	}
	a, refusal := e.engine.Current().Pick(query)
	if refusal.Refused() {
		return nil, refusal
	}
	return &engineSelection{selector: e, attempt: a, service: q.service, started: query.Now}, refusal
}

func (e *engineSelector) query(q *query, now time.Duration) balance.Query {
	query := balance.Query{
		Now: now, Service: q.service, Member: q.member, Regions: q.regions, AnyRegion: q.allRegions,
		Idempotent: q.idempotent, Late: q.late, Remaining: max(q.deadline-now, 1), Random: rand.Uint64(), Kind: attemptKind(q),
	}
	if q.target != 0 {
		query.Target = cmp.Or(q.target-now, -1)
	}
	last := q.tried[max(0, len(q.tried)-balance.MaxExcluded):]
	copy(query.Excluded[:], last)
	return query
}

func attemptKind(q *query) balance.AttemptKind {
	switch {
	case q.hedge:
		return balance.AttemptHedge
	case q.retry:
		return balance.AttemptRetry
	case q.repeat:
		return balance.AttemptFreeRetry
	}
	return balance.AttemptFirst
}

// pickRefusal maps refusals of the engine; nil means that the engine did not refuse.
func pickRefusal(r balance.Refusal) *Refusal {
	switch r.Reason {
	case balance.ReasonNone:
		return nil
	case balance.ReasonNoServer:
		return refuse(ReasonNoServer, "no backend server of the service may receive the request").after(retryLater)
	case balance.ReasonServiceLimit:
		return refuse(ReasonLimitService, "the service is at its limit at this gateway").after(r.RetryAfter)
	case balance.ReasonMemberLimit:
		return refuse(ReasonLimitMember, "the member is at its limit at this gateway").after(r.RetryAfter)
	case balance.ReasonDeadline:
		return refuse(ReasonDeadlineTooShort, "the remaining time is shorter than any answer takes")
	case balance.ReasonYield:
		refusal := refuse(ReasonOverloaded, "no server can answer in time, and the free ones are left to requests that can be").after(r.RetryAfter)
		refusal.yield = &r.Yield
		return refusal
	case balance.ReasonBudget:
		return refuse(ReasonOverloaded, "the budget of further attempts is spent").after(retrySoon)
	}
	return refuse(ReasonOverloaded, "every permitted backend server is at its limit").after(retryLater)
}

// engineSelection is an attempt that the engine permitted.
type engineSelection struct {
	selector *engineSelector
	attempt  balance.Attempt
	service  string
	started  time.Duration
}

// Server implements selection.
func (s *engineSelection) Server() target {
	return target{service: s.service, address: s.attempt.Address, id: s.attempt.ID, region: s.attempt.Region, domain: s.attempt.FailureDomain, cold: s.attempt.State == balance.StateCold, evidence: s.attempt.Details}
}

// Done implements selection.
func (s *engineSelection) Done(r result) {
	o := balance.Outcome{Kind: outcomeKind(r.kind), Latency: r.latency, RetryAfter: r.RetryAfter, InFlight: r.InFlight, Slots: r.Slots}
	o.State, o.HasState = reportedState(r.State)
	s.attempt.Done(o)
	if o.HasState && o.State != balance.StateDraining && s.selector.evidence != nil {
		s.selector.evidence(s.attempt.Address, s.started)
	}
	s.selector.queues.get(s.service).WakeNext(s.selector.clock.now())
}

func reportedState(text string) (balance.State, bool) {
	switch text {
	case stateReady:
		return balance.StateReady, true
	case stateCold:
		return balance.StateCold, true
	case stateDraining:
		return balance.StateDraining, true
	}
	return balance.StateReady, false
}

func outcomeKind(k resultKind) balance.OutcomeKind {
	switch k {
	case resultAnswered:
		return balance.OutcomeOK
	case resultShed:
		return balance.OutcomeNotRun
	case resultUnreachable:
		return balance.OutcomeNotConnected
	case resultBroken:
		return balance.OutcomeCrashed
	case resultCanceled, resultNotSent:
		return balance.OutcomeCanceled
	}
	return balance.OutcomeFailed
}

// Limits of the queue in front of servers that are at their limits.
const (
	queueMaxLength = 64
	queueMaxWait   = 100 * time.Millisecond
)

// queues holds one queue for each service.
type queues struct {
	byService sync.Map // service name to *balance.Queue
}

func (q *queues) get(service string) *balance.Queue {
	if found, ok := q.byService.Load(service); ok {
		return found.(*balance.Queue)
	}
	made := balance.NewQueue(balance.QueueConfig{MaxLength: queueMaxLength, MaxWait: queueMaxWait})
	stored, _ := q.byService.LoadOrStore(service, made)
	return stored.(*balance.Queue)
}
