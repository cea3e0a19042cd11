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

	// readAt is when the last probe that was answered was sent; slowness and slowAt are what an answer told.
	readAt   atomicTime
	slowness atomicFloat
	slowAt   atomicTime
	// coldHeard is until when the server counts as cold by its own word alone.
	coldHeard atomicTime
	// coldTurn is when the next request may be sent to the server while it is cold.
	coldTurn         atomicTime
	evidence         atomicTime
	sendUntil        atomicTime
	pausedUntil      atomicTime
	unreachableUntil atomicTime
	ejectedUntil     atomicTime
	// returnStart is when the server began to return to its full share; 0 for never.
	returnStart atomicTime
	// unreachable counts failed connections in a row.
	unreachable atomic.Int32
	// pauses counts the pauses since the last answer.
	pauses atomic.Int32
	// reported is the state of the newest answer, valid until the next announcement.
	reported atomic.Uint32

	latency latency
	report  report
	cold    coldStart
	strikes strikes
}

type serviceLoad struct {
	inFlight atomic.Int64
	limit    atomic.Int64
	// first counts first attempts; it tells whether the service is in use.
	first   atomic.Uint64
	retries tokens
	hedges  tokens
	// typical is the median work time of the service's servers in ns; 0 while unknown.
	typical atomicFloat
	// typicalOthers is the mean number of requests that other gateways have in flight at a server.
	typicalOthers atomicFloat
	latencies     histogram
	hedgeAfter    atomicTime
}

type memberLoad struct {
	inFlight atomic.Int64
	limit    atomic.Int64
}

// reserve adds a request in flight if fewer than limit are; a limit of 0 or less means none.
func reserve(n *atomic.Int64, limit int64) bool {
	for {
		old := n.Load()
		if limit > 0 && old >= limit {
			return false
		}
		if n.CompareAndSwap(old, old+1) {
			return true
		}
	}
}

func (l *serverLoad) opened(now time.Duration) { l.startSum.Add(now.Microseconds()) }

func (l *serverLoad) closed(start time.Duration) {
	l.startSum.Add(-start.Microseconds())
	l.inFlight.Add(-1)
}

// meanAge is the mean age of the requests in flight. Both counters are read without a lock, so the result is clamped.
func (l *serverLoad) meanAge(now time.Duration, inFlight int64) time.Duration {
	if inFlight <= 0 {
		return 0
	}
	start := time.Duration(l.startSum.Load()/inFlight) * time.Microsecond
	if start <= 0 || start > now {
		return 0
	}
	return now - start
}
