package gateway

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
	"heatherwall.example/gateway/body"
	"heatherwall.example/gateway/pipeline"
	"heatherwall.example/gateway/tokens"
	"heatherwall.example/routes"
)

// Limits of a call tree and of a single request.
const (
	maxDepth   = 8
	maxRetries = 2
	// minDeadline is the shortest remaining time with which a request is still sent.
	minDeadline = 2 * time.Millisecond
	// fingerprintBytes is the length of a truncated SHA-256 sum.
	fingerprintBytes = 16
)

// fingerprint identifies requests with the same member, method, path, query and body.
type fingerprint [fingerprintBytes]byte

// call is the state of one request in the gateway. It is owned by the goroutine of its handler.
type call struct {
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	arrived time.Duration

	lease  *lease
	caller *document.Caller
	// route is nil unless the gateway serves the catalogue.
	route     *routes.Route
	rule      *document.Rule
	placement document.Placement

	deadline time.Time
	// callerTimeout is the remaining time that the caller sent with the request.
	callerTimeout time.Duration
	// likelyRetry is set if the request is probably a retry by its caller, see callerRetryDetector.
	likelyRetry bool
	depth       int
	retriesLeft int
	requestID   string

	body        *body.Buffer // nil before the body is read
	fingerprint fingerprint
	// relayed is what the gateway that passed the request on says about it; nil for a request of a caller.
	relayed *relayedCall
	// arrivals counts how often this gateway or its relays brought the request to a server.
	arrivals int
	// token permits to send the request; nil if its workspace has no quota.
	token *tokens.Token
	claim *requestClaim // nil if the request is idempotent or has no key
}

// step is one stage of the request path. A refusal ends the request.
type step func(p *requestPath, c *call) *Refusal

// documentSteps are the steps of a gateway that serves the document, in the order of section 5.7 of docs/design.md.
var documentSteps = []step{
	(*requestPath).admit,
	(*requestPath).authenticate,
	(*requestPath).matchRule,
	(*requestPath).awaitEarlierRequests,
	(*requestPath).checkHomeRegion,
	(*requestPath).checkIdempotencyKey,
	(*requestPath).readCallTreeLimits,
	(*requestPath).checkDrainEnd,
	(*requestPath).readBody,
	(*requestPath).checkPoison,
	(*requestPath).takeClaim,
}

// admit refuses requests while the gateway is draining, joining or without a valid configuration lease.
func (p *requestPath) admit(c *call) *Refusal {
	if p.draining.Load() {
		return refuse(ReasonDraining, "this gateway is stopping").withRetryAfter(retryAfterShort)
	}
	l, ok := p.configuration.Valid()
	if !l.isConfigured() {
		return refuse(ReasonNotReady, "no configuration has been confirmed yet").withRetryAfter(retryAfterStartup)
	}
	if p.joining.Load() {
		return refuse(ReasonNotReady, "the gateway has not introduced itself to the other gateways yet").withRetryAfter(retryAfterStartup)
	}
	if !ok {
		return refuse(ReasonConfigurationStale, "the configuration could not be confirmed").withRetryAfter(retryAfterLong)
	}
	c.lease = l
	return nil
}

func (p *requestPath) authenticate(c *call) *Refusal {
	token, ok := p.dialect.callerToken(c.r.Header)
	if !ok {
		return refuse(ReasonUnauthenticated, "expected a bearer token")
	}
	c.caller, ok = c.lease.config.CallerByToken(token)
	if !ok {
		return refuse(ReasonUnauthenticated, "the token belongs to no caller")
	}
	return nil
}

func (p *requestPath) matchRule(c *call) *Refusal {
	var ok bool
	if c.rule, ok = c.lease.config.MatchRule(c.r.Method, c.r.URL.Path); !ok {
		return refuse(ReasonNoRule, "no rule covers this method and path")
	}
	if c.placement, ok = c.rule.Placement(c.caller.Tenant); !ok {
		return refuse(ReasonNotAllowed, "the rule does not admit this caller")
	}
	return nil
}

// awaitEarlierRequests delays a request that is not idempotent until all earlier ones of its connection have been answered:
// if the connection ends before, the caller knows that the request did not run.
func (p *requestPath) awaitEarlierRequests(c *call) *Refusal {
	if c.rule.Idempotent {
		return nil
	}
	if err := pipeline.AwaitTurn(c.r.Context()); err != nil {
		return refuse(ReasonDraining, "the connection ended before the turn of the request")
	}
	if p.draining.Load() {
		return refuse(ReasonDraining, "this gateway is stopping").withRetryAfter(retryAfterShort)
	}
	return nil
}

// checkHomeRegion runs before the body is read, so that no body is stored outside the home regions of its request.
func (p *requestPath) checkHomeRegion(c *call) *Refusal {
	if c.placement.Home.Contains(p.region) {
		return nil
	}
	r := refuse(ReasonHomeRegion, "this gateway lies outside the home regions of the request")
	r.Regions = c.placement.Home.Names
	r.closeConnection = true
	return r
}

// checkIdempotencyKey reads the Idempotency-Key of a request that is not idempotent. A missing key that is required, or an
// invalid key, is refused before the body is read.
func (p *requestPath) checkIdempotencyKey(c *call) *Refusal {
	if c.rule.Idempotent {
		return nil
	}
	keys := c.r.Header.Values(headerIdempotencyKey)
	if len(keys) == 0 {
		if c.rule.KeyPolicy == document.IdempotencyKeyOptional {
			return nil
		}
		return refuse(ReasonKeyRequired, "expected the header Idempotency-Key with a UUID version 7")
	}
	key, err := uuid.Parse(strings.Trim(keys[0], `"`))
	if err != nil || len(keys) > 1 || key.Version() != 7 || key.Variant() != uuid.RFC4122 {
		return refuse(ReasonKeyInvalid, "expected one Idempotency-Key that is a UUID version 7 (RFC 9562)")
	}
	c.claim = newClaim(c, key)
	return nil
}

