package telemetry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// LineLimiter bounds the log lines that grow with the traffic. Lines beyond the limit are counted and left out. It is safe
// for use by several goroutines.
type LineLimiter struct {
	mu      sync.Mutex
	rate    float64 // lines per second; as many may be saved
	saved   float64
	last    time.Time
	leftOut metrics.Counter
}

// NewLineLimiter returns a limit of lines per second that counts what is left out in log_lines_left_out.
func NewLineLimiter(perSecond int, counters *Metrics) *LineLimiter {
	return &LineLimiter{rate: float64(perSecond), saved: float64(perSecond), leftOut: counters.UnlabeledCounter("log_lines_left_out")}
}

// Allow reports whether a line may be written at a time.
func (l *LineLimiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if passed := now.Sub(l.last).Seconds(); passed > 0 {
		l.saved = min(l.saved+passed*l.rate, l.rate)
		l.last = now
	}
	if l.saved < 1 {
		l.leftOut.Inc(1)
		return false
	}
	l.saved--
	return true
}
