package gateway

import (
	"context"
	"net"
	"net/http"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/balance"
	"heatherwall.example/balance/budget"
	"heatherwall.example/gateway/body"
	"heatherwall.example/gateway/tokens"
	"heatherwall.example/membership"
	"heatherwall.example/quota"
	"heatherwall.example/routes"
	"heatherwall.example/settings"
)

func newReplicaList(s *settings.Gateway) *replicaList {
	l := &replicaList{listed: s.Control, name: s.Name, region: s.Region, domain: s.FailureDomain}
	if s.Discovery != nil {
		l.seeds = s.Discovery.PeerAddresses()
	}
	return l
}

const (
	// maxBufferedBodyBytes limits the total size of request bodies in memory. It has room for one body of the maximum size that
	// a route table may permit, and leaves the other memory of a small instance to connections.
	maxBufferedBodyBytes = 80 << 20
	// bufferedBodyFraction is the fraction of the process's memory that bodies may take. A single body of the largest size that
	// the route table permits is always accepted.
	bufferedBodyFraction = 0.25
)

// limitBodies limits the memory for bodies to a part of the memory of the process; with 0 megabytes it sets no other limit.
func limitBodies(bodies *body.Budget, megabytes int, largest int64) {
	if megabytes <= 0 {
		return
	}
	share := int64(bufferedBodyFraction * float64(megabytes) * (1 << 20))
	bodies.SetLimit(min(max(share, largest+body.MaxOverhead), maxBufferedBodyBytes))
}

// setUpDocumentMode creates the parts that only document mode needs: gossip with the other gateways, and claims.
func (d *daemon) setUpDocumentMode(incarnation uint64) {
	s := d.settings
	d.state = &gossipState{
		name: s.Name, region: s.Region, clock: d.clock, registry: membership.New(s.Name, incarnation),
		engine:  balance.New(balance.Config{Region: s.Region, FailureDomain: s.FailureDomain}),
		limiter: budget.New(budget.Rates{}), crashMarks: d.path.crashMarks, transport: &grpcGossipTransport{d.gatewayConnections}, prober: d.prober, log: d.log, counters: d.counters,
		commands: make(chan func(time.Duration)), stopped: make(chan struct{}), probing: map[string]bool{},
	}
	d.claims = newClaimClient(s.Control, func() map[string]string { return d.lease.Current().claimLeaders }, d.controlConnections)
	d.path.steps = documentSteps
	d.path.claims = d.claims
	d.path.publishCrashMarks = d.state.publishCrashMarks
	d.path.selector = &engineSelector{engine: d.state.engine, clock: d.clock, recordEvidence: d.state.evidence.record}
	d.path.joining.Store(true)
}

// setUpCatalogueMode creates the parts that only catalogue mode needs. The control replicas distribute the backend
// servers and the crash counts, so there is no gossip between gateways.
func (d *daemon) setUpCatalogueMode() {
	s := d.settings
	limitMemory(s.Catalogue.MemoryMB)
	engine := balance.New(balance.Config{
		Name: s.Name, Region: s.Region, FailureDomain: s.FailureDomain, EvidenceLifetime: noExpiry,
		DomainCost: s.Catalogue.DomainCost(), SpillCost: s.Catalogue.SpillCost(),
		RetryShare: s.Catalogue.Retry.Ratio * retryRatioFraction, RetryBurst: 1,
		NearFullFactor: nearFullLatencyFactor,
		ReuseWindow:    catalogueConnectionLimits.idleTimeout / 2,
		// Servers report that they are cold. Detection would mistake a server slowed by a noisy neighbour for a cold one.
		Switches: balance.Switches{NoFallbackDetection: true},
	})
	d.backends = &catalogueBackends{
		name: s.Name, region: s.Region, clock: d.clock, engine: engine, cold: s.Catalogue.Cold, retry: s.Catalogue.Retry, log: d.log, counters: d.counters,
		commands: make(chan func(time.Duration)), stopped: make(chan struct{}), records: map[string]*backendRecord{},
		ownAddresses: []string{s.Callers.AdvertisedAddress(), s.Admin.AdvertisedAddress(), s.Metrics.AdvertisedAddress()},
	}
	d.lease.serveStale = s.Catalogue.ServeStale()
	d.path.routeVerifier = &routeVerifier{
		replicas: d.lease.replicas, newestRoutes: askForNewestRoutes(d.controlConnections), connections: d.controlConnections,
		applyTime: s.Catalogue.ApplyTime(), current: d.lease.Current, clock: d.clock, log: d.log, counters: d.counters,
	}
	d.lease.takeCrashReports = d.path.crashMarks.takeReports
	d.lease.onCrashTotals = func(reports []*controlpb.PoisonReport) { d.path.crashMarks.mergeTotals(d.clock.now(), reports) }
	d.path.crashMarks.threshold = reportedPoisonThreshold
	d.path.transport = newTransport(catalogueConnectionLimits)
	d.path.steps = catalogueSteps
	d.path.publishCrashMarks = func() {}
	d.path.tokens = d.newTokenClient()
	d.lease.onRoutes = d.followRoutes
	prober := newLoadProber(d)
	if s.Catalogue.Relay.Address != "" {
		d.setUpRelay(prober)
	}
	d.path.selector = &engineSelector{engine: engine, clock: d.clock, prober: prober, path: d.path.serverPath()}
}

