package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/routes/quorum"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

const (
	// usualConfirmationAge is how old the last confirmation may be while renewals are confirmed: one is sent every renewInterval
	// and waits for two heartbeats of the leader and their answers.
	usualConfirmationAge = 1400 * time.Millisecond
	// maxAskTimeout limits the time in which replicas have to answer, and minAskShare is the least share of the apply time that
	// they get.
	maxAskTimeout = time.Second
	minAskShare   = 0.3
	// askInterval is the shortest time between two rounds.
	askInterval = 500 * time.Millisecond
)

// routeVerdict is what the control replicas said in one round about the newest route table.
type routeVerdict struct {
	// askedAt is when the replicas were asked, and decidedAt when this verdict was reached.
	askedAt, decidedAt time.Duration
	// reached is set if a majority of the voters answered, and reachedAt is when one last did, in this or an earlier round; 0 for
	// never.
	reached   bool
	reachedAt time.Duration
	// newest is the highest version that may have been acknowledged before askedAt; quorum.UnknownVersion if it is not known.
	newest uint64
	// confirming is the last earlier verdict that confirmed the table then in use; nil if there was none.
	confirming *routeVerdict
}

// confirms reports whether a table of the given version was the newest acknowledged one at askedAt.
func (d *routeVerdict) confirms(version uint64) bool {
	return d != nil && d.reached && version >= d.newest
}

// routeVerifier decides whether the route table in use may be served. A table may be served for the apply time after it was
// known to be the newest acknowledged one. Renewals of the lease tell that as long as a replica confirms them. When they fail to
// for a while, because replicas are busy or sessions end, the verifier asks all voters for the newest table in their logs. A
// gateway that reaches a majority of them either learns that its table is still the newest, or stops serving it. One that reaches
// no majority is cut off; it serves what it has as long as its lease permits.
//
// One goroutine calls run; mayServe may be called from any goroutine.
type routeVerifier struct {
	replicas     *replicaList
	newestRoutes newestRoutesFunc
	// connections are those of newestRoutes. They are closed while renewals confirm the table.
	connections *connectionPool
	// applyTime is how long after its acknowledgement a route table may be missing at this gateway.
	applyTime time.Duration
	current   func() *lease
	clock     clock
	log       *telemetry.Logger
	counters  *telemetry.Metrics

	verdict atomic.Pointer[routeVerdict]
	// lastOutcome is the outcome of the last round, for the log.
	lastOutcome string
}

// mayServe reports whether the route table of a lease may be served. A nil verifier permits any.
func (v *routeVerifier) mayServe(l *lease) bool {
	if v == nil {
		return true
	}
	now := v.clock.now()
	if now-v.confirmedAt(l) <= v.applyTime {
		return true
	}
	verdict := v.verdict.Load()
	return verdict != nil && verdict.isCutOff(now, v.applyTime)
}

// isCutOff reports whether the gateway is cut off from the control replicas. One unanswered round is not enough after an answered
// one: replicas that are busy answer some rounds in time and others not.
func (d *routeVerdict) isCutOff(now, applyTime time.Duration) bool {
	answeredLately := d.reachedAt > 0 && now-d.reachedAt <= applyTime
	return !d.reached && !answeredLately && now-d.decidedAt <= applyTime
}

// confirmedAt returns the last time at which the route table of a lease is known to have been the newest acknowledged one.
func (v *routeVerifier) confirmedAt(l *lease) time.Duration {
	at, version := l.catalogue.routesConfirmedAt, l.catalogue.routes.Version
	verdict := v.verdict.Load()
	if verdict == nil {
		return at
	}
	if verdict.confirming.confirms(version) {
		at = max(at, verdict.confirming.askedAt)
	}
	if verdict.confirms(version) {
		at = max(at, verdict.askedAt)
	}
	return at
}

// decide stores a verdict.
func (v *routeVerifier) decide(verdict *routeVerdict) {
	before := v.verdict.Load()
	switch {
	case verdict.reached:
		verdict.reachedAt = verdict.decidedAt
	case before != nil:
		verdict.reachedAt = before.reachedAt
	}
	if before.confirms(v.current().catalogue.routes.Version) {
		last := *before
		last.confirming = nil
		verdict.confirming = &last
	} else if before != nil {
		verdict.confirming = before.confirming
	}
	v.verdict.Store(verdict)
}

// askTimeout is the time in which replicas have to answer. They are asked that long before the table in use may no longer be
// served, but not while a confirmation is merely on its way.
func (v *routeVerifier) askTimeout() time.Duration {
	least := time.Duration(minAskShare * float64(v.applyTime))
	return min(max(v.applyTime-usualConfirmationAge, least), maxAskTimeout)
}

