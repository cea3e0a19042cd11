package balance

import (
	"math"
	"time"
)

// Limits of the requests per slot of a server, for requests that no server is expected to answer in time.
const (
	// onTimeLoadPerSlot applies before the target has passed. It tolerates an expected latency that is estimated slightly
	// too long, but permits no queue.
	onTimeLoadPerSlot = 1.25
	// lateLoadPerSlot applies to requests that are already late. It keeps slots free for requests that can still be
	// answered in time.
	lateLoadPerSlot = 0.5
)

// Yield explains why a request yields: the expected latency and load of the best server, which would not answer in time.
type Yield struct {
	// Expected is the expected latency.
	Expected time.Duration
	// Load is the estimated number of requests at the server.
	Load float64
}

// shouldYield reports whether a request must leave the free slots to others. It protects an overloaded service, where all
// requests would be late if each of them queued. A request that cannot be answered in time is sent only if a slot is
// free, and a request that is already late only to a server with about half of its slots free.
func (s *Snapshot) shouldYield(v *serviceView, q *Query, best *choice) (Yield, bool) {
	if s.config.Switches.NoYield || q.Target == 0 && !q.Late || s.isCold(best.candidate, q.Now) {
		return Yield{}, false
	}
	late := q.Late || q.Target < 0
	if !late && best.expected <= float64(q.Target) {
		return Yield{}, false
	}
	limit := onTimeLoadPerSlot
	if late {
		limit = lateLoadPerSlot
	}
	load := s.estimateInFlight(v, best.candidate, q.Now, best.candidate.load.inFlight.Load())
	if math.Round(load)+1 <= max(limit*float64(best.candidate.slots), 1) {
		return Yield{}, false
	}
	return Yield{Expected: time.Duration(best.expected), Load: load}, true
}
