package balance

import (
	"math"
	"time"
)

// Limits of a server's requests, in times of its slots, for requests that no server is expected to answer in time.
const (
	// onTimeLoadPerSlot leaves room for a request whose expectation is a little too long, but for no queue.
	onTimeLoadPerSlot = 1.25
	// lateLoadPerSlot keeps slots free for requests that can still be answered in time.
	lateLoadPerSlot = 0.5
)

// Yield tells why a request yields: what it may expect of the best server, which is not in time.
type Yield struct {
	// Expected is the time to an answer.
	Expected time.Duration
	// Load is the estimated number of requests at the server.
	Load float64
}

// shouldYield decides whether a request makes way for others. It answers a service that gets more requests than its servers
// bear: where each request queues, all of them are late. A request that can't be answered in time takes a slot only where
// one is free, and one that is late already only at a server that has most of its slots free; the others are left to
// requests that can be answered in time.
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
