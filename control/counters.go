package control

import (
	"context"
	"errors"
	"strings"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/telemetry"

	"github.com/rcrowley/go-metrics"
)

// counter is a counter metric.
type counter interface {
	Inc(n int64)
}

// refusalReason is why a renewal was refused; its text is the label of the metric.
type refusalReason string

const (
	// refusedCertificate: the gateway's name does not match its certificate.
	refusedCertificate refusalReason = "certificate"
	// refusedStale: no quorum confirmed in time that the replica's state is current.
	refusedStale refusalReason = "stale"
	// refusedOverloaded: too many requests were waiting.
	refusedOverloaded refusalReason = "overloaded"
	// refusedStopping: the replica was stopping.
	refusedStopping refusalReason = "stopping"
	// refusedOther: the gateway disconnected, or the replica has no configuration group.
	refusedOther refusalReason = "other"
)

// dropCause is why a message to another replica was dropped; its text is the label of the metric.
type dropCause string

const (
	// droppedNoAddress: no address of the replica is known.
	droppedNoAddress dropCause = "no_address"
	// droppedQueueFull: the queue for the replica was full.
	droppedQueueFull dropCause = "queue_full"
	// droppedConnectionFailed: the connection failed before the message was sent.
	droppedConnectionFailed dropCause = "connection"
)

// counters holds the metrics of a replica since its start; docs/events.md lists them. All label values exist from the
// start, so that a zero value can be distinguished from a metric that is not exported.
type counters struct {
	exporter *telemetry.Metrics

	changes             map[controlpb.ChangeResult]counter
	changesUndecided    counter
	claims              map[controlpb.ClaimResult]counter
	claimsUndecided     counter
	renewalsConfirmed   counter
	renewalsRefused     map[refusalReason]counter
	readsConfirmed      counter
	readsRefused        counter
	leadershipsGained   counter
	leadershipsLost     counter
	snapshots           counter
	routePartBytes      counter
	voters              metrics.Gauge
	lostVoters          metrics.Gauge
	peerMessagesDropped map[dropCause]counter
	tokenCalls          map[controlpb.TakeTokensResult]counter
}

func newCounters() *counters {
	exporter := telemetry.NewMetrics()
	c := &counters{
		exporter:            exporter,
		changes:             countersByResult(exporter, "changes", "CHANGE_", controlpb.ChangeResult_name, controlpb.ChangeResult_CHANGE_UNSPECIFIED),
		changesUndecided:    exporter.Counter("changes", "result", "undecided"),
		claims:              countersByResult(exporter, "claims", "CLAIM_", controlpb.ClaimResult_name, controlpb.ClaimResult_CLAIM_UNSPECIFIED),
		claimsUndecided:     exporter.Counter("claims", "result", "undecided"),
		tokenCalls:          countersByResult(exporter, "quota_calls", "TAKE_TOKENS_", controlpb.TakeTokensResult_name, controlpb.TakeTokensResult_TAKE_TOKENS_UNSPECIFIED),
		renewalsConfirmed:   exporter.UnlabeledCounter("renewals_confirmed"),
		renewalsRefused:     map[refusalReason]counter{},
		readsConfirmed:      exporter.Counter("read_rounds", "result", "confirmed"),
		readsRefused:        exporter.Counter("read_rounds", "result", "refused"),
		leadershipsGained:   exporter.Counter("leadership_changes", "change", "gained"),
		leadershipsLost:     exporter.Counter("leadership_changes", "change", "lost"),
		snapshots:           exporter.UnlabeledCounter("snapshots"),
		routePartBytes:      exporter.UnlabeledCounter("route_part_bytes"),
		voters:              exporter.Gauge("voters"),
		lostVoters:          exporter.Gauge("lost_voters"),
		peerMessagesDropped: map[dropCause]counter{},
	}
	for _, reason := range []refusalReason{refusedCertificate, refusedStale, refusedOverloaded, refusedStopping, refusedOther} {
		c.renewalsRefused[reason] = exporter.Counter("renewals_refused", "reason", string(reason))
	}
	for _, cause := range []dropCause{droppedNoAddress, droppedQueueFull, droppedConnectionFailed} {
		c.peerMessagesDropped[cause] = exporter.Counter("peer_messages_dropped", "cause", string(cause))
	}
	return c
}

// countersByResult returns a counter for each value of an enumeration except the unspecified one.
func countersByResult[E ~int32](exporter *telemetry.Metrics, family, prefix string, names map[int32]string, unspecified E) map[E]counter {
	all := map[E]counter{}
	for number, name := range names {
		if E(number) != unspecified {
			all[E(number)] = exporter.Counter(family, "result", strings.ToLower(strings.TrimPrefix(name, prefix)))
		}
	}
	return all
}

// countChange counts the answer to an operator; a change that is sent again is counted again.
func (c *counters) countChange(answer *controlpb.ApplyAnswer, err error) {
	switch {
	case err != nil:
		c.changesUndecided.Inc(1)
	case !answer.NotLeader:
		countResult(c.changes, answer.GetOutcome().GetResult(), c.changesUndecided)
	}
}

// countClaim counts the answer to a gateway.
func (c *counters) countClaim(answer *controlpb.ClaimAnswer, err error) {
	if err != nil {
		c.claimsUndecided.Inc(1)
		return
	}
	countResult(c.claims, answer.GetResult(), c.claimsUndecided)
}

func countResult[E comparable](known map[E]counter, result E, otherwise counter) {
	if counted, ok := known[result]; ok {
		counted.Inc(1)
		return
	}
	otherwise.Inc(1)
}

// countRenewal counts a renewal: as confirmed if err is nil, otherwise as refused because of err.
func (c *counters) countRenewal(err error) {
	if err == nil {
		c.renewalsConfirmed.Inc(1)
		return
	}
	c.renewalsRefused[refusalReasonFor(err)].Inc(1)
}

func refusalReasonFor(err error) refusalReason {
	var identity *IdentityError
	var stale *StaleError
	var overloaded *OverloadedError
	var stopped *StoppedError
	switch {
	case errors.As(err, &identity):
		return refusedCertificate
	case errors.As(err, &stale), errors.Is(err, context.DeadlineExceeded):
		return refusedStale
	case errors.As(err, &overloaded):
		return refusedOverloaded
	case errors.As(err, &stopped):
		return refusedStopping
	}
	return refusedOther
}

func (c *counters) countRead(err error) {
	if err == nil {
		c.readsConfirmed.Inc(1)
		return
	}
	c.readsRefused.Inc(1)
}

func (c *counters) countLeadership(gained bool) {
	if gained {
		c.leadershipsGained.Inc(1)
		return
	}
	c.leadershipsLost.Inc(1)
}
