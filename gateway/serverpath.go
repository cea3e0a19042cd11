package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/gateway/headscan"
	"heatherwall.example/telemetry"
)

const (
	serverPathTick = 50 * time.Millisecond
	// pathTargetsInterval is the time between two lists of the servers that can be probed.
	pathTargetsInterval = time.Second
	// pathProbeTimeout bounds a probe that tells whether any server can be reached.
	pathProbeTimeout = 300 * time.Millisecond
)

// serverPath watches whether this gateway reaches backend servers at all. A nil serverPath always reaches them.
type serverPath struct {
	reach  *balance.Reachability
	clock  clock
	client *http.Client
	// connecting opens a connection for each probe.
	connecting *http.Client
	targets    func() []pathTarget
	// target finds a server of the engine by its address; nil if servers are not watched.
	target     func(address string) (balance.ProbeTarget, bool)
	statements *statementReader
	log        *telemetry.Logger
	counters   *telemetry.Metrics
	// onCutOff is called when the gateway is cut off from all servers.
	onCutOff func()

	// listed holds the result of targets at listedAt. Only run uses them.
	listed   []pathTarget
	listedAt time.Duration

	broken brokenConnections
	// waiting is the number of requests that wait for the response of a server.
	waiting atomic.Int64
	state   atomic.Uint32 // balance.ReachState as of the last tick
	// cutOff is cancelled when the gateway is cut off, and replaced when servers answer again.
	cutOff atomic.Pointer[cutOffSignal]
}

// cutOffSignal is a context that is cancelled when the gateway is cut off.
type cutOffSignal struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// pathTarget is a server that can be probed, with the path of its health check.
type pathTarget struct {
	address string
	path    string
	// slow is set if the server queues health checks like requests. It is probed on a new connection, which it accepts at once.
	slow bool
	// server is the server in the engine; known is false if it is not there.
	server balance.ProbeTarget
	known  bool
}

// check returns an error if the server may not be probed.
func (t pathTarget) check(now time.Duration) error {
	if !t.known {
		return nil
	}
	return checkStanding(t.server, now)
}

func newServerPath(c clock, transport http.RoundTripper, log *telemetry.Logger, counters *telemetry.Metrics) *serverPath {
	s := &serverPath{reach: balance.NewReachability(), clock: c, client: &http.Client{Transport: transport, CheckRedirect: noRedirect}, log: log, counters: counters}
	s.renewSignal()
	return s
}

func (s *serverPath) renewSignal() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cutOff.Store(&cutOffSignal{ctx, cancel})
}

// run probes servers where needed and follows the state until ctx ends.
func (s *serverPath) run(ctx context.Context) {
	ticker := time.NewTicker(serverPathTick)
	defer ticker.Stop()
	defer func() { s.cutOff.Load().cancel() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.tick(ctx)
		}
	}
}

func (s *serverPath) tick(ctx context.Context) {
	if now := s.clock.now(); len(s.listed) == 0 || now-s.listedAt >= pathTargetsInterval {
		s.listed, s.listedAt = s.targets(), now
	}
	targets := s.listed
	state, probes := s.reach.Tick(s.clock.now(), len(targets), s.waiting.Load() > 0)
	s.enter(state, len(targets))
	if probes == 0 {
		return
	}
	for _, i := range rand.Perm(len(targets))[:min(probes, len(targets))] {
		go s.probe(ctx, targets[i])
	}
}

// enter publishes the state and logs its changes.
func (s *serverPath) enter(state balance.ReachState, servers int) {
	before := balance.ReachState(s.state.Swap(uint32(state)))
	if before == state {
		return
	}
	s.counters.Gauge("servers_unreachable").Update(boolGauge(state == balance.CutOff))
	switch state {
	case balance.CutOff:
		s.log.Log(eventServersUnreachable, telemetry.F("servers", servers))
		s.cutOff.Load().cancel()
		s.onCutOff()
	case balance.Returning:
		s.log.Log(eventServersReturning, telemetry.F("servers", servers))
		s.renewSignal()
	case balance.Reached:
		s.log.Log(eventServersReached, telemetry.F("servers", servers))
	}
}

func boolGauge(v bool) int64 {
	if v {
		return 1
	}
	return 0
}

