package control

import (
	"context"
	"errors"
	"strings"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/telemetry"

	"github.com/rcrowley/go-metrics"
)

// counter is what this package needs of a counter.
type counter interface {
	Inc(n int64)
}

// refusal says why a renewal was refused.
type refusal string

const (
	// refusedCertificate: the gateway's name is not that of its certificate.
	refusedCertificate refusal = "certificate"
	// refusedStale: no quorum confirmed in time that the replica is current.
	refusedStale refusal = "stale"
	// refusedOverloaded: too many requests were waiting.
	refusedOverloaded refusal = "overloaded"
	// refusedStopping: the replica was stopping.
	refusedStopping refusal = "stopping"
	// refusedOther: the gateway went away, or the replica holds no configuration group.
	refusedOther refusal = "other"
)

// drop says why a message to another replica was dropped.
type drop string

const (
	// droppedAddress: no address of the replica is known.
	droppedAddress drop = "no_address"
	// droppedQueue: the queue for the replica was full.
	droppedQueue drop = "queue_full"
	// droppedConnection: the connection failed before the message was sent.
	droppedConnection drop = "connection"
)

// counters is what a replica counts since its start. docs/events.md holds the catalogue. All values exist from the
// start, so that a value that is still zero can be told from one that is not exported.
type counters struct {
	page *telemetry.Metrics

	changes             map[controlpb.ChangeResult]counter
	changesUndecided    counter
	claims              map[controlpb.ClaimResult]counter
	claimsUndecided     counter
	renewalsConfirmed   counter
	renewalsRefused     map[refusal]counter
	readsConfirmed      counter
	readsRefused        counter
	leadershipsGained   counter
	leadershipsLost     counter
	snapshots           counter
	voters              metrics.Gauge
	peerMessagesDropped map[drop]counter
}

func newCounters() *counters {
	page := telemetry.NewMetrics()
	c := &counters{
		page:                page,
		changes:             countersOf(page, "changes", "CHANGE_", controlpb.ChangeResult_name, controlpb.ChangeResult_CHANGE_UNSPECIFIED),
		changesUndecided:    page.Counter("changes", "result", "undecided"),
		claims:              countersOf(page, "claims", "CLAIM_", controlpb.ClaimResult_name, controlpb.ClaimResult_CLAIM_UNSPECIFIED),
		claimsUndecided:     page.Counter("claims", "result", "undecided"),
		renewalsConfirmed:   page.UnlabeledCounter("renewals_confirmed"),
		renewalsRefused:     map[refusal]counter{},
		readsConfirmed:      page.Counter("read_rounds", "result", "confirmed"),
		readsRefused:        page.Counter("read_rounds", "result", "refused"),
		leadershipsGained:   page.Counter("leadership_changes", "change", "gained"),
		leadershipsLost:     page.Counter("leadership_changes", "change", "lost"),
		snapshots:           page.UnlabeledCounter("snapshots"),
		voters:              page.Gauge("voters"),
		peerMessagesDropped: map[drop]counter{},
	}
	for _, reason := range []refusal{refusedCertificate, refusedStale, refusedOverloaded, refusedStopping, refusedOther} {
		c.renewalsRefused[reason] = page.Counter("renewals_refused", "reason", string(reason))
	}
	for _, cause := range []drop{droppedAddress, droppedQueue, droppedConnection} {
		c.peerMessagesDropped[cause] = page.Counter("peer_messages_dropped", "cause", string(cause))
	}
	return c
}

// countersOf makes a counter for each value of an enumeration but the unspecified one.
func countersOf[E ~int32](page *telemetry.Metrics, family, prefix string, names map[int32]string, unspecified E) map[E]counter {
	all := map[E]counter{}
	for number, name := range names {
		if E(number) != unspecified {
			all[E(number)] = page.Counter(family, "result", strings.ToLower(strings.TrimPrefix(name, prefix)))
		}
	}
	return all
}

// countChange counts the answer to an operator; a change that is sent again counts again.
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

// countRenewal counts a renewal that was confirmed, or refused because of err.
func (c *counters) countRenewal(err error) {
	if err == nil {
		c.renewalsConfirmed.Inc(1)
		return
	}
	c.renewalsRefused[refusalOf(err)].Inc(1)
}

func refusalOf(err error) refusal {
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
