package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// attempt is one attempt to run a request on a backend server.
type attempt struct {
	selection selection
	server    backendServer
	ctx       context.Context
	cancel    context.CancelFunc
	gate      *sendGate
	release   func()
	// response is nil unless the server sent a valid response header.
	response *http.Response
	err      error
	result   result
	// relayRefusal is the refusal of the gateway that the request was passed on to; nil otherwise.
	relayRefusal *Refusal
	// relayArrivals counts how often that gateway brought the request to a server.
	relayArrivals int
	// settled is set by the first of two: the end of the round trip, or its end because this gateway is cut off from all
	// servers; abandoned is set in the second case.
	settled   atomic.Bool
	abandoned bool
}

// done ends the attempt, releases its slot and reports its result to the selector. It must be called exactly once.
func (a *attempt) done() {
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	a.release()
	a.selection.Done(a.result)
}

// mayHaveRun reports whether the server may have run the request: a byte was written, and the server did not report that
// it did not run the request.
func (a *attempt) mayHaveRun() bool {
	return a.gate.wrote.Load() && a.result.kind != resultNotRun
}

// startAttempt prepares an attempt, which send carries out.
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
	target := targetOf(s)
	token, limited := c.currentToken()
	a.gate = &sendGate{requestID: c.requestID, check: func() error {
		if err := p.checkSend(a.server, selected); err != nil {
			return err
		}
		if limited && !token.IsValid(p.clock.now()) {
			return &SendForbiddenError{Reason: forbiddenTokenEnded}
		}
		if target == nil {
			return nil
		}
		return checkStanding(target, p.clock.now())
	}}
	return a
}

// checkSend repeats the checks whose result may have changed since the selection: whether the configuration lease is
// valid, whether the server's failure domain has been taken out, and whether the selection is too old.
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

// Reasons of a SendForbiddenError.
const (
	forbiddenLeaseExpired      = "the configuration lease ran out"
	forbiddenDomainOut         = "the failure domain was taken out"
	forbiddenSelectionOutdated = "the selection of the server is out of date"
	forbiddenAttemptEnded      = "the attempt has ended"
	forbiddenServerPaused      = "the server asked for a pause"
	forbiddenServerLeaving     = "the server leaves"
	forbiddenServerGone        = "the server is no longer listed"
	forbiddenTokenEnded        = "the token of the workspace has ended"
)

// maxSelectionAge is the longest permitted time from the selection of a server to the first byte. Evidence is at most
// 2.5 s old at the selection, so a server that leaves receives no new requests after 3 s, even if dialing is slow.
const maxSelectionAge = 500 * time.Millisecond

// deadlineSlack is the time before the deadline in which a broken connection counts as a missed deadline and not as a
// crash. Backend servers receive the deadline rounded down to milliseconds, so they may close the connection earlier.
const deadlineSlack = 5 * time.Millisecond

// send sends the request and waits for the response header.
func (p *requestPath) send(c *call, a *attempt, retriesLeft int) {
	started := time.Now()
	stop := p.serverPath().watch(a, c.rule.Idempotent)
	response, err := p.transport.RoundTrip(p.newBackendRequest(c, a, retriesLeft))
	stop()
	var report ServerReport
	if err == nil && p.belongsToAttempt(response, c.requestID, a.gate.wrote.Load()) {
		if report = p.statementReader().read(targetOf(a.selection), a.server, response); !report.isOf(a.server) {
			report = ServerReport{}
		}
	}
	if a.abandoned = !a.settled.CompareAndSwap(false, true); a.abandoned && err == nil {
		_ = response.Body.Close()
		err = context.Canceled
	}
	p.serverPath().attemptEnded(a, err)
	if err == nil {
		err = p.checkResponse(c, a, response)
	}
	if err != nil {
		a.recordFailure(c, err)
	} else {
		a.response = response
		a.result.ServerReport = report
		a.result.kind = p.classifyResponse(response)
		a.readSmallBody(c)
	}
	a.result.latency = time.Since(started)
	if a.result.kind == resultBroken && time.Until(c.deadline) < deadlineSlack {
		a.result.kind = resultTimeout
	}
	if a.abandoned && a.result.kind == resultCanceled {
		a.result.kind = resultBroken
	}
	if a.result.kind == resultBroken {
		p.recordCrash(c, a)
	}
	p.logAttempt(c, a)
}

// maxWholeBodyBytes is the length of the longest body that is read before the header is passed on to the caller.
const maxWholeBodyBytes = 16 << 10

