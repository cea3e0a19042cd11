package balance

import "time"

// MaxExcluded is the number of servers that one Query can exclude.
const MaxExcluded = 4

// AttemptKind is the reason for an attempt.
type AttemptKind uint8

// Kinds of attempts. Retries and hedges are charged to their budgets; an attempt that is placed anew is not.
const (
	AttemptFirst AttemptKind = iota
	AttemptRetry
	AttemptHedge
	// AttemptPlacedAnew replaces an attempt of which nothing was written, because its server may no longer receive it.
	AttemptPlacedAnew
)

// Query describes one attempt to send a request.
type Query struct {
	// Now is the monotonic time of the gateway.
	Now     time.Duration
	Service string
	// Member is the member whose limit applies; empty for none.
	Member string
	// Regions lists the regions where the request may run. It is ignored if AnyRegion is set; otherwise an empty list
	// allows no region.
	Regions   []string
	AnyRegion bool
	// Excluded lists addresses that the request must not be sent to again; empty entries are unused.
	Excluded [MaxExcluded]string
	// Idempotent permits hedging the request.
	Idempotent bool
	// Remaining is the time left to the deadline; 0 means no deadline.
	Remaining time.Duration
	// Target is the time left to the latency target of the request; negative if it has passed, 0 for no target.
	Target time.Duration
	// Late marks a request as past its target regardless of Target: it has waited, or its caller has retried it.
	Late bool
	// Random is a uniformly distributed 64-bit value.
	Random uint64
	Kind   AttemptKind
	// PreferProbed prefers servers with a fresh reading, that is, a recent response to a load probe.
	PreferProbed bool
}

// Reason is the reason for which Pick refused an attempt.
type Reason uint8

// Reasons of a Refusal. All of them mean that nothing was sent.
const (
	// ReasonNone is the zero value: not refused.
	ReasonNone Reason = iota
	// ReasonNoServer: no server of the service may receive the request.
	ReasonNoServer
	// ReasonOverloaded: every permitted server is busy (ejected, returning or at a limit) or paused, or the Queue has no
	// place for the request.
	ReasonOverloaded
	// ReasonServiceLimit: the service is at its limit at this gateway.
	ReasonServiceLimit
	// ReasonMemberLimit: the member is at its limit at this gateway.
	ReasonMemberLimit
	// ReasonBudget: the retry or hedge budget is spent, or the request may not be hedged.
	ReasonBudget
	// ReasonDeadline: the expected latency is far longer than the remaining time.
	ReasonDeadline
	// ReasonYield: no server is expected to answer in time, and the free slots are left to requests that can be answered
	// in time. The caller may wait and call Pick again.
	ReasonYield
	// ReasonPaused: every server that the request may use asked this gateway to send nothing for a time.
	ReasonPaused
)

// String returns the name of the reason in counters.
func (r Reason) String() string {
	switch r {
	case ReasonNone:
		return "none"
	case ReasonNoServer:
		return "no_server"
	case ReasonOverloaded:
		return "overloaded"
	case ReasonServiceLimit:
		return "limit_service"
	case ReasonMemberLimit:
		return "limit_member"
	case ReasonBudget:
		return "budget"
	case ReasonDeadline:
		return "deadline_too_short"
	case ReasonYield:
		return "yield"
	case ReasonPaused:
		return "servers_paused"
	}
	return "unknown"
}

// Refusal is the second result of Pick; its zero value means that the attempt may be sent.
type Refusal struct {
	Reason Reason
	// RetryAfter suggests when a caller may try again.
	RetryAfter time.Duration
	// Yield is set for ReasonYield.
	Yield Yield
	// Unreachable is set for ReasonNoServer if connections to servers failed lately.
	Unreachable bool
}

// Refused reports whether Pick refused.
func (r Refusal) Refused() bool { return r.Reason != ReasonNone }

// Error implements error.
func (r Refusal) Error() string { return "not sent: " + r.Reason.String() }

// OutcomeKind classifies the end of an attempt.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// OutcomeOK: a complete response.
	OutcomeOK OutcomeKind = iota
	// OutcomeFailed: an error response, a timeout or an incomplete response.
	OutcomeFailed
	// OutcomeNotRun: the server reported that it did not run the request.
	OutcomeNotRun
	// OutcomeNotConnected: no connection could be opened.
	OutcomeNotConnected
	// OutcomeCanceled: the gateway cancelled the attempt; its latency is a lower bound.
	OutcomeCanceled
	// OutcomeCrashed: the connection broke while the request was in flight.
	OutcomeCrashed
	// OutcomeDiscarded: the outcome says nothing about the server.
	OutcomeDiscarded
)

// Outcome describes how an attempt ended.
type Outcome struct {
	Kind OutcomeKind
	// Latency is the time from Query.Now to the end of the attempt.
	Latency time.Duration
	// RetryAfter is the value of the response's Retry-After header; 0 for none. It pauses the server only through a
	// Statement.
	RetryAfter time.Duration
	// HasState is set if State is the value of the response's state header.
	HasState bool
	State    State
	// InFlight and Slots are the values of the response's load header; Slots is 0 if there was none. InFlight does not
	// count the answered request.
	InFlight int
	Slots    int
}

// PickDetails holds the values that explain to an operator why a server was chosen.
type PickDetails struct {
	// Load is the estimated number of requests at the server.
	Load float64
	// Slowness is the current work time as a multiple of the usual one.
	Slowness float64
	// ReadingAge is the age of the last reading; negative for none.
	ReadingAge time.Duration
}

// Attempt is the permission to send one request to one server. Done must be called exactly once; a second call has no
// effect.
type Attempt struct {
	// Address of the server.
	Address string
	// ID is the server's own identifier.
	ID            string
	FailureDomain string
	Region        string
	// State of the server when it was picked.
	State State
	// Owned is set if this gateway owns the server.
	Owned bool
	// Details explains the choice.
	Details PickDetails

	snapshot  *Snapshot
	view      *serviceView
	candidate *candidate
	member    *memberLoad
	start     time.Duration
	// slowness is the server's slowness when it was picked.
	slowness float64
	// ticket is released by the first Done.
	ticket uint64
	// cold is set if the attempt counts towards the limit of a cold start.
	cold bool
}
