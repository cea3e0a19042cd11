package gateway

import (
	"math/rand/v2"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/document"
)

// catalogueSteps are the steps of a gateway that serves the catalogue. Host and path select the route; callers need a key only
// if the route table has workspaces.
var catalogueSteps = []step{
	(*requestPath).awaitConfiguration,
	(*requestPath).admit,
	(*requestPath).matchRoute,
	(*requestPath).identifyWorkspace,
	(*requestPath).awaitEarlierRequests,
	(*requestPath).readRouteLimits,
	(*requestPath).checkDrainEnd,
	(*requestPath).readBody,
	(*requestPath).checkPoison,
}

// matchRoute selects the route and, at random according to the weights, the service. The home regions of a route
// restrict where the request runs. They do not restrict the gateway, because the caller chose this one.
func (p *requestPath) matchRoute(c *call) *Refusal {
	if !p.routeVerifier.mayServe(c.lease) {
		return refuse(ReasonConfigurationStale, "a newer route table may be in force").withRetryAfter(retryAfterShort)
	}
	route, ok := c.lease.catalogue.routes.Match(c.r.Host, c.r.URL.Path)
	switch {
	case !ok && c.lease.mayBeUnknownRoute(p.clock.now()):
		return refuse(ReasonConfigurationStale, "no route covers this host and path, but there may be newer routes").withRetryAfter(retryAfterLong)
	case !ok:
		return refuse(ReasonNoRule, "no route covers this host and path")
	}
	c.route = route
	c.rule = route.ChooseRule(rand.Float64())
	c.placement = document.Placement{Home: document.AnyRegion(), RunIn: c.rule.RunIn, KeepIn: document.Regions{}}
	return nil
}

// readRouteLimits sets the deadline, the caller's timeout and the number of retries, which is at most the number of servers
// that a selection can exclude, so that no server gets the request twice. The deadline counts from the
// arrival of the header, so that it includes the wait for a configuration.
func (p *requestPath) readRouteLimits(c *call) *Refusal {
	remaining, ok := parseHeaderNumber(c.r.Header, p.dialect.Deadline, int(c.rule.Deadline.Milliseconds()))
	if !ok {
		return refuse(ReasonBadRequest, p.dialect.Deadline+": expected a number of milliseconds")
	}
	limit := min(c.rule.Deadline, time.Duration(remaining)*time.Millisecond) - (p.clock.now() - c.arrived)
	if limit < minDeadline {
		return refuse(ReasonDeadlineTooShort, "the remaining time is too short for any backend server")
	}
	c.callerTimeout = time.Duration(remaining) * time.Millisecond
	c.likelyRetry = p.callerRetries.isLikelyRetry(c.lease.catalogue.routes, c.route, c.callerTimeout)
	c.retriesLeft, c.deadline = min(c.route.MaxAttempts-1, balance.MaxExcluded), time.Now().Add(limit)
	return nil
}
