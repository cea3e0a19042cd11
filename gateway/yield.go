package gateway

import (
	"math/rand/v2"
	"time"

	"heatherwall.example/telemetry"
)

const (
	// yieldPollInterval is the mean time between two looks of a request that yields; servers work about that long.
	yieldPollInterval = 250 * time.Millisecond
	// maxYieldWait bounds the wait of a request that yields; a burst ends within it, and a lasting overload does not.
	maxYieldWait = time.Second
	// yieldWaitDivisor is the part of the remaining time, as a divisor, that the wait may take.
	yieldWaitDivisor = 3
)

// awaitFreeServer lets a request that yields wait until a server has room for it. It returns the last refusal if none has.
func (r *runner) awaitFreeServer(q *query, refusal *Refusal) (selection, *Refusal) {
	r.p.counters.UnlabeledCounter("requests_yielded").Inc(1)
	r.p.logYield(r.c, q, refusal)
	end := time.Now().Add(min(maxYieldWait, time.Until(r.c.deadline)/yieldWaitDivisor))
	q.late, q.polling = true, true
	for refusal.yield != nil {
		wait := time.Duration((0.5 + rand.Float64()) * float64(yieldPollInterval)) // requests that came together look apart
		if time.Now().Add(wait).After(end) || !sleep(r.c.ctx, wait) {
			return nil, refusal
		}
		var s selection
		if s, refusal = r.p.selector.Pick(r.c.ctx, q); refusal == nil {
			return s, nil
		}
	}
	return nil, refusal
}

// logYield writes what a request that yields may expect.
func (p *requestPath) logYield(c *call, q *query, r *Refusal) {
	if !p.logLimiter.Allow(time.Now()) {
		return
	}
	p.log.Log(eventRequestYielded, telemetry.F("request", c.requestID), telemetry.F("rule", c.rule.Name), telemetry.F("service", q.service),
		telemetry.F("expected", r.yield.Expected), telemetry.F("load", r.yield.Load), telemetry.F("target_left", q.latencyTarget-p.clock.now()),
		telemetry.F("returning", c.likelyRetry), telemetry.F("patience", c.callerTimeout))
}
