package telemetry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

// LineLimit bounds the log lines that grow with the traffic. Lines beyond the limit are counted and left out. It is safe
// for use by several goroutines.
type LineLimit struct {
	mu      sync.Mutex
	rate    float64 // lines per second; as many may be saved
	saved   float64
	last    time.Time
	leftOut metrics.Counter
}

// NewLineLimit returns a limit of lines per second that counts what is left out in log_lines_left_out.
func NewLineLimit(perSecond int, counters *Counters) *LineLimit {
	return &LineLimit{rate: float64(perSecond), saved: float64(perSecond), leftOut: counters.Total("log_lines_left_out")}
}

// Admit reports whether a line may be written at a time.
func (l *LineLimit) Admit(now time.Time) bool {
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
