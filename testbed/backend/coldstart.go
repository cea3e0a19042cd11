package backend

import (
	"fmt"
	"sync"
	"time"
)

const (
	// maxColdSlowdown is the factor on the service time at the beginning of a cold start.
	maxColdSlowdown = 4.0
	// collapseProgress is the progress of a cold start below which a fully loaded server collapses.
	collapseProgress = 0.5
	// coldStepBaseSlowdown is the factor on the service time of a cold server with Options.ColdStep that is within its
	// capacity.
	coldStepBaseSlowdown = 2
)

// coldStart is the warm-up state of a server. Its progress is that of the elapsed time or that of the completed runs,
// whichever is greater.
type coldStart struct {
	mu            sync.Mutex
	cold          bool
	startedAt     time.Time
	completedRuns int
	maxDuration   time.Duration
	warmUpRuns    int
	// step is Options.ColdStep, grace Options.ColdGrace.
	step  int
	grace time.Duration
	// peakLoad is the highest ratio of outstanding requests to the capacity of the cold server, overCapacity the number of
	// arrivals above that capacity.
	peakLoad     float64
	overCapacity int64
}

// coldStepSlowdown returns the factor on the service time of a cold server with ColdStep and the given number of
// outstanding requests.
func (c *coldStart) coldStepSlowdown(now time.Time, outstanding, slots int) float64 {
	if c.step == 0 || c.progress(now) >= 1 {
		return 1
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	excess := max(1, float64(outstanding)/float64(c.capacity(slots)))
	return coldStepBaseSlowdown * excess * excess
}

// capacity returns the number of requests that a cold server with ColdStep can handle at a time. The caller holds mu.
func (c *coldStart) capacity(slots int) int { return min(1+c.completedRuns/c.step, slots) }

// recordArrival compares the outstanding requests of a cold server with its capacity. It returns a description if they
// exceed it, otherwise an empty string.
func (c *coldStart) recordArrival(now time.Time, outstanding, slots int) (excess string) {
	if c.step == 0 || c.progress(now) >= 1 {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.startedAt) < c.grace {
		return ""
	}
	load := float64(outstanding) / float64(c.capacity(slots))
	c.peakLoad = max(c.peakLoad, load)
	if load <= 1 {
		return ""
	}
	c.overCapacity++
	return fmt.Sprintf("%d requests with a capacity of %d, %d runs completed, %d ms after the start",
		outstanding, c.capacity(slots), c.completedRuns, now.Sub(c.startedAt).Milliseconds())
}

// overloadCounts returns the peak load and the number of arrivals above the capacity.
func (c *coldStart) overloadCounts() (float64, int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peakLoad, c.overCapacity
}

// end ends the cold start early.
func (c *coldStart) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold = false
}

// begin starts a cold start. With a maxDuration of 0 the server stays warm.
func (c *coldStart) begin(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cold = c.maxDuration > 0
	c.startedAt = now
	c.completedRuns = 0
}

func (c *coldStart) runCompleted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.completedRuns++
}

// progress returns the progress of the cold start, from 0 at its beginning to 1 for a warm server.
func (c *coldStart) progress(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.cold {
		return 1
	}
	byTime := float64(now.Sub(c.startedAt)) / float64(c.maxDuration)
	byRuns := 0.0
	if c.warmUpRuns > 0 {
		byRuns = float64(c.completedRuns) / float64(c.warmUpRuns)
	}
	progress := max(byTime, byRuns)
	if progress >= 1 {
		c.cold = false
		return 1
	}
	return progress
}

func (c *coldStart) isCold(now time.Time) bool { return c.progress(now) < 1 }

// slowdown returns the factor on the service time with the given number of running requests.
func (c *coldStart) slowdown(now time.Time, running, slots int) float64 {
	progress := c.progress(now)
	if progress >= 1 || c.step > 0 {
		return 1
	}
	capacity := 1 + float64(slots-1)*progress
	return (1 + (maxColdSlowdown-1)*(1-progress)) * max(1, float64(running)/capacity)
}

// collapses reports whether a server breaks down with the given number of running requests.
func (c *coldStart) collapses(now time.Time, running, slots int) bool {
	return c.step == 0 && running >= slots && c.progress(now) < collapseProgress
}
