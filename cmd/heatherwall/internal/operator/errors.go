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

// UsageError reports invalid arguments or an invalid client file.
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

// NoAnswerError reports that no control replica returned a usable answer before the deadline. The request had no
// effect; signAndSend replaces the error with an OutcomeUnknownError if an attempt may have had one.
type NoAnswerError struct {
	// AttemptErrors lists the errors of the most recent attempts.
	AttemptErrors []string
}

func (e *NoAnswerError) Error() string {
	return "no control replica answered in time; nothing was changed\n  " + strings.Join(e.AttemptErrors, "\n  ")
}

// OutcomeUnknownError reports that a change got no usable answer before the deadline, so it may have been accepted, or
// that an accepted change was not seen in force before the deadline.
type OutcomeUnknownError struct {
	// AttemptErrors lists the errors of the most recent attempts.
	AttemptErrors []string
	// Hint explains how to find out the outcome, or what is known about it.
	Hint string
}

func (e *OutcomeUnknownError) Error() string {
	lines := append([]string{"no answer in time; outcome unknown"}, e.AttemptErrors...)
	return strings.Join(lines, "\n  ") + "\n" + e.Hint
}

// CertificateError reports a server whose certificate does not identify it as one of the control replicas.
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
