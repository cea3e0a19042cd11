package membership

import (
	"time"

	"heatherwall.example/api/gossippb"
)

// EventKind is the kind of change that an event reports.
type EventKind uint8

// Kinds of events.
const (
	// ServerChanged: a server was added, or its record, ownership or evidence changed. All fields of Server may have changed.
	ServerChanged EventKind = iota
	// ServerGone: a server left, or there has been no evidence of it for LostAfter.
	ServerGone
	// EvidenceUpdated: only Server.EvidenceAt changed; it is newer than before.
	EvidenceUpdated
	// SendRightChanged: only Server.SendUntil changed.
	SendRightChanged
)

// Event is a change of a server, returned by Registry.Tick and Registry.TakeEvents.
type Event struct {
	Kind   EventKind
	Server Server
}

// Server is a backend server as this gateway knows it.
type Server struct {
	// Record is shared with the registry and must not be changed.
	Record *gossippb.Server
	// Owned reports whether this gateway owns the server.
	Owned bool
	// SendUntil is the end of the owner's exclusive right to send to the server while it is in cold start.
	SendUntil time.Duration
	// EvidenceAt is the newest time at which the server is known not to have been leaving.
	EvidenceAt time.Duration
}
