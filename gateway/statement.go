package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/telemetry"
)

// statementTarget is a server of the balance engine to which something was sent. What the server says of itself in its
// response binds this gateway.
type statementTarget interface {
	RecordStatement(now time.Duration, st balance.Statement) balance.StatementEffect
	Standing(now time.Duration) balance.Standing
}

// Causes for which a statement is ignored, in logs and counters.
const (
	ignoredOtherServer = "other_server"
	ignoredMalformed   = "malformed"
)

// statementReader applies what servers say of themselves in their responses.
type statementReader struct {
	dialect  *Dialect
	clock    clock
	log      *telemetry.Logger
	counters *telemetry.Metrics
	limiter  *telemetry.LineLimiter
}

func (p *requestPath) statementReader() *statementReader {
	return &statementReader{dialect: p.dialect, clock: p.clock, log: p.log, counters: p.counters, limiter: p.logLimiter}
}

// read returns the report in the header of a response and applies its statements to the server that was asked, unless the
// response names another server. It must be called as soon as the header is there.
func (s *statementReader) read(t statementTarget, server backendServer, r *http.Response) ServerReport {
	report := s.dialect.ParseReport(r.Header)
	if !report.isOf(server) {
		if report.Leaving || report.RetryAfter > 0 {
			s.ignore(ignoredOtherServer, "", server)
		}
		report.Leaving, report.RetryAfter = false, 0
		return report
	}
	unavailable := r.StatusCode == http.StatusServiceUnavailable
	if report.Malformed != "" && (unavailable || report.Malformed != headerRetryAfter) {
		s.ignore(ignoredMalformed, report.Malformed, server)
	}
	st := balance.Statement{Leaving: report.Leaving}
	if unavailable {
		st.Pause = report.RetryAfter
	}
	if t != nil && st != (balance.Statement{}) {
		s.logEffect(t.RecordStatement(s.clock.now(), st), server)
	}
	return report
}

// isOf reports whether a report names the server that was asked, or none.
func (r *ServerReport) isOf(server backendServer) bool {
	return server.id == "" || r.Server == "" || r.Server == server.id
}

func (s *statementReader) ignore(cause, header string, server backendServer) {
	s.counters.Counter("server_statements_ignored", "cause", cause).Inc(1)
	if s.limiter.Allow(time.Now()) {
		s.log.Log(eventStatementIgnored, telemetry.F("cause", cause), telemetry.F("header", header), telemetry.F("service", server.service),
			telemetry.F("server", server.id), telemetry.F("address", server.address))
	}
}

// logEffect counts and logs what a statement has changed. A server leaves only once, so its line needs no limit.
func (s *statementReader) logEffect(e balance.StatementEffect, server backendServer) {
	if e.Left {
		s.counters.Counter("servers_leaving", "service", server.service).Inc(1)
		s.log.Log(eventServerLeaving, telemetry.F("service", server.service), telemetry.F("server", server.id), telemetry.F("address", server.address))
	}
	if !e.Paused {
		return
	}
	s.counters.Counter("server_pauses", "service", server.service).Inc(1)
	if s.limiter.Allow(time.Now()) {
		s.log.Log(eventServerPaused, telemetry.F("service", server.service), telemetry.F("server", server.id), telemetry.F("address", server.address),
			telemetry.F("pause", e.PauseEnd-s.clock.now()))
	}
}

// checkStanding returns an error if nothing may be sent to a server any more.
func checkStanding(t statementTarget, now time.Duration) error {
	switch t.Standing(now) {
	case balance.StandingPaused:
		return &SendForbiddenError{Reason: forbiddenServerPaused}
	case balance.StandingLeaving:
		return &SendForbiddenError{Reason: forbiddenServerLeaving}
	case balance.StandingGone:
		return &SendForbiddenError{Reason: forbiddenServerGone}
	}
	return nil
}

// targetOf returns the server of a selection in the balance engine; nil if there is none.
func targetOf(s selection) statementTarget {
	t, _ := s.(statementTarget)
	return t
}

// probed returns a server to which a probe is sent.
func probed(t balance.ProbeTarget) backendServer {
	return backendServer{service: t.Service, address: t.Address, id: t.ID, incarnation: t.Incarnation}
}

// relayedName names a run of a server to another gateway.
func (s backendServer) relayedName() string {
	return s.address + " " + strconv.FormatUint(s.incarnation, 10) + " " + s.id
}

// recordRelayedLeaving records that a server leaves which answered a request through another gateway. The answer is passed on
// here too, so it binds this gateway as well. An unknown server is ignored.
func (p *requestPath) recordRelayedLeaving(name string) {
	address, _, _ := strings.Cut(name, " ")
	path := p.serverPath()
	if name == "" || path.target == nil {
		return
	}
	if t, known := path.target(address); known && probed(t).relayedName() == name {
		p.statementReader().logEffect(t.RecordStatement(p.clock.now(), balance.Statement{Leaving: true}), probed(t))
	}
}
