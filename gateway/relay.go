package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/balance"
	"heatherwall.example/telemetry"
)

const (
	// relayDialTimeout bounds the opening of a connection to another gateway, of another region at most.
	relayDialTimeout = 200 * time.Millisecond
	// maxRelays is the number of relays that are tried for one request while this gateway reaches no server, and
	// maxRelaysReached while it does and only the service of the request has none.
	maxRelays        = 5
	maxRelaysReached = 2
	// maxRelaysInDomain is the number of relays of the own failure domain that are tried; a cut may concern all of it.
	maxRelaysInDomain = 2
)

// relayClient passes requests on to other gateways.
type relayClient struct {
	relays    *balance.Relays
	transport *http.Transport
	path      *serverPath
	clock     clock
}

// newRelayTransport returns the transport for requests to other gateways. Every request must carry a gate, see withGate.
func newRelayTransport() *http.Transport {
	t := newTransport(defaultConnectionLimits)
	dialer := &net.Dialer{Timeout: relayDialTimeout, KeepAlive: backendKeepAliveInterval}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, &UnreachableError{Address: address, Err: err}
		}
		return newBackendConn(conn), nil
	}
	return t
}

// update applies the list of gateways.
func (r *relayClient) update(self string, gateways []*controlpb.GatewayStatus) {
	var list []balance.Relay
	for _, g := range gateways {
		if g.GetName() != self && g.GetRelayAddress() != "" {
			list = append(list, balance.Relay{
				Name: g.GetName(), Address: g.GetRelayAddress(), Region: g.GetRegion(), FailureDomain: g.GetFailureDomain(),
				Unavailable: g.GetDraining() || g.GetServersUnreachable(),
			})
		}
	}
	r.relays.Update(list)
}

// relaySelection implements selection with another gateway.
type relaySelection struct {
	client  *relayClient
	relay   balance.Relay
	service string
	// suspect is set if this gateway seemed cut off when the relay was selected; otherwise only the service had no server.
	suspect bool
	// unable is set if the relay refused because it cannot serve any request at present, and responded if it sent a valid
	// response.
	unable    bool
	responded bool
}

// Server implements selection. The failure domain is empty, because taking out a domain concerns its servers only.
func (s *relaySelection) Server() backendServer {
	return backendServer{service: s.service, address: s.relay.Address, region: s.relay.Region}
}

// Done implements selection.
func (s *relaySelection) Done(r result) {
	outcome := balance.RelayOK
	switch {
	case r.kind == resultUnreachable || r.kind == resultBroken && !s.responded:
		outcome = balance.RelayFailed
	case s.unable:
		outcome = balance.RelayRefused
	}
	s.client.relays.Done(s.relay.Name, s.client.clock.now(), outcome)
}

// pickRelay selects another gateway for the request; it returns nil if there is none.
func (r *runner) pickRelay() selection {
	client := r.p.relay
	limit := maxRelaysReached
	suspect := client.path.isDoubtful()
	if suspect {
		limit = maxRelays
	}
	if len(r.relays) >= limit {
		return nil
	}
	relay, ok := client.relays.Pick(balance.RelayQuery{
		Now: client.clock.now(), OtherDomain: len(r.relays) >= maxRelaysInDomain, Regions: r.c.placement.RunIn.Names, AnyRegion: r.c.placement.RunIn.Any, Tried: r.relays, Random: rand.Uint64(),
	})
	if !ok {
		return nil
	}
	r.relays = append(r.relays, relay.Name)
	return &relaySelection{client: client, relay: relay, service: r.c.rule.Service.Name, suspect: suspect}
}

// pickServerOrRelay selects a server or, while this gateway reaches none, another gateway. A request that was passed on to
// this gateway is refused instead, so that the other gateway can choose another relay.
func (r *runner) pickServerOrRelay(q *query) (selection, *Refusal) {
	path := r.p.relay.path
	if r.c.relayed == nil && path.avoidsServers() {
		if s := r.pickRelay(); s != nil {
			return s, nil
		}
	}
	if path.isCutOff() {
		return nil, r.refuseUnreachable()
	}
	s, refusal := r.pickServer(q)
	doubtful := path.isDoubtful()
	noPath := refusal != nil && refusal.Reason == ReasonNoServer && refusal.unreachable && r.arrivals == 0
	if !doubtful && !noPath {
		return s, refusal
	}
	var relay selection
	switch {
	case r.c.relayed == nil:
		relay = r.pickRelay()
	case doubtful:
		refusal = r.refuseUnreachable()
	}
	if relay == nil && refusal == nil {
		return s, nil
	}
	if s != nil {
		s.Done(result{kind: resultDiscarded})
	}
	if relay != nil {
		return relay, nil
	}
	return nil, refusal
}

func (r *runner) refuseUnreachable() *Refusal {
	r.refusal = refuse(ReasonServersUnreachable, "this gateway reaches no backend server").withRetryAfter(retryAfterLong)
	return r.refusal
}

// relayInstead selects another gateway after an attempt that reached no server and wrote nothing, although no further
// attempts at servers are permitted.
func (r *runner) relayInstead(a *attempt) (selection, bool) {
	unsent := r.arrivals == 0 && (a.result.kind == resultUnreachable || a.result.kind == resultNotSent)
	paused := r.refusal != nil && r.refusal.Reason == ReasonServersPaused && !r.p.serverPath().isDoubtful()
	if r.p.relay == nil || r.c.relayed != nil || !unsent || paused {
		return nil, false
	}
	s := r.pickRelay()
	return s, s != nil
}

