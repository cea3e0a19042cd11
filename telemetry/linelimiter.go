package telemetry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// LineLimiter is a token bucket that limits log lines whose number grows with the traffic. Lines beyond the limit are counted
// and left out. It is safe for concurrent use.
type LineLimiter struct {
	mu            sync.Mutex
	ratePerSecond float64 // lines per second, and the capacity of the bucket
	tokens        float64
	last          time.Time
	dropped       metrics.Counter
}

// NewLineLimiter returns a limiter for a number of lines per second. The counter log_lines_left_out counts the lines beyond
// it.
func NewLineLimiter(perSecond int, counters *Metrics) *LineLimiter {
	return &LineLimiter{ratePerSecond: float64(perSecond), tokens: float64(perSecond), dropped: counters.UnlabeledCounter("log_lines_left_out")}
}

// Allow reports whether a line may be written at now, and takes a token if so.
func (l *LineLimiter) Allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if passed := now.Sub(l.last).Seconds(); passed > 0 {
		l.tokens = min(l.tokens+passed*l.ratePerSecond, l.ratePerSecond)
		l.last = now
	}
	if l.tokens < 1 {
		l.dropped.Inc(1)
		return false
	}
	l.tokens--
	return true
}
