package balance

import (
	"sync/atomic"
	"time"
)

// Constants of cold start and of the detection of a fallback.
const (
	// coldStep is the number of answers on time that raise the limit by one.
	coldStep = 4
	// lateFactor makes an answer of a cold server late, in times of its fastest answer since the start or of the typical
	// work time, whichever is longer. The fastest alone is too strict: work times of equal requests differ as much.
	lateFactor = 4
	// oddFactor makes an answer of a warm server odd, in times of its own history.
	oddFactor = 4
	// oddCount and oddTime are how many answers in a row, over how long, must be odd for a fallback. Noise of neighbours
	// shifts faster, and at two slots a server gets too few requests of one gateway for more answers.
	oddCount = 5
	oddTime  = 100 * time.Millisecond
	// cancelSettle is how long a cancelled request may still occupy a cold server, beyond the round trip.
	cancelSettle = 5 * time.Millisecond
	// suspicionTime is how long a gateway that does not own the server stops sending after it noticed a fallback.
	suspicionTime = 2 * time.Second
	// warmFactor is the work time, in typical work times, up to which a server that fell back counts as warm. A server in
	// cold start is about half as fast as usual.
	warmFactor = 1.3
	// warmAnswers is the number of answers whose mean decides that; work times vary too much for fewer.
	warmAnswers = 32
	// longestFallback is the time after which a fallback ends even though the server is still slow; without it, a server
	// that is slower than the others would stay limited for ever.
	longestFallback = 5 * time.Second
	// unusedFallback is how long the owner may leave a server that fell back without requests. An owner in another
	// failure domain prefers its own servers; without this limit, nobody would ever send to such a server again.
	unusedFallback = 5 * time.Second
)

// coldStart limits the requests at a server in cold start; only its owner sends any.
type coldStart struct {
	// extra is the limit less 1.
	extra  atomic.Int64
	onTime atomic.Int64
	// fastest is the shortest work time since the start, in ns; 0 for none.
	fastest atomicFloat
	// fallback is when a fallback was noticed by behaviour; 0 for none.
	fallback atomicTime
	// told tells that the owner goroutine has passed the fallback on.
	told atomic.Bool

	// usedAt is when the owner last had an answer of the server while it was cold.
	usedAt atomicTime
	// noticedAt is when the owner learned of a fallback by behaviour; 0 for none. It belongs to the owner goroutine.
	noticedAt time.Duration

	// begun is when the limit last fell to 1.
	begun atomicTime
	// works is the sum of the work times of the answers counted by judged, since the limit reached the server's slots.
	works  atomicFloat
	judged atomic.Int32

	// settled is when the newest cancelled request has certainly ended at the server.
	settled atomicTime

	odd      atomic.Int32
	oddSince atomicTime
}

func (c *coldStart) limit() int64 { return 1 + c.extra.Load() }

// begin falls back to the limit at once.
func (c *coldStart) begin(now time.Duration) {
	c.begun.store(now)
	c.forgetSpeed()
	c.extra.Store(0)
	c.onTime.Store(0)
	c.fastest.store(0)
}

// isUnused reports whether the owner has left a server alone for long since its behaviour showed a fallback.
func (c *coldStart) isUnused(now time.Duration) bool {
	return c.noticedAt > 0 && now-max(c.noticedAt, c.usedAt.load()) > unusedFallback
}

// answered raises the limit after enough answers on time, and halves it after a late answer or a failure.
func (c *coldStart) answered(now time.Duration, ok bool, work, typical float64, most int64) {
	c.usedAt.raise(now)
	fastest := c.fastest.load()
	if ok && (fastest == 0 || work < fastest) {
		c.fastest.store(work)
		fastest = work
	}
	if ok && c.limit() >= most {
		c.judgeSpeed(work)
	}
	if !ok || work > max(fastest, typical)*lateFactor {
		c.onTime.Store(0)
		c.extra.Store(c.extra.Load() / 2)
		return
	}
	limit := c.limit()
	if limit >= most || c.onTime.Add(1) < coldStep {
		return
	}
	c.onTime.Store(0)
	c.extra.CompareAndSwap(limit-1, limit)
}

// judgeSpeed counts a work time towards the end of a fallback.
func (c *coldStart) judgeSpeed(work float64) {
	c.works.add(work)
	c.judged.Add(1)
}

// forgetSpeed starts a new judgement.
func (c *coldStart) forgetSpeed() {
	c.judged.Store(0)
	c.works.store(0)
}

// isFast reports whether the answers since the last judgement show the usual speed; it needs enough of them.
func (c *coldStart) isFast(typical float64) bool {
	n := c.judged.Load()
	if n < warmAnswers {
		return false
	}
	mean := c.works.load() / float64(n)
	c.forgetSpeed()
	return mean <= warmFactor*typical
}

// watch counts odd answers of a warm server and reports whether they amount to a fallback.
func (c *coldStart) watch(now time.Duration, odd bool) bool {
	if !odd {
		c.odd.Store(0)
		return false
	}
	n := c.odd.Add(1)
	if n == 1 {
		c.oddSince.store(now)
	}
	return n >= oddCount && now-c.oddSince.load() >= oddTime
}

// suspect notes a fallback noticed by behaviour.
func (c *coldStart) suspect(now time.Duration) {
	c.odd.Store(0)
	c.begin(now)
	c.told.Store(false)
	c.fallback.store(now)
}
