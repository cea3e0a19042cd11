// Package journal holds the records that stand-in servers and the load generator write, one JSON object a line. The
// comparison of both sides is package check.
package journal

// Event tells what a server record reports.
type Event string

// Events of a stand-in server.
const (
	// Started is written before the first step of a run.
	Started Event = "started"
	// Ended is written when a run is over, completed or not.
	Ended Event = "ended"
	// Shed is written when the server refused a request with Heatherwall-Not-Run.
	Shed Event = "shed"
	// Collapsed is written when a cold server broke down under too much load.
	Collapsed Event = "fell_over"
	// LeaveAccepted is written when a gateway has accepted that the server leaves.
	LeaveAccepted Event = "leaving"
	// OverCapacity is written when a request reached a cold server that already had as many as it could bear.
	OverCapacity Event = "excess"
	// Registered is written when a gateway has accepted an announcement.
	Registered Event = "owned"
)

// ServerEvent is one record of a stand-in server.
type ServerEvent struct {
	Event Event `json:"event"`
	// Sequence orders the records of one process.
	Sequence uint64 `json:"sequence"`
	// At is the machine's monotonic clock in nanoseconds.
	At int64 `json:"at"`
	// Request is the caller's name of the request; resends carry the same.
	Request string `json:"request,omitempty"`
	// Attempt is the caller's name of one sending of the request.
	Attempt string `json:"sending,omitempty"`
	// Key is the idempotency key; empty if the request carried none.
	Key           string `json:"key,omitempty"`
	Service       string `json:"service"`
	Server        string `json:"server"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Completed is true on an Ended record whose answer was written whole.
	Completed bool `json:"completed,omitempty"`
	// Gateway is the announce address of the accepting gateway on Registered and LeaveAccepted records.
	Gateway string `json:"gateway,omitempty"`
	// Detail explains an OverCapacity record.
	Detail string `json:"detail,omitempty"`
	// Cold is true if the server was in cold start.
	Cold bool `json:"cold,omitempty"`
	// AfterLeave is the time since a gateway accepted the leave, in nanoseconds; 0 before.
	AfterLeave int64 `json:"after_leave,omitempty"`
}

// Outcome is what a caller learned from one sending.
type Outcome string

// What a caller can be told.
const (
	// OK is a complete answer of a backend server.
	OK Outcome = "ok"
	// Refused is a problem body with a reason.
	Refused Outcome = "refused"
	// Interrupted is a connection that broke, or a deadline that passed, before a complete answer.
	Interrupted Outcome = "cut"
	// Unreachable is a connection that could not be opened; nothing was sent.
	Unreachable Outcome = "unreached"
)

// Values of Call.Ran, as in problem bodies.
const (
	RanNo      = "no"
	RanUnknown = "unknown"
	RanYes     = "yes"
)

// Call is one sending of a request, as its caller saw it.
type Call struct {
	// Sequence is the number of the request in the schedule of the load.
	Sequence uint64 `json:"sequence"`
	Request  string `json:"request"`
	Attempt  string `json:"sending"`
	Key      string `json:"key,omitempty"`
	// AtMostOnce is true for a request that must run at most once.
	AtMostOnce bool   `json:"once,omitempty"`
	Path       string `json:"path"`
	// HomeRegions lists the home regions of the request; empty for all.
	HomeRegions []string `json:"home,omitempty"`
	// Gateway and GatewayRegion tell where the request was sent.
	Gateway       string  `json:"gateway"`
	GatewayRegion string  `json:"gateway_region,omitempty"`
	Outcome       Outcome `json:"told"`
	Status        int     `json:"status,omitempty"`
	Reason        string  `json:"reason,omitempty"`
	Ran           string  `json:"ran,omitempty"`
	// Server is the backend server that answered.
	Server string `json:"server,omitempty"`
	// Mismatch tells how an answer did not belong whole to its request; empty if it did.
	Mismatch string `json:"mismatch,omitempty"`
	// Failure is the transport error of a Cut.
	Failure string `json:"failure,omitempty"`
	// SentAt and OutcomeAt are values of the machine's monotonic clock in nanoseconds.
	SentAt    int64 `json:"sent_at"`
	OutcomeAt int64 `json:"told_at"`
}
