package balance

import (
	"sync/atomic"
	"time"
)

// serverLoad holds what changes with every request; it outlives snapshots and is dropped with the incarnation.
type serverLoad struct {
	tickets  tickets
	inFlight atomic.Int64
	// startSum is the sum of the start times in µs of the requests in flight; with inFlight it yields their mean age.
	startSum atomic.Int64
	// Monotonic times in ns.
	evidence    atomic.Int64
	sendUntil   atomic.Int64
	pausedUntil atomic.Int64
	// reported is the state of the newest answer, valid until the next announcement.
	reported atomic.Uint32
}

type serviceLoad struct {
	inFlight atomic.Int64
	limit    atomic.Int64
}

type memberLoad struct {
	inFlight atomic.Int64
	limit    atomic.Int64
}

// raise moves a time forward and never back.
func raise(to *atomic.Int64, t time.Duration) {
	for {
		old := to.Load()
		if int64(t) <= old || to.CompareAndSwap(old, int64(t)) {
			return
		}
	}
}
