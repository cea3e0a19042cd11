package operator

import (
	"fmt"
	"strings"
)

// Exit codes of all subcommands.
const (
	exitOK             = 0
	exitFailed         = 1
	exitUsage          = 2
	exitOutcomeUnknown = 3
)

// UsageError reports wrong arguments or a client file that cannot be used.
type UsageError struct {
	Command string
	Reason  string
}

func (e *UsageError) Error() string {
	return fmt.Sprintf("%s: %s (see heatherwall %s -h)", e.Command, e.Reason, e.Command)
}

// FileError reports a file that cannot be read or written.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.Path, e.Err) }

func (e *FileError) Unwrap() error { return e.Err }

// RefusedError reports a request that was refused and had no effect.
type RefusedError struct {
	Reason string
}

func (e *RefusedError) Error() string { return "refused: " + e.Reason }

// NoAnswerError reports that no control replica gave a usable answer before the deadline. The request had no effect.
type NoAnswerError struct {
	// Attempts lists what the newest attempts met.
	AttemptErrors []string
}

func (e *NoAnswerError) Error() string {
	return "no control replica answered in time; nothing was changed\n  " + strings.Join(e.AttemptErrors, "\n  ")
}

// UnknownError reports a request without a usable answer within the deadline. A change may have been accepted.
type OutcomeUnknownError struct {
	// Attempts lists what the newest attempts met.
	AttemptErrors []string
	// Hint tells how to find out.
	Hint string
}

func (e *OutcomeUnknownError) Error() string {
	lines := append([]string{"no answer in time; outcome unknown"}, e.AttemptErrors...)
	return strings.Join(lines, "\n  ") + "\n" + e.Hint
}

// CertificateError reports a server that is not a control replica of the setup.
type CertificateError struct {
	Name string
	Err  error
}

func (e *CertificateError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("certificate of %q: not one of the control replicas in the client file", e.Name)
	}
	return fmt.Sprintf("certificate of %q: %v", e.Name, e.Err)
}

func (e *CertificateError) Unwrap() error { return e.Err }