// readCallTreeLimits reads depth, retries and deadline, which the request inherits from its ancestors in the call tree.
func (p *requestPath) readCallTreeLimits(c *call) *Refusal {
	depth, ok := parseHeaderNumber(c.r.Header, headerDepth, 0)
	if !ok {
		return refuse(ReasonBadRequest, headerDepth+": expected a number")
	}
	if depth >= maxDepth {
		return refuse(ReasonTooDeep, "the call tree is deeper than 8")
	}
	retries, ok := parseHeaderNumber(c.r.Header, headerRetriesLeft, maxRetries)
	if !ok {
		return refuse(ReasonBadRequest, headerRetriesLeft+": expected a number")
	}
	remaining, ok := parseHeaderNumber(c.r.Header, headerDeadline, int(c.rule.Deadline.Milliseconds()))
	if !ok {
		return refuse(ReasonBadRequest, headerDeadline+": expected a number of milliseconds")
	}
	limit := min(c.rule.Deadline, time.Duration(remaining)*time.Millisecond)
	if limit < minDeadline {
		return refuse(ReasonDeadlineTooShort, "the remaining time is too short for any backend server")
	}
	c.depth, c.retriesLeft, c.deadline = depth+1, min(retries, maxRetries), time.Now().Add(limit)
	return nil
}

// parseHeaderNumber parses a header as a number of at most nine digits. If the header is missing, it returns absent. ok
// is false for any other value.
func parseHeaderNumber(h http.Header, name string, absent int) (n int, ok bool) {
	text := h.Get(name)
	if text == "" {
		return absent, true
	}
	if len(text) > 9 {
		return 0, false
	}
	v, err := strconv.ParseUint(text, 10, 32)
	return int(v), err == nil
}

// readBody buffers the whole body, within the size limit of the rule, the memory budget and the deadline.
func (p *requestPath) readBody(c *call) *Refusal {
	if c.r.ContentLength > c.rule.MaxBodyBytes {
		return p.refuseBody(c)
	}
	// After the whole body the read deadline must be cleared, because net/http keeps reading to detect that the caller
	// disconnects. Otherwise it stays, because net/http waits for the rest of the body.
	controller := http.NewResponseController(c.w)
	_ = controller.SetReadDeadline(c.deadline)
	var err error
	c.body, err = p.bodies.Read(http.MaxBytesReader(c.w, c.r.Body, c.rule.MaxBodyBytes))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	var full *body.BudgetError
	switch {
	case errors.As(err, &full):
		r := refuse(ReasonOverloaded, "the gateway holds as many request bodies as it may").withRetryAfter(retryAfterLong)
		r.closeConnection = true
		return r
	case errors.As(err, &tooLarge):
		return p.refuseBody(c)
	case err != nil && !time.Now().Before(c.deadline):
		return refuse(ReasonDeadlineExceeded, "the body did not arrive in time")
	case err != nil:
		return refuse(ReasonBadRequest, "the body could not be read to its end")
	}
	return nil
}

// refuseBody refuses a body that is larger than the rule permits. A newer route table may permit it.
func (p *requestPath) refuseBody(c *call) *Refusal {
	r := refuse(ReasonRequestTooLarge, "the body is larger than the rule permits")
	if c.route != nil && c.lease.mayBeUnknownRoute(p.clock.now()) {
		r = refuse(ReasonConfigurationStale, "the body is larger than the route permits, but there may be newer routes").withRetryAfter(retryAfterLong)
	}
	r.closeConnection = true
	return r
}

// checkPoison computes the fingerprint and refuses a request that crashed backend servers before.
func (p *requestPath) checkPoison(c *call) *Refusal {
	c.fingerprint = requestFingerprint(c.caller.Tenant.Member.Name, c.r.Method, c.r.URL.EscapedPath(), c.r.URL.RawQuery, c.body)
	if wait := p.crashMarks.RefusedFor(p.clock.now(), c.fingerprint); wait > 0 {
		return refuse(ReasonPoison, "backend servers crashed while they ran this request").withRetryAfter(wait)
	}
	return nil
}

// requestFingerprint returns a truncated SHA-256 sum of the length-prefixed fields and the body.
func requestFingerprint(member, method, path, query string, body io.WriterTo) fingerprint {
	h := sha256.New()
	for _, field := range []string{member, method, path, query} {
		writeLengthPrefixed(h, field)
	}
	_, _ = body.WriteTo(h) // a hash accepts everything
	return fingerprint(h.Sum(nil)[:fingerprintBytes])
}

func writeLengthPrefixed(w io.Writer, field string) {
	_, _ = io.WriteString(w, strconv.Itoa(len(field))+":"+field)
}

// writeKeptAnswer sends the stored response to a repeat of a completed request.
func writeKeptAnswer(w http.ResponseWriter, kept *controlpb.KeptAnswer) {
	h := w.Header()
	for _, header := range kept.GetHeaders() {
		h.Add(header.GetName(), header.GetValue())
	}
	h.Set(headerKeptAnswer, "true")
	h.Set("Content-Length", strconv.Itoa(len(kept.GetBody())))
	w.WriteHeader(int(kept.GetStatus()))
	_, _ = w.Write(kept.GetBody())
}