func (s *serverPath) probe(ctx context.Context, t pathTarget) {
	ctx, _ = withProbeGate(ctx, func() error { return t.check(s.clock.now()) })
	ctx, cancel := context.WithTimeout(ctx, pathProbeTimeout)
	defer cancel()
	s.counters.UnlabeledCounter("path_probes").Inc(1)
	s.asked(t.address)
	client := s.client
	if t.slow {
		client = s.connecting
	}
	response, err := getProbe(ctx, client, t.address, t.path)
	s.ended(t.address, err)
	if err == nil && t.known {
		s.statements.read(t.server, probed(t.server), response)
	}
}

// dialContext opens a connection, like net.Dialer.DialContext.
type dialContext func(ctx context.Context, network, address string) (net.Conn, error)

// watchDials returns a dialContext that records how attempts to connect to servers end. They show a cut also where servers
// are not probed before a selection.
func (s *serverPath) watchDials(dial dialContext) dialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		s.asked(address)
		conn, err := dial(ctx, network, address)
		s.ended(address, err)
		return conn, err
	}
}

// asked records that a probe was sent, a connection is being opened, or one has failed. Servers that are leaving or paused do
// not count, because they may refuse connections.
func (s *serverPath) asked(address string) {
	if s == nil {
		return
	}
	now := s.clock.now()
	if s.target != nil {
		if t, known := s.target(address); known && t.Standing(now).ForbidsSending() {
			return
		}
	}
	s.reach.Asked(address, now)
}

// ended records how a probe or an attempt ended. An invalid response proves that the path works as well as a valid one. A
// timeout of ours proves nothing by itself; what was asked stays unanswered.
func (s *serverPath) ended(address string, err error) {
	var invalid *headscan.Error
	switch {
	case s == nil:
	case err == nil, errors.As(err, &invalid):
		s.reach.Answered(s.clock.now())
	case !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, context.Canceled):
		s.asked(address)
	}
}

// attemptEnded records how an attempt at a server ended.
func (s *serverPath) attemptEnded(a *attempt, err error) {
	var forbidden *SendForbiddenError
	if s == nil || a.abandoned || errors.As(err, &forbidden) {
		return
	}
	var unreachable *UnreachableError
	if errors.As(err, &unreachable) {
		s.asked(a.server.address)
		return
	}
	s.ended(a.server.address, err)
}

// isCutOff reports whether it is certain that no server can be reached.
func (s *serverPath) isCutOff() bool {
	return s != nil && balance.ReachState(s.state.Load()) == balance.CutOff
}

// isDoubtful reports whether this gateway is or may be cut off, so that a failure says nothing about a server.
func (s *serverPath) isDoubtful() bool {
	return s != nil && s.reach.IsSuspect(s.clock.now())
}

// avoidsServers reports whether a request should be passed on at once. While servers return, a part of the requests is.
func (s *serverPath) avoidsServers() bool {
	return rand.Float64() >= s.reach.DirectShare(s.clock.now())
}

// watch counts the attempt as waiting, and ends it when the gateway is cut off: always if nothing was written, and otherwise
// if the request may be run again. The caller must call the function that it returns.
func (s *serverPath) watch(a *attempt, idempotent bool) (stop func()) {
	if s == nil {
		return func() {}
	}
	s.waiting.Add(1)
	release := context.AfterFunc(s.cutOff.Load().ctx, func() {
		if wrote, _ := a.gate.stop(); (!wrote || idempotent) && a.settled.CompareAndSwap(false, true) {
			a.cancel()
		}
	})
	return func() {
		s.waiting.Add(-1)
		release()
	}
}

// maxBrokenConnections limits the broken connections that are remembered.
const maxBrokenConnections = 64

// brokenConnections holds the connections to servers that broke last, the oldest first.
type brokenConnections struct {
	mu   sync.Mutex
	list []brokenConnection
}

type brokenConnection struct {
	address string
	at      time.Duration
}

// connectionBroke records that a server broke a connection.
func (s *serverPath) connectionBroke(address string, at time.Duration) {
	b := &s.broken
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.list) == maxBrokenConnections {
		b.list = slices.Delete(b.list, 0, 1)
	}
	b.list = append(b.list, brokenConnection{address, at})
}

// brokenAround returns the number of servers of which a connection broke within crashProofDelay of a time.
func (s *serverPath) brokenAround(at time.Duration) int {
	b := &s.broken
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := map[string]bool{}
	for _, c := range b.list {
		if (c.at - at).Abs() <= crashProofDelay {
			servers[c.address] = true
		}
	}
	return len(servers)
}
