package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/telemetry"
)

// startIdleServer starts a server that reports an idle load on every path. It returns its address and the number of
// connections that it accepted.
func startIdleServer(t *testing.T) (address string, connections *atomic.Int32) {
	connections = &atomic.Int32{}
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerLoad, "0/2") }))
	s.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), connections
}

// newTestLoadProber returns a loadProber on the connections of a transport to backend servers.
func newTestLoadProber(t *testing.T) *loadProber {
	transport := newTransport(catalogueConnectionLimits)
	t.Cleanup(transport.CloseIdleConnections)
	clock, counters := newClock(), telemetry.NewMetrics()
	statements := &statementReader{
		dialect: nativeDialect, clock: clock, counters: counters,
		log: telemetry.NewLogger(io.Discard, telemetry.Info), limiter: telemetry.NewLineLimiter(maxRequestLogLines, counters),
	}
	return &loadProber{
		client: &http.Client{Transport: transport, CheckRedirect: noRedirect}, statements: statements, clock: clock,
		healthPath: func(string) string { return "/healthz" }, counters: counters, probeSlots: make(chan struct{}, maxProbingSelections), mutedUntil: map[string]time.Duration{},
	}
}

// newOneServerEngine returns an engine with one server of the service "labels".
func newOneServerEngine(p *loadProber, address string) *balance.Engine {
	e := balance.New(balance.Config{Region: "north", FailureDomain: "north-a", EvidenceLifetime: noExpiry})
	e.Apply(balance.ServerChanged{Server: balance.Server{Address: address, Service: "labels", Region: "north", FailureDomain: "north-a", Slots: 2, EvidenceAt: p.clock.now()}})
	return e
}

// Guards against sending a request on another connection than the one that its probe has just used. A server that drops
// idle connections would reset the request, which may then have run.
func TestRequestUsesTheConnectionOfItsProbe(t *testing.T) {
	address, connections := startIdleServer(t)
	p := newTestLoadProber(t)
	q := &balance.Query{Now: p.clock.now(), Service: "labels", AnyRegion: true}
	p.refresh(t.Context(), newOneServerEngine(p, address).Current(), q, false)
	ctx := withGate(context.Background(), &sendGate{check: func() error { return nil }})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/x", nil)
	must(t, err)
	answer, err := p.client.Transport.RoundTrip(r)
	must(t, err)
	_ = answer.Body.Close()
	if n := connections.Load(); n != 1 || !q.PreferProbed {
		t.Errorf("%d connections for a probe and a request, probed %t; want 1", n, q.PreferProbed)
	}
}

// Guards against a probe that fails because the server has closed the idle connection on which it was sent.
func TestProbeOpensAnotherConnection(t *testing.T) {
	address, connections := startIdleServer(t)
	p := newTestLoadProber(t)
	target := newOneServerEngine(p, address).Current().ProbeTargets(&balance.Query{Now: p.clock.now(), Service: "labels", AnyRegion: true}, false)
	if !p.probe("labels", "/healthz", target[0]) {
		t.Fatal("the first probe failed")
	}
	gate := &sendGate{check: func() error { return nil }, allowsReconnect: true}
	stale, fresh := newBackendConn(nil), newBackendConn(nil)
	if gate.permitWrite(stale) != nil || gate.permitWrite(fresh) != nil {
		t.Error("a probe may not be written to another connection")
	}
	if !p.probe("labels", "/healthz", target[0]) || connections.Load() != 1 {
		t.Errorf("the second probe opened connection %d", connections.Load())
	}
}

// Guards against a burst of requests that send more probes than a server can answer in time, and against requests that
// wait without limit for a probe slot.
func TestConcurrentProbingIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &loadProber{probeSlots: make(chan struct{}, maxProbingSelections)}
		for range maxProbingSelections {
			if !p.acquireSlot(t.Context()) {
				t.Fatal("a selection within the limit had to wait")
			}
		}
		start := time.Now()
		if p.acquireSlot(t.Context()) || time.Since(start) != probeSlotWait {
			t.Errorf("a selection above the limit got a probe slot, or waited %s", time.Since(start))
		}
		time.AfterFunc(probeSlotWait/2, func() { <-p.probeSlots })
		if !p.acquireSlot(t.Context()) {
			t.Error("a selection got no probe slot after another had released one")
		}
	})
}

// Guards against refusing a late request although a server outside the first few probes is idle, and against polling
// requests that probe all servers at each poll.
func TestPollingRequestProbesFewerServers(t *testing.T) {
	p := newTestLoadProber(t)
	e := balance.New(balance.Config{Name: "gw-1", Region: "north", FailureDomain: "north-a", EvidenceLifetime: noExpiry})
	asked := &atomic.Int32{}
	for range 12 {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			asked.Add(1)
			w.Header().Set(headerLoad, "2/2")
		}))
		t.Cleanup(s.Close)
		e.Apply(balance.ServerChanged{Server: balance.Server{Address: s.Listener.Addr().String(), Service: "labels", Region: "north", FailureDomain: "north-a", Slots: 2}})
	}
	first := 0
	for _, brief := range []bool{true, false} {
		asked.Store(0)
		p.refresh(t.Context(), e.Current(), &balance.Query{Now: p.clock.now(), Service: "labels", AnyRegion: true, Late: true}, brief)
		if brief {
			time.Sleep(100 * time.Millisecond) // lets the readings of the first pass expire, and late probes arrive
			first = int(asked.Load())
			continue
		}
		// A selection waits for answers for a limited time only; on a busy machine, its probes arrive after that.
		eventually(t, "a late request that does not poll probes more servers than one that polls", func() bool { return int(asked.Load()) > first })
	}
	if first > 3 {
		t.Errorf("%d servers probed for a request that polls, want 3 at most", first)
	}
	if first == 0 {
		t.Error("no server was probed for a request that polls")
	}
}

// Guards against one server with an odd load that stops the probes of its whole service, and against odd loads in the
// product's own header that become readings.
func TestOddLoadDoesNotStopTheProbesOfOthers(t *testing.T) {
	for _, load := range []string{"-5/8", "9223372036854775808/8", "0/4294967295", "0/0", "1e3/8", "0/NaN", "text"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(headerLoad, load) }))
		p := newTestLoadProber(t)
		target := newOneServerEngine(p, s.Listener.Addr().String()).Current().ProbeTargets(&balance.Query{Now: p.clock.now(), Service: "labels", AnyRegion: true}, false)[0]
		if p.probe("labels", "/healthz", target) || p.isMuted("labels") {
			t.Errorf("load %q: a reading, or the service is not probed any more (%t)", load, p.isMuted("labels"))
		}
		s.Close()
	}
}
