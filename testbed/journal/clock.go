package journal

import "golang.org/x/sys/unix"

// Nanotime returns the machine's monotonic clock in nanoseconds. Values of different processes on one machine are
// comparable until the machine restarts.
func Nanotime() int64 {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(&ClockError{Cause: err})
	}
	return t.Nano()
}

// ClockError reports that the monotonic clock could not be read.
type ClockError struct {
	Cause error
}

func (e *ClockError) Error() string { return "read the monotonic clock: " + e.Cause.Error() }

// Unwrap returns the error of the system call.
func (e *ClockError) Unwrap() error { return e.Cause }
