package gateway

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"heatherwall.example/balance"
)

// engineSelector implements selector with the balance engine.
type engineSelector struct {
	engine *balance.Engine
	clock  clock
	// recordEvidence records that a server answered a request that was sent at the given time; nil if evidence is not
	// needed.
	recordEvidence func(address string, sent time.Duration)
	// prober probes the load of servers before a selection; nil for no probes.
	prober *loadProber
	// path tells whether failures say anything about single servers; nil if they always do.
	path   *serverPath
	queues queues
}

// Pick implements selector. When every server is at its limit, a first attempt waits up to queueMaxWait in a queue that
// is ordered by deadline; Pick then tries once more.
func (e *engineSelector) Pick(ctx context.Context, q *query) (selection, *Refusal) {
	s, refusal := e.pick(ctx, q)
	if refusal.Reason != balance.ReasonOverloaded || q.hedge || q.retry {
		return s, refusalFromEngine(refusal)
	}
	queue := e.queues.get(q.service)
	waiter, refusal := queue.Enter(e.clock.now(), q.deadline)
	if refusal.Refused() {
		return nil, refusalFromEngine(refusal)
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
	return s, refusalFromEngine(refusal)
}

// HedgeAfter implements selector.
func (e *engineSelector) HedgeAfter(service string) (time.Duration, bool) {
	return e.engine.Current().HedgeAfter(service)
}

func (e *engineSelector) pick(ctx context.Context, q *query) (selection, balance.Refusal) {
	now := e.clock.now()
	query := e.query(q, now)
	if e.prober != nil {
		e.prober.refresh(ctx, e.engine.Current(), &query, q.polling)
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
	if q.latencyTarget != 0 {
		query.Target = cmp.Or(q.latencyTarget-now, -1)
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
	case q.placedAnew:
		return balance.AttemptPlacedAnew
	}
	return balance.AttemptFirst
}

// refusalFromEngine converts a refusal of the engine; it returns nil if the engine did not refuse.
func refusalFromEngine(r balance.Refusal) *Refusal {
	switch r.Reason {
	case balance.ReasonNone:
		return nil
	case balance.ReasonNoServer:
		refusal := refuse(ReasonNoServer, "no backend server of the service may receive the request").withRetryAfter(retryAfterLong)
		refusal.unreachable = r.Unreachable
		return refusal
	case balance.ReasonPaused:
		return refuse(ReasonServersPaused, "every permitted backend server has asked for a pause").withRetryAfter(r.RetryAfter)
	case balance.ReasonServiceLimit:
		return refuse(ReasonLimitService, "the service is at its limit at this gateway").withRetryAfter(r.RetryAfter)
	case balance.ReasonMemberLimit:
		return refuse(ReasonLimitMember, "the member is at its limit at this gateway").withRetryAfter(r.RetryAfter)
	case balance.ReasonDeadline:
		return refuse(ReasonDeadlineTooShort, "the remaining time is shorter than any answer takes")
	case balance.ReasonYield:
		refusal := refuse(ReasonOverloaded, "no server can answer in time, and the free ones are left to requests that can be").withRetryAfter(r.RetryAfter)
		refusal.yield = &r.Yield
		return refusal
	case balance.ReasonBudget:
		return refuse(ReasonOverloaded, "the budget of further attempts is spent").withRetryAfter(retryAfterShort)
	}
	return refuse(ReasonOverloaded, "every permitted backend server is at its limit").withRetryAfter(retryAfterLong)
}

// engineSelection implements selection with an attempt of the engine.
type engineSelection struct {
	selector *engineSelector
	attempt  balance.Attempt
	service  string
	started  time.Duration
}

// Server implements selection.
func (s *engineSelection) Server() backendServer {
	return backendServer{service: s.service, address: s.attempt.Address, id: s.attempt.ID, incarnation: s.attempt.Incarnation(), region: s.attempt.Region, domain: s.attempt.FailureDomain, cold: s.attempt.State == balance.StateCold, pickDetails: s.attempt.Details}
}

// RecordStatement implements statementTarget.
func (s *engineSelection) RecordStatement(now time.Duration, st balance.Statement) balance.StatementEffect {
	return s.attempt.RecordStatement(now, st)
}

// Standing implements statementTarget.
func (s *engineSelection) Standing(now time.Duration) balance.Standing {
	return s.attempt.Standing(now)
}

// Done implements selection.
func (s *engineSelection) Done(r result) {
	if r.kind != resultAnswered && r.kind != resultFailed && r.kind != resultNotRun && s.selector.path.isDoubtful() {
		r.kind = resultDiscarded
	}
	o := balance.Outcome{Kind: outcomeKind(r.kind), Latency: r.latency, RetryAfter: r.RetryAfter, InFlight: r.InFlight, Slots: r.Slots}
	o.State, o.HasState = parseState(r.State)
	s.attempt.Done(o)
	if o.HasState && o.State != balance.StateDraining && s.selector.recordEvidence != nil {
		s.selector.recordEvidence(s.attempt.Address, s.started)
	}
	s.selector.queues.get(s.service).WakeNext(s.selector.clock.now())
}

func parseState(text string) (balance.State, bool) {
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
	case resultNotRun:
		return balance.OutcomeNotRun
	case resultUnreachable:
		return balance.OutcomeNotConnected
	case resultBroken:
		return balance.OutcomeCrashed
	case resultDiscarded:
		return balance.OutcomeDiscarded
	case resultCanceled, resultNotSent:
		return balance.OutcomeCanceled
	}
	return balance.OutcomeFailed
}

// Limits of the queue of requests that wait while all servers are at their limits.
const (
	queueMaxLength = 64
	queueMaxWait   = 100 * time.Millisecond
)

// queues holds one queue for each service.
type queues struct {
	byService sync.Map // maps service names to *balance.Queue
}

func (q *queues) get(service string) *balance.Queue {
	if queue, ok := q.byService.Load(service); ok {
		return queue.(*balance.Queue)
	}
	made := balance.NewQueue(balance.QueueConfig{MaxLength: queueMaxLength, MaxWait: queueMaxWait})
	stored, _ := q.byService.LoadOrStore(service, made)
	return stored.(*balance.Queue)
}
