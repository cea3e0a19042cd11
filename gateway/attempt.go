package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"heatherwall.example/telemetry"
)

// attempt is one try to have a backend server run a request.
type attempt struct {
	selection selection
	server    backendServer
	ctx       context.Context
	cancel    context.CancelFunc
	gate      *sendGate
	release   func()
	// response is set when the server answered the request.
	response *http.Response
	err      error
	result   result
}

// done releases the slot and ends the attempt. It is called exactly once.
func (a *attempt) done() {
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	a.release()
	a.selection.Done(a.result)
}

// mayHaveRun is false only if no byte was written or the server said that it did not run the request.
func (a *attempt) mayHaveRun() bool {
	return a.gate.wrote.Load() && a.result.kind != resultNotRun
}

// startAttempt prepares an attempt; send runs it.
func (p *requestPath) startAttempt(c *call, s selection) *attempt {
	a := &attempt{selection: s, server: s.Server()}
	selected := p.clock.now()
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	p.inFlightByDomain.add(a.server.domain, 1)
	load := newLoadKey(c.rule.Service.Name, c.placement.RunIn)
	p.load.add(load, 1, selected)
	a.release = func() {
		p.inFlightByDomain.add(a.server.domain, -1)
		p.load.add(load, -1, p.clock.now())
	}
	a.gate = &sendGate{check: func() error { return p.checkSend(a.server, selected) }}
	return a
}

// checkSend repeats the checks that may have changed since the selection: the lease, the failure domains out, and the
// age of the evidence on which the server was selected.
func (p *requestPath) checkSend(server backendServer, selected time.Duration) error {
	l, ok := p.configuration.Valid()
	if !ok {
		return &SendForbiddenError{Reason: forbiddenLeaseExpired}
	}
	if l.isDomainOut(server.domain) {
		return &SendForbiddenError{Reason: forbiddenDomainOut}
	}
	if p.clock.now()-selected >= maxSelectionAge {
		return &SendForbiddenError{Reason: forbiddenSelectionOutdated}
	}
	return nil
}

// Reasons for stopping an attempt before its first byte.
const (
	forbiddenLeaseExpired      = "the configuration lease ran out"
	forbiddenDomainOut         = "the failure domain was taken out"
	forbiddenSelectionOutdated = "the selection of the server is out of date"
	forbiddenAttemptEnded      = "the attempt has ended"
)

// maxSelectionAge is the time from the selection of a server to the first byte. Evidence is at most 2.5 s old at the
// selection, so a server that leaves receives no new work after 3 s, even if the connection opens slowly.
const maxSelectionAge = 500 * time.Millisecond

// deadlineSlack is how long before the deadline a broken connection counts as a missed deadline. Backend servers get the
// deadline in whole milliseconds, so theirs may pass first, and one that then closes the connection has not crashed.
const deadlineSlack = 5 * time.Millisecond

// send runs the attempt up to the header of the answer.
func (p *requestPath) send(c *call, a *attempt, retriesLeft int) {
	started := time.Now()
	response, err := p.transport.RoundTrip(p.newBackendRequest(c, a, retriesLeft))
	if err == nil {
		err = p.checkResponse(c, a, response)
	}
	if err != nil {
		a.recordFailure(c, err)
	} else {
		a.response = response
		a.result.ServerReport = p.dialect.ParseReport(response.Header)
		a.result.kind = p.classifyResponse(response)
	}
	a.result.latency = time.Since(started)
	if a.result.kind == resultBroken && time.Until(c.deadline) < deadlineSlack {
		a.result.kind = resultTimeout
	}
	if a.result.kind == resultBroken {
		p.recordCrash(c)
	}
	p.logAttempt(c, a)
}

// recordFailure records a round trip without an answer. After the stop no byte can be written any more, so "nothing was written"
// stays true.
func (a *attempt) recordFailure(c *call, err error) {
	wrote, denied := a.gate.stop()
	if denied != nil {
		err = denied
	}
	a.err = err
	a.result.kind = classifyError(c.ctx, a.ctx, err, wrote)
}

