package membership

import "fmt"

// UnknownServerError: a renewal of a server that this gateway does not own. The server must announce itself.
type UnknownServerError struct{ Address string }

// Error names the server.
func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("server %s has not announced itself here", e.Address)
}

// OutdatedError: an announcement or renewal older than what is known, for example a delayed message.
type OutdatedError struct {
	Address     string
	Incarnation uint64
	Sequence    uint64
}

// Error names the server and the number that is out of date.
func (e *OutdatedError) Error() string {
	return fmt.Sprintf("server %s: incarnation %d, sequence %d is out of date", e.Address, e.Incarnation, e.Sequence)
}

// LeftError: the incarnation has left, which is final.
type LeftError struct {
	Address     string
	Incarnation uint64
}

// Error names the server.
func (e *LeftError) Error() string {
	return fmt.Sprintf("server %s: incarnation %d has left", e.Address, e.Incarnation)
}

// MissingFieldError: an announcement lacks a field.
type MissingFieldError struct{ Field string }

// Error names the field.
func (e *MissingFieldError) Error() string { return fmt.Sprintf("announcement without %s", e.Field) }
