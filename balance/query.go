package balance

import "time"

// MaxExcluded is the number of servers that one Query can exclude.
const MaxExcluded = 4

// AttemptKind tells why an attempt is made.
type AttemptKind uint8

// Kinds of attempts. Retries and hedges are charged to their budgets.
const (
	AttemptFirst AttemptKind = iota
	AttemptRetry
	AttemptHedge
	// AttemptFreeRetry follows an attempt that reached no server; it costs no budget and fills none.
	AttemptFreeRetry
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
	// Idempotent requests may be hedged and may test an ejected server.
	Idempotent bool
	// Remaining is the time left to the deadline; 0 means no deadline.
	Remaining time.Duration
	// Target is the time left in which an answer is of full use; negative when it has passed, 0 for none.
	Target time.Duration
	// Late requests are past their target whatever Target says: they have waited, or their caller has tried before.
	Late bool
	// Random is a uniformly distributed 64-bit value.
	Random uint64
	Kind   AttemptKind
	// PreferProbed prefers servers that answered a probe a moment ago.
	PreferProbed bool
}

// Reason tells why Pick refused.
type Reason uint8

// Reasons of a Refusal. All of them mean that nothing was sent.
const (
	// ReasonNone is the zero value: not refused.
	ReasonNone Reason = iota
	// ReasonNoServer: no server of the service may receive the request.
	ReasonNoServer
	// ReasonOverloaded: every permitted server is at its limit.
	ReasonOverloaded
	// ReasonServiceLimit: the service is at its limit at this gateway.
	ReasonServiceLimit
	// ReasonMemberLimit: the member is at its limit at this gateway.
	ReasonMemberLimit
	// ReasonBudget: the budget of retries or hedges is spent.
	ReasonBudget
	// ReasonDeadline: the remaining time is shorter than any answer can take.
	ReasonDeadline
	// ReasonYield: no server can answer in time, and the free slots are left to requests that can be answered in time.
	// The request may wait and be picked for again.
	ReasonYield
)

// String returns the reason's name as counters use it.
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
}

// Refused reports whether Pick refused.
func (r Refusal) Refused() bool { return r.Reason != ReasonNone }

// Error makes a Refusal usable as a typed error.
func (r Refusal) Error() string { return "not sent: " + r.Reason.String() }

// OutcomeKind classifies the end of an attempt.
type OutcomeKind uint8

// Kinds of outcomes.
const (
	// OutcomeOK: a complete answer.
	OutcomeOK OutcomeKind = iota
	// OutcomeFailed: an error answer, a timeout or a broken answer.
	OutcomeFailed
	// OutcomeNotRun: the server answered that it did not run the request.
	OutcomeNotRun
	// OutcomeNotConnected: no connection could be opened.
	OutcomeNotConnected
	// OutcomeCanceled: the gateway cancelled the attempt; its latency is a lower bound.
	OutcomeCanceled
	// OutcomeCrashed: the connection broke while the request was in flight.
	OutcomeCrashed
)

// Outcome is the end of an attempt.
type Outcome struct {
	Kind OutcomeKind
	// Latency is the time since Query.Now of the attempt.
	Latency time.Duration
	// RetryAfter is the Retry-After of the server; 0 for none.
	RetryAfter time.Duration
	// HasState tells that State is the state header of the answer.
	HasState bool
	State    State
	// InFlight and Slots are the load header of the answer; Slots is 0 when there was none. InFlight leaves out the
	// request that the answer ends.
	InFlight int
	Slots    int
}

// PickDetails tells an operator why a server was chosen.
type PickDetails struct {
	// Load is the estimated number of requests at the server.
	Load float64
	// Slowness is the work time of the moment in usual work times.
	Slowness float64
	// ReadingAge is the age of the last answer to a probe; negative for none.
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
	// Owned tells that this gateway owns the server.
	Owned bool
	// Details is what the choice rests on.
	Details PickDetails

	snapshot  *Snapshot
	view      *serviceView
	candidate *candidate
	member    *memberLoad
	start     time.Duration
	// slowness is that of the server when it was picked.
	slowness float64
	// ticket is cleared in the server's table by the first Done.
	ticket uint64
	// cold tells that the attempt counts for the limit of a cold start.
	cold bool
}
