package balance

import (
	"sync/atomic"
	"time"
)

// serverLoad holds what changes with every request; it outlives snapshots and is dropped with the incarnation.
type serverLoad struct {
	tickets  tickets
	inFlight atomic.Int64
	// startSumMicros is the sum of the start times in µs of the requests in flight; with inFlight it yields their mean age.
	startSumMicros atomic.Int64

	// readingAt is when the last probe that was answered was sent; slowness and slowAt are what an answer told.
	readingAt  atomicTime
	slowness   atomicFloat
	slownessAt atomicTime
	// reportedColdUntil is until when the server counts as cold by its own word alone.
	reportedColdUntil atomicTime
	// nextColdSendAt is when the next request may be sent to the server while it is cold.
	nextColdSendAt   atomicTime
	evidenceAt       atomicTime
	sendUntil        atomicTime
	pausedUntil      atomicTime
	unreachableUntil atomicTime
	ejectedUntil     atomicTime
	// returnRampStart is when the server began to return to its full share; 0 for never.
	returnRampStart atomicTime
	// connectFailures counts failed connections in a row.
	connectFailures atomic.Int32
	// consecutivePauses counts the pauses since the last answer.
	consecutivePauses atomic.Int32
	// reportedState is the state of the newest answer, valid until the next announcement.
	reportedState atomic.Uint32

	latency  latency
	report   report
	cold     coldStart
	ejection ejectionState
}

type serviceLoad struct {
	inFlight atomic.Int64
	limit    atomic.Int64
	// firstAttempts counts first attempts; it tells whether the service is in use.
	firstAttempts atomic.Uint64
	retries       tokenBudget
	hedges        tokenBudget
	// typicalWork is the median work time of the service's servers in ns; 0 while unknown.
	typicalWork atomicFloat
	// meanOthers is the mean number of requests that other gateways have in flight at a server.
	meanOthers atomicFloat
	latencies  histogram
	hedgeAfter atomicTime
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

func (l *serverLoad) requestStarted(now time.Duration) { l.startSumMicros.Add(now.Microseconds()) }

func (l *serverLoad) requestEnded(start time.Duration) {
	l.startSumMicros.Add(-start.Microseconds())
	l.inFlight.Add(-1)
}

// meanAge is the mean age of the requests in flight. Both counters are read without a lock, so the result is clamped.
func (l *serverLoad) meanAge(now time.Duration, inFlight int64) time.Duration {
	if inFlight <= 0 {
		return 0
	}
	start := time.Duration(l.startSumMicros.Load()/inFlight) * time.Microsecond
	if start <= 0 || start > now {
		return 0
	}
	return now - start
}
