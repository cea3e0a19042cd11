package gateway

import (
	"errors"
	"time"

	"heatherwall.example/gateway/headscan"
	"heatherwall.example/telemetry"
)

// maxRequestLogLines is the maximum number of log lines per second about requests, several times the usual traffic of
// an entry instance.
const maxRequestLogLines = 300

// String returns the name of the result kind in logs and metrics.
func (k resultKind) String() string {
	return [...]string{"answered", "failed", "not_run", "unreachable", "broken", "timeout", "canceled", "not_sent", "discarded"}[k]
}

// logAttempt logs the result of an attempt and the data on which the selection of its server was based, and records its
// latency.
func (p *requestPath) logAttempt(c *call, a *attempt) {
	p.countInvalidResponse(a.err)
	p.recordLatency("attempt", a.result.kind.String(), c.rule.Service.Name, a.result.latency)
	if !p.logLimiter.Allow(time.Now()) {
		return
	}
	status := 0
	if a.response != nil {
		status = a.response.StatusCode
	}
	p.log.Log(eventAttemptEnded, telemetry.F("request", c.requestID), telemetry.F("rule", c.rule.Name), telemetry.F("service", a.server.service),
		telemetry.F("server", a.server.id), telemetry.F("address", a.server.address), telemetry.F("failure_domain", a.server.domain),
		telemetry.F("cold", a.server.cold), telemetry.F("load", a.server.pickDetails.Load), telemetry.F("slowness", a.server.pickDetails.Slowness),
		telemetry.F("reading_age", a.server.pickDetails.ReadingAge), telemetry.F("result", a.result.kind.String()), telemetry.F("status", status),
		telemetry.F("latency", a.result.latency), telemetry.F("patience", c.callerTimeout), telemetry.F("left", time.Until(c.deadline)), telemetry.ErrorField(a.err))
}

// countInvalidResponse counts an attempt that ended with an invalid response.
func (p *requestPath) countInvalidResponse(err error) {
	var invalid *headscan.Error
	if errors.As(err, &invalid) {
		p.counters.Counter("invalid_responses", "problem", string(invalid.Problem)).Inc(1)
	}
}

// logRefusal logs a refusal with its reason and the state of the configuration.
func (p *requestPath) logRefusal(c *call, r *Refusal) {
	if !p.logLimiter.Allow(time.Now()) {
		return
	}
	rule := ""
	if c.rule != nil {
		rule = c.rule.Name
	}
	workspace := ""
	if c.caller != nil {
		workspace = c.caller.Tenant.Name
	}
	l := p.configuration.Current()
	p.log.Log(eventRequestRefused, telemetry.F("request", c.requestID), telemetry.F("rule", rule), telemetry.F("workspace", workspace), telemetry.F("reason", string(r.Reason)),
		telemetry.F("ran", string(r.Ran)), telemetry.F("detail", r.Detail), telemetry.F("retry_after", r.RetryAfter),
		telemetry.F("held", p.clock.now()-c.arrived), telemetry.F("revision", l.revision), telemetry.F("catalogue", l.catalogue.index),
		telemetry.F("lease_left", l.expires-p.clock.now()))
}

func (p *requestPath) recordLatency(family, result, service string, latency time.Duration) {
	p.counters.Histogram(family+"_ms", "service", service, "result", result).Update(latency.Milliseconds())
}
