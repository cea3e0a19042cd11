package gateway

import "time"

// clock returns the time since the process started, on the monotonic clock.
type clock struct {
	start time.Time
}

func newClock() clock {
	return clock{start: time.Now()}
}

func (c clock) now() time.Duration {
	return time.Since(c.start)
}
