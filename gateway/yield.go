package gateway

import (
	"math/rand/v2"
	"time"

	"heatherwall.example/telemetry"
)

const (
	// yieldPollInterval is the mean time between two picks for a request that yields. It is about the work time of a
	// request.
	yieldPollInterval = 250 * time.Millisecond
	// maxYieldWait limits the wait of a request that yields. A burst ends within this time; a lasting overload does not.
	maxYieldWait = time.Second
	// yieldWaitDivisor limits the wait to the remaining time divided by this number.
	yieldWaitDivisor = 3
)

// awaitFreeServer polls the selector until a server has a free slot for a request that yields. It returns the last
// refusal if none becomes free in time.
func (r *runner) awaitFreeServer(q *query, refusal *Refusal) (selection, *Refusal) {
	r.p.counters.UnlabeledCounter("requests_yielded").Inc(1)
	r.p.logYield(r.c, q, refusal)
	end := time.Now().Add(min(maxYieldWait, time.Until(r.c.deadline)/yieldWaitDivisor))
	q.late, q.polling = true, true
	for refusal.yield != nil && !r.p.serverPath().isDoubtful() {
		wait := time.Duration((0.5 + rand.Float64()) * float64(yieldPollInterval)) // jitter spreads requests that arrived together
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

// logYield logs that a request yields, with its expected latency and the load.
func (p *requestPath) logYield(c *call, q *query, r *Refusal) {
	if !p.logLimiter.Allow(time.Now()) {
		return
	}
	p.log.Log(eventRequestYielded, telemetry.F("request", c.requestID), telemetry.F("rule", c.rule.Name), telemetry.F("service", q.service),
		telemetry.F("expected", r.yield.Expected), telemetry.F("load", r.yield.Load), telemetry.F("target_left", q.latencyTarget-p.clock.now()),
		telemetry.F("returning", c.likelyRetry), telemetry.F("patience", c.callerTimeout))
}
