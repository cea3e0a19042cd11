package gateway

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"google.golang.org/grpc"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/gossippb"
	"heatherwall.example/gateway/body"
	"heatherwall.example/gateway/connlimit"
	"heatherwall.example/gateway/pipeline"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// Addresses holds the addresses that the listeners are bound to.
type Addresses struct {
	Callers  string
	Announce string
	Peer     string
	Admin    string
	Relay    string
}

// ListenError reports a listener that could not be opened.
type ListenError struct {
	Listener string
	Address  string
	Err      error
}

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen for %s on %s: %v", e.Listener, e.Address, e.Err)
}
func (e *ListenError) Unwrap() error { return e.Err }

// Run serves until ctx ends, then drains and returns. It calls ready once when all listeners are open; ready may be nil.
// Errors before that are *ListenError or *settings.FileError. A drain that times out is not an error.
func Run(ctx context.Context, s *settings.Gateway, log *telemetry.Logger, ready func(Addresses), o Options) error {
	return RunBench(ctx, s, log, ready, o, BenchOptions{})
}

// Options are the options of Run. The zero value selects the product's own dialect.
type Options struct {
	// Dialect selects the header names used with callers and backend servers; nil for the product's own.
	Dialect *Dialect
	// Reload delivers the settings after each change of the settings file. Only the discovery seeds take effect without a
	// restart. It may be nil.
	Reload <-chan *settings.Gateway
}

// RunBench is Run with parts of the gateway replaced by baselines for benchmarks.
func RunBench(ctx context.Context, s *settings.Gateway, log *telemetry.Logger, ready func(Addresses), options Options, o BenchOptions) error {
	d, err := newDaemon(s, log, options)
	if err != nil {
		return err
	}
	if o.TwoChoices {
		d.path.selector = &twoChoices{state: d.state, configuration: d.lease}
	}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return err
	}
	return d.run(ctx, ready)
}

// daemon is one running gateway.
type daemon struct {
	settings           *settings.Gateway
	log                *telemetry.Logger
	counters           *telemetry.Metrics
	clock              clock
	identity           *identity
	controlConnections *connectionPool
	gatewayConnections *connectionPool
	// tokenConnections are those to the replicas that give tokens of workspaces.
	tokenConnections *connectionPool

	lease  *leaseClient
	claims *claimClient
	// state is nil in catalogue mode, backends is nil in document mode.
	state    *gossipState
	backends *catalogueBackends
	reload   <-chan *settings.Gateway
	path     *requestPath
	prober   *httpStateProber

	listeners map[string]net.Listener
	servers   map[string]*http.Server
	// ahead is the listener for callers, which reads requests ahead; nil if callers use TLS.
	ahead      *pipeline.Listener
	peerServer *grpc.Server
	goroutines sync.WaitGroup
}

func newDaemon(s *settings.Gateway, log *telemetry.Logger, o Options) (*daemon, error) {
	id, err := loadIdentity(s.Name, s.Peer)
	if err != nil {
		return nil, err
	}
	incarnation := uint64(time.Now().UnixMilli())
	dial := dialPeers(id)
	d := &daemon{
		settings: s, log: log, counters: telemetry.NewMetrics(), clock: newClock(), identity: id, reload: o.Reload,
		controlConnections: newConnectionPool(dial), gatewayConnections: newConnectionPool(dial), tokenConnections: newConnectionPool(dial), prober: newHTTPStateProber(),
	}
	meter := &byteMeter{}
	d.lease = &leaseClient{
		replicas: newReplicaList(s), dial: dialPeers(id, grpc.WithContextDialer(meter.dialContext)), meter: meter, compile: compileSections, clock: d.clock, log: log, counters: d.counters,
		status: func() *controlpb.GatewayStatus { return d.status(incarnation) }, onChange: d.configure, onGatewaysListed: d.join,
	}
	d.path = &requestPath{
		region: s.Region, dialect: cmp.Or(o.Dialect, nativeDialect), maxRequests: int64(s.MaxRequests), clock: d.clock, configuration: d.lease,
		bodies: body.NewBudget(maxBufferedBodyBytes), claimHolders: newClaimHolderIDs(s.Name, incarnation), crashMarks: newCrashMarkTable(s.Name),
		transport: newTransport(defaultConnectionLimits), log: log, counters: d.counters, logLimiter: telemetry.NewLineLimiter(maxRequestLogLines, d.counters),
	}
	if s.Catalogue != nil {
		d.setUpCatalogueMode()
	} else {
		d.setUpDocumentMode(incarnation)
	}
	return d, nil
}

// join introduces this gateway to the other gateways, then lets it serve requests. The crash marks of the others must be
// known here before the first request is accepted, because a poison request may come next.
func (d *daemon) join(ctx context.Context) {
	d.goroutines.Go(func() {
		peers, answered := d.state.introduceToPeers(ctx, d.peerAddress())
		d.path.joining.Store(false)
		d.log.Log(eventJoined, telemetry.F("peers", peers), telemetry.F("answered", answered))
	})
}

// configure passes a confirmed configuration to the goroutine that owns the balance engine.
func (d *daemon) configure(l *lease) {
	if d.path.relay != nil {
		d.path.relay.update(d.settings.Name, l.gateways)
	}
	if d.backends != nil {
		d.backends.configure(l)
		return
	}
	d.state.configure(l)
	d.gatewayConnections.keepOnly(d.state.peerAddresses())
}

func (d *daemon) status(incarnation uint64) *controlpb.GatewayStatus {
	s := &controlpb.GatewayStatus{
		Name: d.settings.Name, Incarnation: incarnation, Region: d.settings.Region, FailureDomain: d.settings.FailureDomain,
		PeerAddress: d.peerAddress(), Draining: d.path.stopping.Load(), InFlight: map[string]uint32{},
		RelayAddress: d.relayAddress(), ServersUnreachable: d.path.serverPath().isCutOff(),
	}
	for _, domain := range configDomainsOut(d.lease.Current().config) {
		s.InFlight[domain] = uint32(d.path.inFlightByDomain.get(domain))
	}
	return s
}

