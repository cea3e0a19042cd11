package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Headers between two gateways of which one passes a request on to the other. They are never taken from callers or servers.
const (
	relayHeaderPrefix      = "Heatherwall-Relay-"
	headerRelayRequestID   = relayHeaderPrefix + "Request-Id"
	headerRelayDeadline    = relayHeaderPrefix + "Deadline-Ms"
	headerRelayHeld        = relayHeaderPrefix + "Held-Ms"
	headerRelayPatience    = relayHeaderPrefix + "Patience-Ms"
	headerRelayLikelyRetry = relayHeaderPrefix + "Likely-Retry"
	headerRelayArrivals    = relayHeaderPrefix + "Arrivals"
	headerRelayLeft        = relayHeaderPrefix + "Attempts-Left"
	headerRelayRoutes      = relayHeaderPrefix + "Routes-Version"
	headerRelayService     = relayHeaderPrefix + "Service"
	headerRelayWorkspace   = relayHeaderPrefix + "Workspace"
	headerRelayOutcome     = relayHeaderPrefix + "Outcome"
	headerRelayReason      = relayHeaderPrefix + "Reason"
	headerRelayRetryAfter  = relayHeaderPrefix + "Retry-After-Ms"
	// headerRelayLeaving names the server that answered, if it said that it leaves.
	headerRelayLeaving = relayHeaderPrefix + "Server-Leaving"
)

// Values of headerRelayOutcome.
const (
	// relayAnswered: the response is that of a backend server.
	relayAnswered = "answered"
	// relayNotRun: the relay refused the request; it has not run and will not.
	relayNotRun = "not_run"
	// relayUnknown: the relay failed to get an answer; the request may have run.
	relayUnknown = "unknown"
)

// relayedCall is what a gateway that passes a request on says about it.
type relayedCall struct {
	requestID string
	// deadline is the remaining time, held the time since the request arrived at the other gateway.
	deadline, held time.Duration
	patience       time.Duration
	likelyRetry    bool
	// arrivals counts how often the request has reached a server, left is the number of attempts after the next one.
	arrivals, left int
	// service is the service that the other gateway chose for the request, and routes the version of its route table.
	service string
	routes  uint64
	// workspace is the name of the caller's workspace; empty for none.
	workspace string
}

func removeRelayHeaders(h http.Header) {
	for name := range h {
		if strings.HasPrefix(name, relayHeaderPrefix) {
			delete(h, name)
		}
	}
}

func (c *relayedCall) write(h http.Header) {
	if c.requestID != "" {
		h.Set(headerRelayRequestID, c.requestID)
	}
	for name, d := range map[string]time.Duration{headerRelayDeadline: c.deadline, headerRelayHeld: c.held, headerRelayPatience: c.patience} {
		h.Set(name, strconv.FormatInt(max(d.Milliseconds(), 0), 10))
	}
	h.Set(headerRelayArrivals, strconv.Itoa(c.arrivals))
	h.Set(headerRelayLeft, strconv.Itoa(c.left))
	h.Set(headerRelayService, c.service)
	if c.workspace != "" {
		h.Set(headerRelayWorkspace, c.workspace)
	}
	h.Set(headerRelayRoutes, strconv.FormatUint(c.routes, 10))
	if c.likelyRetry {
		h.Set(headerRelayLikelyRetry, "true")
	}
}

// readRelayedCall reads what another gateway says about a request; ok is false if it is incomplete or invalid.
func readRelayedCall(h http.Header) (c *relayedCall, ok bool) {
	c = &relayedCall{
		requestID: h.Get(headerRelayRequestID), service: h.Get(headerRelayService), workspace: h.Get(headerRelayWorkspace),
		likelyRetry: h.Get(headerRelayLikelyRetry) == "true",
	}
	milliseconds := func(name string) time.Duration {
		n, valid := parseHeaderNumber(h, name, -1)
		ok = ok && valid && n >= 0
		return time.Duration(n) * time.Millisecond
	}
	ok = true
	c.deadline, c.held, c.patience = milliseconds(headerRelayDeadline), milliseconds(headerRelayHeld), milliseconds(headerRelayPatience)
	var arrivalsOK, leftOK bool
	c.arrivals, arrivalsOK = parseHeaderNumber(h, headerRelayArrivals, 0)
	c.left, leftOK = parseHeaderNumber(h, headerRelayLeft, 0)
	var err error
	c.routes, err = strconv.ParseUint(h.Get(headerRelayRoutes), 10, 64)
	return c, ok && arrivalsOK && leftOK && err == nil
}

// writeRelayRefusal adds the outcome of a refusal, and how often the request reached a server here, for the gateway that
// passed the request on.
func writeRelayRefusal(h http.Header, r *Refusal, arrivals int) {
	h.Set(headerRelayArrivals, strconv.Itoa(arrivals))
	outcome := relayUnknown
	if r.Ran == RanNo {
		outcome = relayNotRun
	}
	h.Set(headerRelayOutcome, outcome)
	h.Set(headerRelayReason, string(r.Reason))
	h.Set(headerRelayRetryAfter, strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
}

// readRelayRefusal returns the refusal of a relay as one of this gateway. A reason that this gateway would not give, for
// example because the relay has another configuration, becomes ReasonNoServer.
func readRelayRefusal(h http.Header) *Refusal {
	reason := Reason(h.Get(headerRelayReason))
	if reasons[reason].status != http.StatusServiceUnavailable && reason != ReasonDeadlineExceeded && reason != ReasonBackendFailed {
		reason = ReasonNoServer
	}
	r := refuse(reason, "refused by the gateway that the request was passed on to").withRan(RanUnknown)
	if h.Get(headerRelayOutcome) == relayNotRun {
		r.Ran = RanNo
	}
	if ms, ok := parseHeaderNumber(h, headerRelayRetryAfter, 0); ok {
		r.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return r
}
