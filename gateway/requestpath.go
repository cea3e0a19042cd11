package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"heatherwall.example/gateway/body"
	"heatherwall.example/gateway/pipeline"
	"heatherwall.example/gateway/tokens"
	"heatherwall.example/telemetry"
)

// Limits of the caller listener.
const (
	maxHeaderBytes    = 64 << 10
	readHeaderTimeout = 5 * time.Second
	callerIdleTimeout = 75 * time.Second
	// refusalWriteTimeout limits the writing of a refusal before the deadline of the request is known.
	refusalWriteTimeout = 10 * time.Second
	// responseWriteGrace is the time after the deadline in which the rest of a response may still be written.
	responseWriteGrace = time.Second
)

// requestPath handles the requests of callers, see section 5.7 of docs/design.md.
type requestPath struct {
	region        string
	dialect       *Dialect
	steps         []step
	maxRequests   int64
	clock         clock
	configuration configuration
	// routeVerifier decides whether the route table may be served; nil without a catalogue.
	routeVerifier *routeVerifier
	selector      selector
	// tokens takes the tokens of workspaces with a quota; nil without a catalogue.
	tokens       *tokens.Client
	claims       claimer
	claimHolders *claimHolderIDs
	crashMarks   *crashMarkTable
	// publishCrashMarks sends new crash marks to the other gateways. It may block for a short time.
	publishCrashMarks func()
	transport         http.RoundTripper
	// relay passes requests on to other gateways; nil without a relay listener.
	relay    *relayClient
	log      *telemetry.Logger
	counters *telemetry.Metrics
	// logLimiter limits the rate of log lines about requests.
	logLimiter *telemetry.LineLimiter

	// joining is set until this gateway has introduced itself to the others; requests are refused meanwhile.
	joining atomic.Bool
	// stopping makes /readyz fail; requests are still served, with Connection: close.
	stopping atomic.Bool
	// draining is set while new requests are refused.
	draining atomic.Bool
	// drainEnd is when connections that are still open are closed; nil before the stop.
	drainEnd         atomic.Pointer[time.Time]
	inFlight         atomic.Int64
	inFlightByDomain domainCounts
	load             loadMeter
	callerRetries    callerRetryDetector
	bodies           *body.Budget
	// background tracks work that outlives its handler: abandoned hedged attempts and the completion of claims.
	background sync.WaitGroup
}

// ServeHTTP handles one request of a caller.
func (p *requestPath) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer p.inFlight.Add(-1)
	inFlight := p.inFlight.Add(1)
	p.counters.UnlabeledCounter("requests").Inc(1)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if p.stopping.Load() && pipeline.MayClose(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	c := &call{w: w, r: r, ctx: r.Context(), arrived: p.clock.now(), requestID: p.requestID(r)}
	defer c.release()
	if inFlight > p.maxRequests {
		p.sendRefusal(c, refuse(ReasonOverloaded, "too many requests in flight at this gateway").withRetryAfter(time.Second))
		return
	}
	p.serve(c)
}

// release returns the memory of the request body to the budget. An abandoned attempt may still read the body for a
// short time; the budget has a reserve for that.
func (c *call) release() {
	c.body.Release()
}

func (p *requestPath) serve(c *call) { p.serveSteps(c, p.steps) }

func (p *requestPath) serveSteps(c *call, steps []step) {
	for _, s := range steps {
		if refusal := s(p, c); refusal != nil {
			p.sendRefusal(c, refusal)
			return
		}
	}
	if c.claim != nil && c.claim.keptAnswer != nil {
		p.counters.UnlabeledCounter("kept_answers").Inc(1)
		writeKeptAnswer(c.w, c.claim.keptAnswer)
		return
	}
	p.runAndRespond(c)
}

// runAndRespond sends the request to backend servers, responds to the caller, and completes the claim in every case.
func (p *requestPath) runAndRespond(c *call) {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.ctx = ctx
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(responseWriteGrace))
	r := &runner{p: p, c: c}
	a, refusal := r.run()
	if refusal != nil {
		if refusal.Reason == ReasonBackendFailed {
			p.publishCrashMarks()
		}
		p.completeClaim(c, outcomeAfterRefusal(r.mayHaveRun), nil)
		p.sendRefusal(c, refusal)
		return
	}
	p.respond(c, a)
}

// respond streams the response of an attempt to the caller, completes the claim, and reports the result of the attempt.
func (p *requestPath) respond(c *call, a *attempt) {
	s := p.stream(c, a)
	if s.complete {
		p.crashMarks.Clear(p.clock.now(), c.fingerprint)
		p.completeClaim(c, outcomeRan, keptAnswer(c, a, s))
		a.done()
		return
	}
	if a.result.kind = interruptionResult(c); a.result.kind == resultBroken {
		p.recordCrash(c, a)
		p.publishCrashMarks()
	}
	p.completeClaim(c, outcomeUnknown, nil)
	a.done()
	p.abortResponse(c, a)
}

// interruptionResult returns the result of an attempt whose response was not read completely.
func interruptionResult(c *call) resultKind {
	switch {
	case c.r.Context().Err() != nil:
		return resultCanceled
	case time.Until(c.deadline) < deadlineSlack:
		return resultTimeout
	}
	return resultBroken
}

// sendRefusal counts, logs and writes a refusal. It aborts the handler if the caller has closed the connection.
func (p *requestPath) sendRefusal(c *call, refusal *Refusal) {
	if c.r.Context().Err() != nil {
		p.counters.UnlabeledCounter("callers_gone").Inc(1)
		panic(http.ErrAbortHandler)
	}
	p.counters.Counter("refusals", "reason", string(refusal.Reason)).Inc(1)
	p.logRefusal(c, refusal)
	if c.relayed != nil {
		writeRelayRefusal(c.w.Header(), refusal, c.arrivals)
	}
	refusal.write(c.w, p.dialect)
}

// requestID returns the request ID for backend servers: the caller's identifier of the call tree, if there is one,
// followed by a random suffix. Because of the suffix, an echoed ID proves that a response belongs to its request. If
// the dialect sets PassRequestID, callers give each request its own identifier, which is passed on unchanged.
func (p *requestPath) requestID(r *http.Request) string {
	if p.dialect.PassRequestID {
		return r.Header.Get(p.dialect.RequestID)
	}
	suffix := uuid.NewString()
	callTree, _, _ := strings.Cut(r.Header.Get(p.dialect.RequestID), "/")
	if callTree == "" || len(callTree) > maxNameBytes {
		return suffix
	}
	return callTree + "/" + suffix
}

// domainCounts counts in-flight requests by failure domain.
type domainCounts struct {
	mu     sync.Mutex
	counts map[string]int
}

func (d *domainCounts) add(domain string, n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = map[string]int{}
	}
	d.counts[domain] += n
}

func (d *domainCounts) get(domain string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts[domain]
}