// readSmallBody reads a short body of known length. If it ends early, the attempt has no response, so that an idempotent
// request can be sent again and the caller's connection stays open; after the header was passed on, the connection would
// have to be closed, and with it all requests that the caller has sent ahead.
func (a *attempt) readSmallBody(c *call) {
	r := a.response
	if r.ContentLength <= 0 || r.ContentLength > maxWholeBodyBytes || len(r.Trailer) > 0 {
		return
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close() // read to its end or discarded
	if err != nil {
		a.response, a.err, a.result.kind = nil, err, interruptionResult(c)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
}

// serverPath returns the watch over the path to servers; nil if there is none.
func (p *requestPath) serverPath() *serverPath {
	if p.relay == nil {
		return nil
	}
	return p.relay.path
}

// recordFailure records a round trip without a valid response. It stops the gate first: after that no byte can be
// written, so a result that says "nothing was written" stays true.
func (a *attempt) recordFailure(c *call, err error) {
	wrote, cause := a.gate.stop()
	if cause != nil {
		err = cause
	}
	a.err = err
	a.result.kind = classifyError(c.ctx, a.ctx, err, wrote)
}

// MismatchedResponseError reports a response that does not belong to the request: it arrived before the request was
// written, echoes another request ID, switches protocols, or may be a copy of a response to an earlier request.
type MismatchedResponseError struct {
	Address string
}

func (e *MismatchedResponseError) Error() string {
	return "backend server " + e.Address + " sent a response that does not belong to the request"
}

// UnsignedResponseError reports a successful response without the signature header that every complete response of a
// backend server carries.
type UnsignedResponseError struct {
	Address string
}

func (e *UnsignedResponseError) Error() string {
	return "backend server " + e.Address + " sent a successful response without a signature"
}

// checkResponse closes a response and returns an error if it does not belong to the attempt or lacks its signature.
func (p *requestPath) checkResponse(c *call, a *attempt, r *http.Response) error {
	var err error
	switch {
	case !p.belongsToAttempt(r, c.requestID, a.gate.wrote.Load()) || p.mayBeCopy(r, c.requestID, a.gate.connectionHistory()):
		a.gate.closeConnection()
		err = &MismatchedResponseError{Address: a.server.address}
	case p.dialect.Signature != "" && r.StatusCode < http.StatusMultipleChoices && r.Header.Get(p.dialect.Signature) == "":
		err = &UnsignedResponseError{Address: a.server.address}
	default:
		return nil
	}
	_ = r.Body.Close() // the response is discarded, so an error of Close does not matter
	return err
}

// belongsToAttempt reports whether a response belongs to the request. It rejects late responses to an earlier request on
// the same keep-alive connection, and protocol switches.
func (p *requestPath) belongsToAttempt(r *http.Response, requestID string, wrote bool) bool {
	echoed := r.Header.Get(p.dialect.RequestID)
	return wrote && r.StatusCode != http.StatusSwitchingProtocols && (echoed == "" || echoed == requestID)
}

// mayBeCopy reports whether a response may have been sent once more after an earlier request or probe on the connection. A
// response that echoes the ID of the request, which no earlier one had, is none. Of the others, none is believed that says
// or implies that the request did not run; if servers sign their responses, an unsigned one is not believed either, because
// those to probes have no ID and no signature.
func (p *requestPath) mayBeCopy(r *http.Response, requestID string, before connHistory) bool {
	d := p.dialect
	echoed := r.Header.Get(d.RequestID) != "" && r.Header.Get(d.RequestID) == requestID
	if !before.used || (echoed && !before.sameID) {
		return false
	}
	signs := d.Signature != ""
	return d.NotRun(r) || signs && (impliesNotRun(r.StatusCode) || !echoed && r.Header.Get(d.Signature) == "")
}

// impliesNotRun reports whether callers conclude from a status that the request did not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
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

// classifyError maps the error of a round trip to a result. ctx is the context of the call.
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

// newBackendRequest builds the request of one attempt. GetBody is never set, and a request that is not idempotent
// always has a non-nil Body, so that net/http never retries it by itself.
func (p *requestPath) newBackendRequest(c *call, a *attempt, retriesLeft int) *http.Request {
	d := p.dialect
	h := d.newBackendHeader(c.r.Header)
	p.setWorkspaceHeader(c, h)
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
		ContentLength: c.body.Len(),
	}
	if c.body.Len() > 0 || !c.rule.Idempotent {
		request.Body = io.NopCloser(c.body.NewReader())
	}
	if len(c.r.Trailer) > 0 {
		request.Trailer = p.newBackendTrailer(c)
		request.ContentLength = -1
		request.Body = io.NopCloser(c.body.NewReader())
	}
	return request.WithContext(withGate(a.ctx, a.gate))
}
