package operator

import (
	"fmt"
	"strings"
)

// Exit codes of all subcommands.
const (
	exitDone    = 0
	exitRefused = 1
	exitUsage   = 2
	exitUnknown = 3
)

// UsageError reports wrong arguments or a client file that cannot be used.
type UsageError struct {
	Command string
	Fault   string
}

func (e *UsageError) Error() string {
	return fmt.Sprintf("%s: %s (see heatherwall %s -h)", e.Command, e.Fault, e.Command)
}

// FileError reports a file that cannot be read or written.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// RefusedError reports a request that was refused and had no effect.
type RefusedError struct {
	Fault string
}

func (e *RefusedError) Error() string { return "refused: " + e.Fault }

// NoAnswerError reports that no control replica gave a usable answer before the deadline. The request had no effect.
type NoAnswerError struct {
	// Attempts lists what the newest attempts met.
	Attempts []string
}

func (e *NoAnswerError) Error() string {
	return "no control replica answered in time; nothing was changed\n  " + strings.Join(e.Attempts, "\n  ")
}

// UnknownError reports a request without a usable answer within the deadline. A change may have been accepted.
type UnknownError struct {
	// Attempts lists what the newest attempts met.
	Attempts []string
	// Hint tells how to find out.
	Hint string
}

func (e *UnknownError) Error() string {
	lines := append([]string{"no answer in time; outcome unknown"}, e.Attempts...)
	return strings.Join(lines, "\n  ") + "\n" + e.Hint
}

// CertificateError reports a server that is not a control replica of the setup.
type CertificateError struct {
	Name  string
	Cause error
}

func (e *CertificateError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("certificate of %q: not one of the control replicas in the client file", e.Name)
	}
	return fmt.Sprintf("certificate of %q: %v", e.Name, e.Cause)
}

func (e *CertificateError) Unwrap() error { return e.Cause }