// recordCrash counts a crash mark for a request that was in flight on a connection that broke.
func (p *requestPath) recordCrash(c *call) {
	if p.poison.RecordCrash(p.clock.now(), c.fingerprint, c.placement.Home.Names) {
		p.log.Log(eventPoisonMarked, telemetry.F("service", c.rule.Service.Name))
	}
}

// MismatchedResponseError reports an answer that does not belong to the request: it came before the request was written, or
// carries another request ID, or switches protocols.
type MismatchedResponseError struct {
	Address string
}

func (e *MismatchedResponseError) Error() string {
	return "backend server " + e.Address + " sent an answer that does not belong to the request"
}

// UnsignedResponseError reports a successful answer without the signature that every answer of a backend server bears.
type UnsignedResponseError struct {
	Address string
}

func (e *UnsignedResponseError) Error() string {
	return "backend server " + e.Address + " sent a success without its signature"
}

// checkResponse closes and refuses an answer that is not that of the attempt, or that no backend server vouches for.
func (p *requestPath) checkResponse(c *call, a *attempt, r *http.Response) error {
	var err error
	switch {
	case !p.belongsToAttempt(r, c.requestID, a.gate.wrote.Load()):
		err = &MismatchedResponseError{Address: a.server.address}
	case p.dialect.Signature != "" && r.StatusCode < http.StatusMultipleChoices && r.Header.Get(p.dialect.Signature) == "":
		err = &UnsignedResponseError{Address: a.server.address}
	default:
		return nil
	}
	_ = r.Body.Close() // the answer is of no use, whatever follows
	return err
}

// belongsToAttempt guards against answers of an earlier request that arrive late on a kept-alive connection.
func (p *requestPath) belongsToAttempt(r *http.Response, requestID string, wrote bool) bool {
	echoed := r.Header.Get(p.dialect.RequestID)
	return wrote && r.StatusCode != http.StatusSwitchingProtocols && (echoed == "" || echoed == requestID)
}

func (p *requestPath) classifyResponse(r *http.Response) resultKind {
	switch {
	case p.dialect.NotRun(r):
		return resultNotRun
	case r.StatusCode >= http.StatusInternalServerError:
		return resultFailed
	}
	return resultAnswered
}

// classifyError maps a failed round trip. ctx is the call's context, own that of the attempt.
func classifyError(ctx, attemptCtx context.Context, err error, wrote bool) resultKind {
	var unreachable *UnreachableError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && wrote:
		return resultTimeout
	case attemptCtx.Err() != nil && wrote:
		return resultCanceled
	case wrote:
		return resultBroken
	case errors.As(err, &unreachable) && ctx.Err() == nil && attemptCtx.Err() == nil:
		return resultUnreachable
	}
	return resultNotSent
}

// newBackendRequest builds the request of one attempt. The body never has GetBody, and a request that is not idempotent
// always has a body value, so that net/http cannot send it a second time by itself.
func (p *requestPath) newBackendRequest(c *call, a *attempt, retriesLeft int) *http.Request {
	d := p.dialect
	h := d.newBackendHeader(c.r.Header)
	remaining := max(time.Until(c.deadline).Milliseconds(), 1)
	setHeader(h, d.Deadline, strconv.FormatInt(remaining, 10))
	setHeader(h, d.Depth, strconv.Itoa(c.depth))
	setHeader(h, d.RetriesLeft, strconv.Itoa(retriesLeft))
	if c.requestID != "" {
		setHeader(h, d.RequestID, c.requestID)
	}
	if a.server.id != "" {
		setHeader(h, d.ExpectServer, a.server.id)
	}
	request := &http.Request{
		Method:        c.r.Method,
		URL:           &url.URL{Scheme: "http", Host: a.server.address, Path: c.r.URL.Path, RawPath: c.r.URL.RawPath, RawQuery: c.r.URL.RawQuery, ForceQuery: c.r.URL.ForceQuery},
		Host:          c.r.Host,
		Header:        h,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 || !c.rule.Idempotent {
		request.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	if len(c.r.Trailer) > 0 {
		request.Trailer = c.r.Trailer.Clone()
		request.ContentLength = -1
		request.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	return request.WithContext(withGate(a.ctx, a.gate))
}
