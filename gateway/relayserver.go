package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"heatherwall.example/document"
)

// relayedSteps are the steps for a request that another gateway passed on.
var relayedSteps = []step{
	(*requestPath).admit,
	(*requestPath).matchRelayedRoute,
	(*requestPath).identifyRelayedWorkspace,
	(*requestPath).checkRelayedRegion,
	(*requestPath).readRelayedLimits,
	(*requestPath).checkDrainEnd,
	(*requestPath).readBody,
	(*requestPath).checkPoison,
}

// relayServer returns the server for requests that other gateways pass on.
func (d *daemon) relayServer() *http.Server {
	return &http.Server{
		Handler:           http.HandlerFunc(d.path.serveRelayed),
		MaxHeaderBytes:    maxHeaderBytes + maxInternalHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
}

// relayAddress returns the address at which other gateways reach the relay listener, or "" without one.
func (d *daemon) relayAddress() string {
	if d.settings.Catalogue == nil || d.settings.Catalogue.Relay.Address == "" {
		return ""
	}
	if a := d.settings.Catalogue.Relay.Advertise; a != "" {
		return a
	}
	return d.listeners["relay"].Addr().(*net.TCPAddr).String()
}

// serveRelayed handles one request that another gateway passed on. It is never passed on again.
func (p *requestPath) serveRelayed(w http.ResponseWriter, r *http.Request) {
	defer p.inFlight.Add(-1)
	inFlight := p.inFlight.Add(1)
	p.counters.UnlabeledCounter("requests_relayed_here").Inc(1)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if p.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	relayed, ok := readRelayedCall(r.Header)
	c := &call{w: w, r: r, ctx: r.Context(), relayed: relayed, arrived: p.clock.now() - relayed.held, requestID: relayed.requestID}
	defer c.release()
	switch {
	case !ok:
		p.sendRefusal(c, refuse(ReasonBadRequest, "expected the headers of a gateway that passes a request on"))
	case inFlight > p.maxRequests:
		p.sendRefusal(c, refuse(ReasonOverloaded, "too many requests in flight at this gateway").withRetryAfter(time.Second))
	default:
		p.serveSteps(c, relayedSteps)
	}
}

// matchRelayedRoute selects the route and the service that the other gateway chose.
// With an older route table than the other gateway's, the request is refused.
func (p *requestPath) matchRelayedRoute(c *call) *Refusal {
	if c.lease.catalogue.routes.Version < c.relayed.routes {
		return refuse(ReasonNotReady, "the route table here is older than that of the other gateway").withRetryAfter(retryAfterLong)
	}
	route, ok := c.lease.catalogue.routes.Match(c.r.Host, c.r.URL.Path)
	if !ok {
		return refuse(ReasonNoServer, "the route is not known here").withRetryAfter(retryAfterLong)
	}
	rule, ok := route.RuleFor(c.relayed.service)
	if !ok {
		rule = route.ChooseRule(rand.Float64())
	}
	c.route, c.rule = route, rule
	c.placement = document.Placement{Home: document.AnyRegion(), RunIn: rule.RunIn, KeepIn: document.Regions{}}
	return nil
}

// checkRelayedRegion runs before the body is read, which may only be sent to a home region.
func (p *requestPath) checkRelayedRegion(c *call) *Refusal {
	if c.placement.RunIn.Contains(p.region) {
		return nil
	}
	r := refuse(ReasonHomeRegion, "this gateway lies outside the home regions of the request")
	r.closeConnection = true
	return r
}

// readRelayedLimits takes the deadline, the attempts and the classification of the caller from the other gateway.
func (p *requestPath) readRelayedLimits(c *call) *Refusal {
	limit := min(c.rule.Deadline, c.relayed.deadline)
	if limit < minDeadline {
		return refuse(ReasonDeadlineTooShort, "the remaining time is too short for any backend server")
	}
	c.callerTimeout, c.likelyRetry = c.relayed.patience, c.relayed.likelyRetry
	c.retriesLeft, c.deadline = min(c.route.MaxAttempts-1, c.relayed.left), time.Now().Add(limit)
	return nil
}
