package balance

import (
	"sync/atomic"
	"time"
)

// Constants of cold starts and of the detection of a fallback, which is a warm server's return into cold start.
const (
	// responsesPerColdStep is the number of responses on time that raise the limit by one.
	responsesPerColdStep = 4
	// lateResponseFactor is the multiple of a cold server's fastest work time in the cold start, or of the typical work
	// time, whichever is longer, above which its response is late. The fastest alone is too strict, because work times of
	// equal requests differ by this much.
	lateResponseFactor = 4
	// anomalyFactor is the multiple of a warm server's slow estimate, or of the typical work time, whichever is longer,
	// above which its response is anomalous.
	anomalyFactor = 4
	// fallbackAnomalies and fallbackAnomalyTime are the number of consecutive anomalous responses, and the time they must
	// span, that indicate a fallback. Noise from neighbours changes faster, and a server with two slots gets too few
	// requests from one gateway for a higher number.
	fallbackAnomalies   = 5
	fallbackAnomalyTime = 100 * time.Millisecond
	// cancelGrace is the time, beyond the round trip, that a cancelled request may still occupy a cold server.
	cancelGrace = 5 * time.Millisecond
	// suspicionTime is how long a gateway that does not own the server stops sending after it detected a fallback.
	suspicionTime = 2 * time.Second
	// warmFactor is the work time, in typical work times, up to which a server that fell back counts as warm. A server in
	// cold start is about half as fast as usual.
	warmFactor = 1.3
	// warmResponses is the number of responses whose mean work time is compared with warmFactor; work times vary too much
	// for a smaller number.
	warmResponses = 32
	// maxFallback is the time after which a fallback ends even if the server is still slow. Otherwise a server that is
	// always slower than the others would stay limited forever.
	maxFallback = 5 * time.Second
	// maxUnusedFallback is the time without requests from the owner after which a fallback ends. An owner in another
	// failure domain prefers the servers there; without this limit, no gateway would ever send to the server again.
	maxUnusedFallback = 5 * time.Second
)

// coldStart limits the requests at a server in cold start, to which only its owner sends, and holds what is needed to
// detect a fallback.
type coldStart struct {
	// extra is the limit less 1.
	extra           atomic.Int64
	onTimeResponses atomic.Int64
	// fastestWork is the shortest work time since the limit was last reset, in ns; 0 for none.
	fastestWork atomicFloat
	// suspectedAt is when this gateway inferred a fallback from the server's behaviour; 0 for none.
	suspectedAt atomicTime
	// noticeSent is set once the engine has issued NoticeFallback for the fallback.
	noticeSent atomic.Bool

	// lastResponseAt is when this gateway last received a response from the server while it was cold.
	lastResponseAt atomicTime
	// fallbackLearnedAt is when this gateway learned of a fallback inferred from behaviour, through a change of the
	// server's state; 0 for none. Only the owner goroutine of the engine uses it.
	fallbackLearnedAt time.Duration

	// limitResetAt is when the limit was last reset to 1.
	limitResetAt atomicTime
	// workSum is the sum of workCount work times, which are recorded while the limit equals the server's slots and
	// discarded after each comparison in isUsualSpeed.
	workSum   atomicFloat
	workCount atomic.Int32

	// cancelledGoneAt is the time by which the newest cancelled request has certainly ended at the server.
	cancelledGoneAt atomicTime

	anomalies      atomic.Int32
	firstAnomalyAt atomicTime
}

func (c *coldStart) limit() int64 { return 1 + c.extra.Load() }

// resetLimit sets the limit to 1 and discards what was measured in the cold start.
func (c *coldStart) resetLimit(now time.Duration) {
	c.limitResetAt.store(now)
	c.resetWorkTimes()
	c.extra.Store(0)
	c.onTimeResponses.Store(0)
	c.fastestWork.store(0)
}

// isUnused reports whether the owner has sent the server no requests for maxUnusedFallback since a fallback was inferred
// from its behaviour.
func (c *coldStart) isUnused(now time.Duration) bool {
	return c.fallbackLearnedAt > 0 && now-max(c.fallbackLearnedAt, c.lastResponseAt.load()) > maxUnusedFallback
}

// recordResponse raises the limit by one after responsesPerColdStep responses on time, up to the server's slots. A
// late response or a failure halves the part of the limit above 1.
func (c *coldStart) recordResponse(now time.Duration, ok bool, work, typicalWork float64, slots int64) {
	c.lastResponseAt.raise(now)
	fastestWork := c.fastestWork.load()
	if ok && (fastestWork == 0 || work < fastestWork) {
		c.fastestWork.store(work)
		fastestWork = work
	}
	if ok && c.limit() >= slots {
		c.recordWorkTime(work)
	}
	if !ok || work > max(fastestWork, typicalWork)*lateResponseFactor {
		c.onTimeResponses.Store(0)
		c.extra.Store(c.extra.Load() / 2)
		return
	}
	limit := c.limit()
	if limit >= slots || c.onTimeResponses.Add(1) < responsesPerColdStep {
		return
	}
	c.onTimeResponses.Store(0)
	c.extra.CompareAndSwap(limit-1, limit)
}

// recordWorkTime adds a work time to the mean that decides whether a fallback has ended.
func (c *coldStart) recordWorkTime(work float64) {
	c.workSum.add(work)
	c.workCount.Add(1)
}

// resetWorkTimes discards the work times recorded so far.
func (c *coldStart) resetWorkTimes() {
	c.workCount.Store(0)
	c.workSum.store(0)
}

// isUsualSpeed reports whether the mean work time of at least warmResponses responses is about as short as usual. Each
// comparison discards the recorded work times.
func (c *coldStart) isUsualSpeed(typicalWork float64) bool {
	n := c.workCount.Load()
	if n < warmResponses {
		return false
	}
	mean := c.workSum.load() / float64(n)
	c.resetWorkTimes()
	return mean <= warmFactor*typicalWork
}

// recordAnomaly counts consecutive anomalous responses of a warm server and reports whether they indicate a fallback.
func (c *coldStart) recordAnomaly(now time.Duration, anomalous bool) bool {
	if !anomalous {
		c.anomalies.Store(0)
		return false
	}
	n := c.anomalies.Add(1)
	if n == 1 {
		c.firstAnomalyAt.store(now)
	}
	return n >= fallbackAnomalies && now-c.firstAnomalyAt.load() >= fallbackAnomalyTime
}

// markSuspected records a fallback inferred from behaviour.
func (c *coldStart) markSuspected(now time.Duration) {
	c.anomalies.Store(0)
	c.resetLimit(now)
	c.noticeSent.Store(false)
	c.suspectedAt.store(now)
}