// peerAddress returns the address at which other gateways reach the peer listener, or "" without a peer listener.
func (d *daemon) peerAddress() string {
	if d.settings.Peer.Address == "" {
		return ""
	}
	if d.settings.Peer.Advertise != "" {
		return d.settings.Peer.Advertise
	}
	return d.listeners["peer"].Addr().String()
}

// listen opens all listeners, before any of them serves requests.
func (d *daemon) listen() error {
	d.listeners = map[string]net.Listener{}
	d.servers = map[string]*http.Server{"callers": d.callerServer(), "admin": d.adminServer()}
	open := map[string]settings.Listener{"callers": d.settings.Callers, "admin": d.settings.Admin}
	if d.settings.Metrics.Address != "" {
		d.servers["metrics"] = d.metricsServer()
		open["metrics"] = d.settings.Metrics
	}
	if d.path.relay != nil {
		d.servers["relay"] = d.relayServer()
		open["relay"] = d.settings.Catalogue.Relay
	}
	if d.state != nil {
		d.servers["announce"] = d.announceServer()
		open["announce"], open["peer"] = d.settings.Announce, d.settings.Peer
	}
	for name, l := range open {
		listener, err := net.Listen("tcp", l.Address)
		if err != nil {
			return &ListenError{Listener: name, Address: l.Address, Err: err}
		}
		d.listeners[name] = listener
		if name == "callers" {
			limited := connlimit.NewListener(listener, connlimit.FromDescriptors(), d.countConnection)
			d.servers[name].ConnState = limited.ConnState
			listener, d.listeners[name] = limited, limited
		}
		if name == "callers" && l.TLS == nil {
			d.ahead = pipeline.NewListener(listener, pipeline.DefaultLimits, d.countReadAhead)
			d.listeners[name] = d.ahead
		}
		if name == "peer" || l.TLS == nil {
			continue
		}
		if d.servers[name].TLSConfig, err = listenerTLS(l.TLS); err != nil {
			return err
		}
	}
	if d.state != nil {
		d.peerServer = api.NewServer(d.identity.serverConfig(), maxPeerMessageBytes)
		gossippb.RegisterGossipServer(d.peerServer, &gossipService{state: d.state})
		controlpb.RegisterGatewayLoadsServer(d.peerServer, &loadService{d: d})
	}
	return nil
}

// listenerTLS loads the TLS configuration of a listener. Client certificates are required only if an authority is set;
// without one, callers and backend servers may use TLS 1.2.
func listenerTLS(t *settings.TLS) (*tls.Config, error) {
	c, err := t.Load()
	if err != nil {
		return nil, err
	}
	if t.Authority == "" {
		c.MinVersion = tls.VersionTLS12
	}
	return c, nil
}

func (d *daemon) countReadAhead(event string) {
	d.counters.Counter("read_ahead", "event", event).Inc(1)
}

func (d *daemon) countConnection(event string) {
	d.counters.Counter("caller_connections_over_limit", "event", event).Inc(1)
}

func (d *daemon) closeListeners() {
	for _, l := range d.listeners {
		_ = l.Close()
	}
}

func (d *daemon) addresses() Addresses {
	of := func(name string) string {
		if l := d.listeners[name]; l != nil {
			return l.Addr().String()
		}
		return ""
	}
	return Addresses{Callers: of("callers"), Announce: of("announce"), Peer: of("peer"), Admin: of("admin"), Relay: of("relay")}
}

func (d *daemon) run(ctx context.Context, ready func(Addresses)) error {
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if d.backends != nil {
		d.goroutines.Go(func() { d.backends.run(background) })
		d.goroutines.Go(func() { d.handleReloads(background) })
		d.goroutines.Go(func() { d.path.routeVerifier.run(background) })
	} else {
		d.goroutines.Go(func() { d.state.run(background) })
		d.goroutines.Go(func() { _ = d.peerServer.Serve(d.listeners["peer"]) })
	}
	if d.path.relay != nil {
		d.goroutines.Go(func() { d.path.relay.path.run(background) })
	}
	d.goroutines.Go(func() { d.lease.Run(background) })
	for name, server := range d.servers {
		d.goroutines.Go(func() { serveHTTP(server, d.listeners[name]) })
	}
	a := d.addresses()
	d.log.Log(eventStarted, telemetry.F("callers", a.Callers), telemetry.F("announce", a.Announce), telemetry.F("peer", a.Peer), telemetry.F("admin", a.Admin), telemetry.F("relay", a.Relay))
	if ready != nil {
		ready(a)
	}
	<-ctx.Done()
	d.drain()
	stop()
	d.close()
	return nil
}

// handleReloads applies the discovery seeds of reloaded settings until ctx ends.
func (d *daemon) handleReloads(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-d.reload:
			if s.Discovery != nil {
				d.lease.replicas.setSeeds(s.Discovery.PeerAddresses())
				d.log.Log(eventReloaded, telemetry.F("seeds", s.Discovery.PeerAddresses()))
			}
		}
	}
}

// serveHTTP serves on a listener, with TLS if the server has a TLS configuration. It returns when the server is closed.
func serveHTTP(s *http.Server, l net.Listener) {
	if ahead, ok := l.(*pipeline.Listener); ok {
		pipeline.Serve(s, ahead)
		return
	}
	if s.TLSConfig != nil {
		_ = s.ServeTLS(l, "", "")
		return
	}
	_ = s.Serve(l)
}
