package membership

import (
	"time"

	"heatherwall.example/api/gossippb"
)

// EventKind tells what changed.
type EventKind uint8

// Kinds of events.
const (
	// ServerChanged: a server was added, or its record, ownership or evidence changed; Server is complete.
	ServerChanged EventKind = iota
	// ServerGone: a server left, or there was no evidence of it for LostAfter.
	ServerGone
	// EvidenceUpdated: only Server.Evidence rose.
	EvidenceUpdated
	// SendRightChanged: only Server.SendUntil changed.
	SendRightChanged
)

// Event is an output of Registry.Tick.
type Event struct {
	Kind   EventKind
	Server Server
}

// Server is a backend server as this gateway knows it.
type Server struct {
	// Record must not be changed by the reader.
	Record *gossippb.Server
	// Owned tells that this gateway owns the server.
	Owned bool
	// SendUntil ends the owner's right to send to the server while it is cold.
	SendUntil time.Duration
	// EvidenceAt is the newest time at which the server was certainly not leaving.
	EvidenceAt time.Duration
}
