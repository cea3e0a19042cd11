package balance

import "time"

// State is the announced or reported state of a backend server.
type State uint8

// States of a backend server, in the order of the enum in gossip messages.
const (
	StateReady State = iota
	// StateCold marks cold start: only the owner sends requests, up to a limit that starts at 1.
	StateCold
	// StateDraining marks a server that receives no new requests.
	StateDraining
	// StateLeft is final for an incarnation.
	StateLeft
)

// Server describes a backend server to the engine. Address (IP address and port) identifies it.
type Server struct {
	Address string
	// ID is the server's own identifier; empty if it has none.
	ID            string
	Service       string
	Region        string
	FailureDomain string
	Incarnation   uint64
	// Sequence orders the announcements within an incarnation.
	Sequence uint64
	State    State
	// Slots is the number of requests that the server runs at once; 0 counts as 1.
	Slots int
	// MaxInFlight caps the requests of this gateway in flight at the server; 0 means no cap.
	MaxInFlight int
	// Owned is set if this gateway owns the server.
	Owned bool
	// SendUntil is when the owner's right to send to the cold server ends, in monotonic time of this gateway.
	SendUntil time.Duration
	// ColdInterval is the shortest time between two requests of this gateway to the server while it is cold; 0 for no
	// such limit.
	ColdInterval time.Duration
	// EvidenceAt is the monotonic time of the newest evidence that the server is not leaving.
	EvidenceAt time.Duration
}

// Event is an input of Engine.Apply.
type Event interface{ event() }

// ServerChanged adds or replaces a server. Load and latency are kept unless the incarnation rises.
type ServerChanged struct{ Server Server }

// ServerRemoved removes a server. Requests in flight finish normally.
type ServerRemoved struct{ Address string }

// EvidenceRenewed renews the evidence that a server is not leaving, without a new snapshot.
type EvidenceRenewed struct {
	Address string
	// At is a monotonic time at which the evidence was certainly true.
	At time.Duration
}

// SendRightRenewed extends the owner's right to send to a cold server, without a new snapshot.
type SendRightRenewed struct {
	Address string
	// Until is monotonic time.
	Until time.Duration
}

// StateReported is the state and load in a server's response to a state probe.
type StateReported struct {
	Address string
	// Incarnation is the one that was probed; the report of another one is ignored. 0 stands for any.
	Incarnation uint64
	// At is the monotonic time at which the probe was sent.
	At       time.Duration
	State    State
	InFlight int
	Slots    int
}

// ConfigChanged replaces the limits and the set of failure domains that are out.
type ConfigChanged struct {
	Services []ServiceLimit
	Members  []MemberLimit
	// DomainsOut lists failure domains that receive no new request.
	DomainsOut []string
	// RetryBurst is the maximum number of retries that the budget of each service can accumulate; 0 leaves it unchanged.
	RetryBurst int64
}

// Ticked advances the engine's clock, like Engine.Tick.
type Ticked struct{ Now time.Duration }

// ServiceLimit limits the requests of one service in flight at this gateway.
type ServiceLimit struct {
	Service string
	// MaxInFlight of 0 means no limit.
	MaxInFlight int
}

// MemberLimit limits the requests of one member in flight at this gateway.
type MemberLimit struct {
	Member string
	// MaxInFlight of 0 means no limit.
	MaxInFlight int
}

func (ServerChanged) event()    {}
func (ServerRemoved) event()    {}
func (EvidenceRenewed) event()  {}
func (SendRightRenewed) event() {}
func (StateReported) event()    {}
func (ConfigChanged) event()    {}
func (Ticked) event()           {}

// NoticeKind is what the gateway is to do or to log.
type NoticeKind uint8

// Kinds of notices.
const (
	// NoticeFallback: the server seems to have fallen back into cold start; the gateway is to notify its owner.
	NoticeFallback NoticeKind = iota
	// NoticeFallbackEnded: a fallback has ended, because the owner's limit has risen to the server's slots and the server
	// is warm, or because the owner has sent it no requests for long.
	NoticeFallbackEnded
	// NoticeProbeWanted: the evidence of the server expires soon; the gateway is to probe it if the budget for
	// measurement traffic permits.
	NoticeProbeWanted
	// NoticeEjected and NoticeReturned report the start and the end of an ejection, for logs and counters.
	NoticeEjected
	NoticeReturned
)

// Notice is an output of the engine. The owner goroutine reads it with Engine.Notices.
type Notice struct {
	Kind        NoticeKind
	Service     string
	Address     string
	Incarnation uint64
}