// newTokenClient returns the client for the tokens of workspaces with a quota.
func (d *daemon) newTokenClient() *tokens.Client {
	q := d.settings.Catalogue.Quota
	bounds := quota.Bounds{Window: time.Duration(q.WindowSeconds * float64(time.Second)), Overage: q.Overage, Slack: q.Slack}
	c := &tokens.Client{
		Wallet: quota.NewWallet(bounds), Now: d.clock.now, Call: d.callTokenOwner,
		Owner: func(slot int) uint64 {
			if owners := d.lease.Current().catalogue.quotaOwners; slot < len(owners) {
				return owners[slot]
			}
			return 0
		},
		Count: func(o tokens.Outcome) { d.counters.Counter("quota_tokens", "outcome", string(o)).Inc(1) },
	}
	return c
}

// followRoutes adapts to a route table that comes into use.
func (d *daemon) followRoutes(t *routes.Table) {
	d.path.tokens.Wallet.Keep(func(workspace string) bool { _, ok := t.CallerOf(workspace); return ok })
	limitBodies(d.path.bodies, d.settings.Catalogue.MemoryMB, t.MaxBodyBytes())
}

// callTokenOwner calls the replica with an identity.
func (d *daemon) callTokenOwner(ctx context.Context, id uint64, r *controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error) {
	replica, ok := d.lease.replicas.byID(id)
	if !ok {
		return nil, nil // the membership with the owner arrives with one of the next answers
	}
	conn, err := d.tokenConnections.get(replica.Name, replica.Address)
	if err != nil {
		return nil, err
	}
	answer, err := controlpb.NewQuotasClient(conn).Take(ctx, r)
	d.tokenConnections.recordResult(conn, err)
	return answer, err
}

// setUpRelay creates the parts that pass requests on to other gateways.
func (d *daemon) setUpRelay(prober *loadProber) {
	transport := d.path.transport.(*http.Transport)
	path := newServerPath(d.clock, transport, d.log, d.counters)
	path.targets = func() []pathTarget { return prober.pathTargets(d.lease.Current().catalogue.servers) }
	path.target, path.statements = prober.target, prober.statements
	transport.DialContext = path.watchDials(transport.DialContext)
	path.connecting = &http.Client{CheckRedirect: noRedirect, Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			return transport.DialContext(ctx, network, address)
		},
	}}
	path.onCutOff = transport.CloseIdleConnections // they may hang, and a request must not be written on one later
	prober.path = path
	d.path.relay = &relayClient{relays: balance.NewRelays(d.settings.Region, d.settings.FailureDomain), transport: newRelayTransport(), path: path, clock: d.clock}
}

const (
	// nearFullLatencyFactor is the factor by which a request takes longer at a server whose slots are nearly all in use;
	// docs/platform.md names the measurement.
	nearFullLatencyFactor = 1.7
	// retryRatioFraction and retrySlackFraction are the fractions of the ratio and of the slack of the retry budget that
	// gateways use. They are below 1 because the windows in which requests and retries are counted differ.
	retryRatioFraction = 0.9
	retrySlackFraction = 0.8
)

// retryBurst returns the number of unused retries that one of the given number of gateways may accumulate: its share of the
// slack of the retry budget, but at least 1.
func retryBurst(b settings.RetryBudget, gateways int) int64 {
	return max(int64(b.Slack*retrySlackFraction/float64(max(gateways, 1))), 1)
}
