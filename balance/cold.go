package balance

import (
	"sync/atomic"
	"time"
)

// Constants of cold start and of the detection of a fallback.
const (
	// answersPerColdStep is the number of answers on time that raise the limit by one.
	answersPerColdStep = 4
	// lateAnswerFactor makes an answer of a cold server late, in times of its fastest answer since the start or of the typical
	// work time, whichever is longer. The fastest alone is too strict: work times of equal requests differ as much.
	lateAnswerFactor = 4
	// anomalyFactor makes an answer of a warm server odd, in times of its own history.
	anomalyFactor = 4
	// fallbackAnomalies and oddTime are how many answers in a row, over how long, must be odd for a fallback. Noise of neighbours
	// shifts faster, and at two slots a server gets too few requests of one gateway for more answers.
	fallbackAnomalies   = 5
	fallbackAnomalyTime = 100 * time.Millisecond
	// cancelGrace is how long a cancelled request may still occupy a cold server, beyond the round trip.
	cancelGrace = 5 * time.Millisecond
	// suspicionTime is how long a gateway that does not own the server stops sending after it noticed a fallback.
	suspicionTime = 2 * time.Second
	// warmFactor is the work time, in typical work times, up to which a server that fell back counts as warm. A server in
	// cold start is about half as fast as usual.
	warmFactor = 1.3
	// warmAnswers is the number of answers whose mean decides that; work times vary too much for fewer.
	warmAnswers = 32
	// maxFallback is the time after which a fallback ends even though the server is still slow; without it, a server
	// that is slower than the others would stay limited for ever.
	maxFallback = 5 * time.Second
	// maxUnusedFallback is how long the owner may leave a server that fell back without requests. An owner in another
	// failure domain prefers its own servers; without this limit, nobody would ever send to such a server again.
	maxUnusedFallback = 5 * time.Second
)

// coldStart limits the requests at a server in cold start; only its owner sends any.
type coldStart struct {
	// extra is the limit less 1.
	extra         atomic.Int64
	onTimeAnswers atomic.Int64
	// fastestWork is the shortest work time since the start, in ns; 0 for none.
	fastestWork atomicFloat
	// suspectedAt is when a fallback was noticed by behaviour; 0 for none.
	suspectedAt atomicTime
	// noticeSent tells that the owner goroutine has passed the fallback on.
	noticeSent atomic.Bool

	// lastAnswerAt is when the owner last had an answer of the server while it was cold.
	lastAnswerAt atomicTime
	// fallbackLearnedAt is when the owner learned of a fallback by behaviour; 0 for none. It belongs to the owner goroutine.
	fallbackLearnedAt time.Duration

	// limitResetAt is when the limit last fell to 1.
	limitResetAt atomicTime
	// workSum is the sum of the work times of the answers counted by judged, since the limit reached the server's slots.
	workSum   atomicFloat
	workCount atomic.Int32

	// cancelledGoneAt is when the newest cancelled request has certainly ended at the server.
	cancelledGoneAt atomicTime

	anomalies      atomic.Int32
	firstAnomalyAt atomicTime
}

func (c *coldStart) limit() int64 { return 1 + c.extra.Load() }

// resetLimit falls back to the limit at once.
func (c *coldStart) resetLimit(now time.Duration) {
	c.limitResetAt.store(now)
	c.resetWorkTimes()
	c.extra.Store(0)
	c.onTimeAnswers.Store(0)
	c.fastestWork.store(0)
}

// isUnused reports whether the owner has left a server alone for long since its behaviour showed a fallback.
func (c *coldStart) isUnused(now time.Duration) bool {
	return c.fallbackLearnedAt > 0 && now-max(c.fallbackLearnedAt, c.lastAnswerAt.load()) > maxUnusedFallback
}

// recordAnswer raises the limit after enough answers on time, and halves it after a late answer or a failure.
func (c *coldStart) recordAnswer(now time.Duration, ok bool, work, typical float64, slots int64) {
	c.lastAnswerAt.raise(now)
	fastest := c.fastestWork.load()
	if ok && (fastest == 0 || work < fastest) {
		c.fastestWork.store(work)
		fastest = work
	}
	if ok && c.limit() >= slots {
		c.recordWorkTime(work)
	}
	if !ok || work > max(fastest, typical)*lateAnswerFactor {
		c.onTimeAnswers.Store(0)
		c.extra.Store(c.extra.Load() / 2)
		return
	}
	limit := c.limit()
	if limit >= slots || c.onTimeAnswers.Add(1) < answersPerColdStep {
		return
	}
	c.onTimeAnswers.Store(0)
	c.extra.CompareAndSwap(limit-1, limit)
}

// recordWorkTime counts a work time towards the end of a fallback.
func (c *coldStart) recordWorkTime(work float64) {
	c.workSum.add(work)
	c.workCount.Add(1)
}

// resetWorkTimes starts a new judgement.
func (c *coldStart) resetWorkTimes() {
	c.workCount.Store(0)
	c.workSum.store(0)
}

// isUsualSpeed reports whether the answers since the last judgement show the usual speed; it needs enough of them.
func (c *coldStart) isUsualSpeed(typical float64) bool {
	n := c.workCount.Load()
	if n < warmAnswers {
		return false
	}
	mean := c.workSum.load() / float64(n)
	c.resetWorkTimes()
	return mean <= warmFactor*typical
}

// recordAnomaly counts odd answers of a warm server and reports whether they amount to a fallback.
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

// markSuspected notes a fallback noticed by behaviour.
func (c *coldStart) markSuspected(now time.Duration) {
	c.anomalies.Store(0)
	c.resetLimit(now)
	c.noticeSent.Store(false)
	c.suspectedAt.store(now)
}
