// Package journal defines, writes and reads the records of stand-in servers and of the load generator, one JSON object
// per line. Package check compares both sides.
package journal

// Event is the kind of a ServerEvent.
type Event string

// Events of a stand-in server.
const (
	// Started is written before a request starts to run.
	Started Event = "started"
	// Ended is written when a run is over, completed or not.
	Ended Event = "ended"
	// Shed is written when the server refuses a request with the header Heatherwall-Not-Run.
	Shed Event = "shed"
	// Collapsed is written when a cold server breaks down under overload.
	Collapsed Event = "fell_over"
	// LeaveAccepted is written when a gateway has accepted the leave of the server.
	LeaveAccepted Event = "leaving"
	// OverCapacity is written when a request arrives at a cold server that is already at its capacity.
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
	// Request is the caller's identifier of the request; every attempt carries the same one.
	Request string `json:"request,omitempty"`
	// Attempt is the caller's identifier of one attempt at the request.
	Attempt string `json:"sending,omitempty"`
	// Key is the idempotency key; empty if the request carried none.
	Key           string `json:"key,omitempty"`
	Service       string `json:"service"`
	Server        string `json:"server"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	// Completed is true on an Ended record if the whole response was written.
	Completed bool `json:"completed,omitempty"`
	// Gateway is the announce address of the accepting gateway on Registered and LeaveAccepted records.
	Gateway string `json:"gateway,omitempty"`
	// Detail explains an OverCapacity record.
	Detail string `json:"detail,omitempty"`
	// Cold is true if the server was in its cold start.
	Cold bool `json:"cold,omitempty"`
	// AfterLeave is the time in nanoseconds since a gateway accepted the leave; 0 before that.
	AfterLeave int64 `json:"after_leave,omitempty"`
}

// Outcome is the result of one attempt as its caller saw it.
type Outcome string

// Outcomes of an attempt.
const (
	// OK is a complete response of a backend server, whatever its status code.
	OK Outcome = "ok"
	// Refused is a problem body with a reason, or a response with the header Heatherwall-Not-Run.
	Refused Outcome = "refused"
	// Interrupted is a connection that broke, or a timeout that expired, before the complete response arrived.
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

// Call is one attempt at a request as its caller saw it.
type Call struct {
	// Sequence is the number of the request in the plan of the load generator.
	Sequence uint64 `json:"sequence"`
	Request  string `json:"request"`
	Attempt  string `json:"sending"`
	Key      string `json:"key,omitempty"`
	// AtMostOnce is true for a request that must run at most once.
	AtMostOnce bool   `json:"once,omitempty"`
	Path       string `json:"path"`
	// HomeRegions lists the home regions of the request; empty for all.
	HomeRegions []string `json:"home,omitempty"`
	// Gateway and GatewayRegion are the address and the region of the gateway to which the request was sent.
	Gateway       string  `json:"gateway"`
	GatewayRegion string  `json:"gateway_region,omitempty"`
	Outcome       Outcome `json:"told"`
	Status        int     `json:"status,omitempty"`
	Reason        string  `json:"reason,omitempty"`
	Ran           string  `json:"ran,omitempty"`
	// Server is the address of the backend server that sent the response.
	Server string `json:"server,omitempty"`
	// Mismatch says why the response is not the complete response to the request; empty if it is.
	Mismatch string `json:"mismatch,omitempty"`
	// Failure is the transport error of an Interrupted or Unreachable attempt.
	Failure string `json:"failure,omitempty"`
	// SentAt and OutcomeAt are the times of sending and of the outcome on the machine's monotonic clock, in nanoseconds.
	SentAt    int64 `json:"sent_at"`
	OutcomeAt int64 `json:"told_at"`
}
