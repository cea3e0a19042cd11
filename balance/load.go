package balance

import (
	"sync/atomic"
	"time"
)

// serverLoad holds the state of a server that changes with every request. It outlives snapshots and is dropped when the
// incarnation changes.
type serverLoad struct {
	tickets  tickets
	inFlight atomic.Int64
	// startSumMicros is the sum of the start times in µs of the requests in flight; with inFlight it yields their mean
	// age.
	startSumMicros atomic.Int64

	// readingAt is when the last answered load probe was sent; slowness and slownessAt are the last reported slowness and
	// when its probe was sent.
	readingAt  atomicTime
	slowness   atomicFloat
	slownessAt atomicTime
	// nextColdSendAt is the earliest time of the next request to the server while it is cold.
	nextColdSendAt atomicTime
	sendUntil      atomicTime

	// The fields from here to backoffUntil are read for every candidate of a pick and share a cache line.

	// final holds what cannot be taken back for this incarnation: finalLeaving, and finalRemoved while it is not listed.
	final atomic.Uint32
	// reportedState is the state in the newest response; it is valid until the server's next announcement.
	reportedState atomic.Uint32
	// pausedUntil is the time until which the server wants nothing from this gateway.
	pausedUntil      atomicTime
	unreachableUntil atomicTime
	evidenceAt       atomicTime
	ejectedUntil     atomicTime
	// reportedColdUntil is the time until which the server counts as cold because a reading reported a cold start.
	reportedColdUntil atomicTime
	// returnRampStart is when the last gradual return to the full share began; 0 for none.
	returnRampStart atomicTime
	// backoffUntil is the time until which a server that shed load without pausing receives nothing.
	backoffUntil atomicTime

	// seed spreads the ends of pauses.
	seed uint64
	// connectFailures counts consecutive failures to open a connection.
	connectFailures atomic.Int32
	// consecutiveBackoffs counts the backoffs since the last complete response.
	consecutiveBackoffs atomic.Int32

	latency  latency
	report   report
	cold     coldStart
	ejection ejectionState
}

type serviceLoad struct {
	inFlight atomic.Int64
	limit    atomic.Int64
	// firstAttempts counts first attempts; an increase shows that the service is in use.
	firstAttempts atomic.Uint64
	// requestRate is the smoothed number of first attempts per second; 0 while unknown.
	requestRate atomicFloat
	// slownessExcess is the mean of the reported slowness, less 1.
	slownessExcess atomicFloat
	retries        tokenBudget
	hedges         tokenBudget
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

// reserve increments the number of requests in flight unless that would exceed the limit; a limit of 0 or less means no
// limit.
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

// meanAge returns the mean age of the requests in flight. It returns 0 if the two counters, which are not read
// atomically together, contradict each other.
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
