package membership

import "fmt"

// UnknownServerError reports a renewal of a server that this gateway does not own. The server must announce itself.
type UnknownServerError struct{ Address string }

func (e *UnknownServerError) Error() string {
	return fmt.Sprintf("server %s has not announced itself here", e.Address)
}

// OutdatedError reports an announcement or renewal that is older than the known record, for example a delayed message.
type OutdatedError struct {
	Address     string
	Incarnation uint64
	Sequence    uint64
}

func (e *OutdatedError) Error() string {
	return fmt.Sprintf("server %s: incarnation %d, sequence %d is out of date", e.Address, e.Incarnation, e.Sequence)
}

// LeftError reports that the incarnation has left, which is final.
type LeftError struct {
	Address     string
	Incarnation uint64
}

func (e *LeftError) Error() string {
	return fmt.Sprintf("server %s: incarnation %d has left", e.Address, e.Incarnation)
}

// MissingFieldError reports an announcement, renewal or record without a required field.
type MissingFieldError struct{ Field string }

func (e *MissingFieldError) Error() string { return fmt.Sprintf("announcement without %s", e.Field) }