// selectAfterRelay selects another relay after one that brought the request to no server or, without one, a server: the
// gateway may not be cut off after all.
func (r *runner) selectAfterRelay() (selection, bool) {
	if s := r.pickRelay(); s != nil {
		return s, true
	}
	if r.p.relay.path.isCutOff() {
		return nil, false
	}
	s, refusal := r.pickServer(&query{retry: r.arrivals > 0})
	return s, refusal == nil
}

// isRelay reports whether the attempt passes the request on to another gateway.
func (a *attempt) isRelay() bool {
	_, ok := a.selection.(*relaySelection)
	return ok
}

// sendToRelay passes the request on to another gateway and waits for the response header.
func (p *requestPath) sendToRelay(c *call, a *attempt, left, arrivals int) {
	started := time.Now()
	if c.rule.Idempotent && left > 0 {
		left-- // kept for another relay, in case the connection to this one breaks
	}
	request := p.newBackendRequest(c, a, left)
	relayed := &relayedCall{
		requestID: c.requestID, deadline: time.Until(c.deadline), held: p.clock.now() - c.arrived, patience: c.callerTimeout,
		likelyRetry: c.likelyRetry, arrivals: arrivals, left: left, service: c.rule.Service.Name,
		routes: c.lease.catalogue.routes.Version, workspace: c.caller.Tenant.Name,
	}
	relayed.write(request.Header)
	response, err := p.relay.transport.RoundTrip(request)
	if err == nil {
		err = p.readRelayResponse(c, a, response)
	}
	if err != nil {
		a.recordFailure(c, err)
		if a.gate.wrote.Load() {
			a.relayArrivals = left + 1 // not known; the relay may have used all attempts
		}
	}
	a.result.latency = time.Since(started)
	if a.result.kind == resultBroken && time.Until(c.deadline) < deadlineSlack {
		a.result.kind = resultTimeout
	}
	p.logRelay(c, a)
}

// readRelayResponse takes over the response of a server, or the refusal of the relay.
func (p *requestPath) readRelayResponse(c *call, a *attempt, response *http.Response) error {
	outcome := response.Header.Get(headerRelayOutcome)
	s := a.selection.(*relaySelection)
	if outcome == relayAnswered {
		if err := p.checkResponse(c, a, response); err != nil {
			return err
		}
		s.responded = true
		p.recordRelayedLeaving(response.Header.Get(headerRelayLeaving))
		a.response, a.result.kind = response, resultAnswered
		if response.StatusCode >= http.StatusInternalServerError {
			a.result.kind = resultFailed
		}
		return nil
	}
	_ = response.Body.Close() // the response is discarded, so an error of Close does not matter
	if outcome != relayNotRun && outcome != relayUnknown || !a.gate.wrote.Load() {
		return &MismatchedResponseError{Address: a.server.address}
	}
	refusal := readRelayRefusal(response.Header)
	a.relayRefusal, a.err = refusal, refusal
	a.relayArrivals, _ = parseHeaderNumber(response.Header, headerRelayArrivals, 1)
	s.responded, s.unable = true, isUnable(refusal.Reason)
	switch {
	case refusal.Ran == RanNo:
		a.result.kind = resultNotRun
	case refusal.Reason == ReasonDeadlineExceeded:
		a.result.kind = resultTimeout
	default:
		a.result.kind = resultBroken
	}
	return nil
}

// relayRetryReason returns the reason for which a request is passed on once more after an attempt at a relay, or "". The
// caller has checked that the request may run again, or has not run.
func (r *runner) relayRetryReason(a *attempt) string {
	switch a.result.kind {
	case resultUnreachable, resultNotSent:
		return "relay_unreachable"
	case resultBroken:
		return "relay_broken"
	case resultNotRun:
		r.refusal = a.relayRefusal
		reason := a.relayRefusal.Reason
		// The retry budget of that gateway may be spent, and a server may have shed the request there.
		again := reason == ReasonOverloaded && r.arrivals > 0 && (a.relayArrivals == 0 || r.c.rule.Idempotent)
		if again || a.relayArrivals == 0 && (reason == ReasonNoServer || isUnable(reason)) {
			return "relay_refused"
		}
	}
	return ""
}

// isUnable reports whether a gateway that gives this reason can serve no request at present.
func isUnable(reason Reason) bool {
	switch reason {
	case ReasonServersUnreachable, ReasonNotReady, ReasonDraining, ReasonConfigurationStale:
		return true
	}
	return false
}

// logRelay counts and logs an attempt at a relay.
func (p *requestPath) logRelay(c *call, a *attempt) {
	p.counters.Counter("relayed_requests", "outcome", a.result.kind.String()).Inc(1)
	p.countInvalidResponse(a.err)
	s, reason := a.selection.(*relaySelection), ""
	if a.relayRefusal != nil {
		reason = string(a.relayRefusal.Reason)
		p.counters.Counter("relay_refusals", "reason", reason).Inc(1)
	}
	p.recordLatency("relay", a.result.kind.String(), c.rule.Service.Name, a.result.latency)
	if !p.logLimiter.Allow(time.Now()) {
		return
	}
	p.log.Log(eventRequestRelayed, telemetry.F("request", c.requestID), telemetry.F("rule", c.rule.Name), telemetry.F("service", c.rule.Service.Name),
		telemetry.F("gateway", s.relay.Name), telemetry.F("suspect", s.suspect), telemetry.F("result", a.result.kind.String()), telemetry.F("reason", reason),
		telemetry.F("latency", a.result.latency), telemetry.F("left", time.Until(c.deadline)), telemetry.ErrorField(a.err))
}
