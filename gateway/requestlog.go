package gateway

import (
	"time"

	"heatherwall.example/telemetry"
)

// requestLines bounds the lines per second that grow with the traffic; it holds several times the usual traffic of an
// entry instance.
const requestLines = 300

// String returns the name of a result as logs and counters use it.
func (k resultKind) String() string {
	return [...]string{"answered", "failed", "not_run", "unreachable", "broken", "timeout", "canceled", "not_sent"}[k]
}

// logAttempt writes what became of an attempt, and why its server was chosen.
func (p *requestPath) logAttempt(c *call, a *attempt) {
	p.observe("attempt", a.result.kind.String(), c.rule.Service.Name, a.result.latency)
	if !p.lines.Allow(time.Now()) {
		return
	}
	status := 0
	if a.answer != nil {
		status = a.answer.StatusCode
	}
	p.log.Log(eventAttemptEnded, telemetry.F("request", c.requestID), telemetry.F("rule", c.rule.Name), telemetry.F("service", a.target.service),
		telemetry.F("server", a.target.id), telemetry.F("address", a.target.address), telemetry.F("failure_domain", a.target.domain),
		telemetry.F("cold", a.target.cold), telemetry.F("load", a.target.evidence.Load), telemetry.F("slowness", a.target.evidence.Slowness),
		telemetry.F("reading_age", a.target.evidence.ReadingAge), telemetry.F("result", a.result.kind.String()), telemetry.F("status", status),
		telemetry.F("latency", a.result.latency), telemetry.F("patience", c.patience), telemetry.F("left", time.Until(c.deadline)), telemetry.ErrorField(a.err))
}

// logRefusal writes why a request is refused.
func (p *requestPath) logRefusal(c *call, r *Refusal) {
	if !p.lines.Allow(time.Now()) {
		return
	}
	rule := ""
	if c.rule != nil {
		rule = c.rule.Name
	}
	l := p.configuration.Current()
	p.log.Log(eventRequestRefused, telemetry.F("request", c.requestID), telemetry.F("rule", rule), telemetry.F("reason", string(r.Reason)),
		telemetry.F("ran", string(r.Ran)), telemetry.F("detail", r.Detail), telemetry.F("retry_after", r.RetryAfter),
		telemetry.F("held", p.clock.now()-c.arrived), telemetry.F("revision", l.revision), telemetry.F("catalogue", l.catalogue.index),
		telemetry.F("lease_left", l.expires-p.clock.now()))
}

func (p *requestPath) observe(family, result, service string, latency time.Duration) {
	p.counters.Histogram(family+"_ms", "service", service, "result", result).Update(latency.Milliseconds())
}
