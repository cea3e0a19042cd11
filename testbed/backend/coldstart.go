package backend

import (
	"fmt"
	"sync"
	"time"
)

const (
	// coldSlowdown is the factor on the service time of a server that has just started cold.
	coldSlowdown = 4.0
	// fallOverWarmth is the warmth below which a fully loaded server falls over.
	fallOverWarmth = 0.5
	// stepSlowdown is the factor on the service time of a cold server with ColdStep.
	stepSlowdown = 2
)

// warmth tells how far a cold start has come. A server warms up with time and with completed runs, whichever is
// further.
type warmth struct {
	mu           sync.Mutex
	cold         bool
	since        time.Time
	completed    int
	coldTime     time.Duration
	coldRequests int
	// step is Options.ColdStep, grace Options.ColdGrace.
	step  int
	grace time.Duration
	// peak is the highest number of requests at the cold server in times of what it bore, over the number of arrivals
	// above what it bore.
	peak float64
	over int64
}

// crowding is the factor on the service time with ColdStep, for so many requests at the server.
func (w *warmth) crowding(now time.Time, present, slots int) float64 {
	if w.step == 0 || w.level(now) >= 1 {
		return 1
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	excess := max(1, float64(present)/float64(w.bears(slots)))
	return stepSlowdown * excess * excess
}

// bears is the number of requests that the cold server can bear with ColdStep. The caller holds mu.
func (w *warmth) bears(slots int) int { return min(1+w.completed/w.step, slots) }

// arrived compares the number of requests at a cold server with what it bears, and describes an excess.
func (w *warmth) arrived(now time.Time, present, slots int) (excess string) {
	if w.step == 0 || w.level(now) >= 1 {
		return ""
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.since) < w.grace {
		return ""
	}
	ratio := float64(present) / float64(w.bears(slots))
	w.peak = max(w.peak, ratio)
	if ratio <= 1 {
		return ""
	}
	w.over++
	return fmt.Sprintf("%d requests where %d can be borne, %d finished, %d ms after the start",
		present, w.bears(slots), w.completed, now.Sub(w.since).Milliseconds())
}

// excess returns the peak and the number of arrivals above what the cold server bore.
func (w *warmth) excess() (float64, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak, w.over
}

// warm ends a cold start.
func (w *warmth) warm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = false
}

// chill starts a cold start at now; without a cold time the server stays warm.
func (w *warmth) chill(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cold = w.coldTime > 0
	w.since = now
	w.completed = 0
}

func (w *warmth) done() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.completed++
}

// level is 0 for a server that has just started and 1 for a warm one.
func (w *warmth) level(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.cold {
		return 1
	}
	byTime := float64(now.Sub(w.since)) / float64(w.coldTime)
	byRuns := 0.0
	if w.coldRequests > 0 {
		byRuns = float64(w.completed) / float64(w.coldRequests)
	}
	level := max(byTime, byRuns)
	if level >= 1 {
		w.cold = false
		return 1
	}
	return level
}

func (w *warmth) isCold(now time.Time) bool { return w.level(now) < 1 }

// slowdown is the factor on the service time with so many requests running.
func (w *warmth) slowdown(now time.Time, running, slots int) float64 {
	level := w.level(now)
	if level >= 1 || w.step > 0 {
		return 1
	}
	capacity := 1 + float64(slots-1)*level
	return (1 + (coldSlowdown-1)*(1-level)) * max(1, float64(running)/capacity)
}

// fallsOver reports whether a server with so many requests running breaks down.
func (w *warmth) fallsOver(now time.Time, running, slots int) bool {
	return w.step == 0 && running >= slots && w.level(now) < fallOverWarmth
}