// run asks the replicas whenever the route table in use has not been confirmed for a while, until ctx ends.
func (v *routeVerifier) run(ctx context.Context) {
	for sleep(ctx, v.untilDue()) {
		l, now := v.current(), v.clock.now()
		if now-l.catalogue.routesConfirmedAt < v.askAfter() {
			v.lastOutcome = ""
			v.connections.close()
		}
		if v.untilDue() <= 0 {
			v.ask(ctx)
			sleep(ctx, askInterval-(v.clock.now()-now))
		}
	}
}

// askAfter is the time after a confirmation after which the replicas are asked.
func (v *routeVerifier) askAfter() time.Duration { return v.applyTime - v.askTimeout() }

// untilDue returns the time until the next round may be due. Before the first confirmed table, it is askInterval.
func (v *routeVerifier) untilDue() time.Duration {
	l := v.current()
	if l.catalogue.routes == nil || l.expires == 0 {
		return askInterval
	}
	return v.confirmedAt(l) + v.askAfter() - v.clock.now()
}

// Outcomes of a round.
const (
	routesCurrent  = "current"
	routesOutdated = "outdated"
	routesCutOff   = "cut_off"
)

// ask asks all voters and stores a verdict as soon as a majority has answered. It returns when the table in use is known to be
// the newest one, when all have answered, or after askTimeout.
func (v *routeVerifier) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, v.askTimeout())
	defer cancel()
	voters := v.replicas.voters()
	results := make(chan askResult, len(voters))
	askedAt := v.clock.now()
	for _, replica := range voters {
		go func() {
			answer, err := v.newestRoutes(ctx, replica)
			results <- askResult{answer, err}
		}()
	}
	verdict := &routeVerdict{}
	var answers []*controlpb.NewestRoutesAnswer
	var failure error
	for range voters {
		result := <-results
		if result.err != nil {
			failure = result.err
			continue
		}
		if result.answer.GetClusterId() != v.current().clusterID {
			continue
		}
		answers = append(answers, result.answer)
		verdict = &routeVerdict{askedAt: askedAt, decidedAt: v.clock.now()}
		verdict.newest, verdict.reached = quorum.NewestAcknowledged(answers)
		if verdict.reached {
			v.decide(verdict)
		}
		if v.current().catalogue.routes.Version >= verdict.newest {
			break
		}
	}
	if !verdict.reached {
		verdict = &routeVerdict{askedAt: askedAt, decidedAt: v.clock.now(), newest: quorum.UnknownVersion}
		v.decide(verdict)
	}
	v.report(verdict, len(voters), len(answers), failure)
}

type askResult struct {
	answer *controlpb.NewestRoutesAnswer
	err    error
}

// newestRoutesFunc asks a replica for the newest route table in its log.
type newestRoutesFunc func(ctx context.Context, replica settings.Replica) (*controlpb.NewestRoutesAnswer, error)

// askForNewestRoutes returns a newestRoutesFunc that calls the replicas over the connections of a pool.
func askForNewestRoutes(connections *connectionPool) newestRoutesFunc {
	return func(ctx context.Context, replica settings.Replica) (*controlpb.NewestRoutesAnswer, error) {
		conn, err := connections.get(replica.Name, replica.Address)
		if err != nil {
			return nil, err
		}
		answer, err := controlpb.NewConfigurationsClient(conn).NewestRoutes(ctx, &controlpb.NewestRoutesRequest{})
		connections.recordResult(conn, err)
		return answer, err
	}
}

// report counts the outcome of a round, and logs it if it differs from that of the round before. failure is the last error of a
// call; nil if there was none.
func (v *routeVerifier) report(verdict *routeVerdict, asked, answered int, failure error) {
	l := v.current()
	outcome := routesOutdated
	switch {
	case !verdict.reached:
		outcome = routesCutOff
	case l.catalogue.routes.Version >= verdict.newest:
		outcome = routesCurrent
	}
	v.counters.Counter("route_checks", "outcome", outcome).Inc(1)
	if outcome == v.lastOutcome {
		return
	}
	v.lastOutcome = outcome
	v.log.Log(eventRoutesChecked, telemetry.F("outcome", outcome), telemetry.F("version", l.catalogue.routes.Version), telemetry.F("newest", verdict.newest),
		telemetry.F("asked", asked), telemetry.F("answered", answered), telemetry.F("took", verdict.decidedAt-verdict.askedAt),
		telemetry.F("confirmed_before", verdict.askedAt-l.catalogue.routesConfirmedAt), telemetry.ErrorField(failure))
}
