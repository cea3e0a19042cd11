package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/balance"
	"heatherwall.example/telemetry"
)

const (
	// probeSettleTime is how long a selection waits for more responses after each response. Servers of the own region
	// respond within a few milliseconds.
	probeSettleTime = 6 * time.Millisecond
	// firstProbeTimeout limits the wait of a selection for the first response. It allows a server in another region to answer
	// on a new connection, which takes two round trips: without a reading, one request in four goes to a disturbed server.
	firstProbeTimeout = 70 * time.Millisecond
	// loadProbeTimeout is the timeout of one probe. A response that arrives later is too old to be used.
	loadProbeTimeout = 300 * time.Millisecond
	// muteDuration is how long a service is not probed after a response without a load report.
	muteDuration = 10 * time.Second
	// maxProbingSelections is the maximum number of concurrent selections that probe. A burst of requests would send more
	// probes than a small instance can answer before their timeout. Selections that wait reuse the readings of others.
	maxProbingSelections = 4
	// probeSlotWait is how long a selection waits for a probe slot before it goes on without probing.
	probeSlotWait = 100 * time.Millisecond
	// maxProbeConnections is the number of connections to one server that are reserved for probes.
	maxProbeConnections = 2
)

// loadProber probes the load of a few servers right before a selection. Services whose servers do not report their load
// are not probed, because those servers queue a health check like any request until a slot is free.
type loadProber struct {
	client     *http.Client
	clock      clock
	healthPath func(service string) string
	counters   *telemetry.Metrics
	path       *serverPath
	statements *statementReader
	// target finds a server of the engine by its address.
	target func(address string) (balance.ProbeTarget, bool)

	// probeSlots is a semaphore that limits the concurrent selections that probe.
	probeSlots chan struct{}

	mu         sync.Mutex
	mutedUntil map[string]time.Duration // by service; not probed before that time
}

func newLoadProber(d *daemon) *loadProber {
	return &loadProber{
		client:     &http.Client{Transport: d.path.transport, CheckRedirect: noRedirect},
		statements: d.path.statementReader(),
		target:     func(address string) (balance.ProbeTarget, bool) { return d.backends.engine.Current().Target(address) },
		clock:      d.clock, counters: d.counters, probeSlots: make(chan struct{}, maxProbingSelections), mutedUntil: map[string]time.Duration{},
		healthPath: func(service string) string {
			if t := d.lease.Current().catalogue.routes; t != nil && t.Services[service] != nil {
				return t.Services[service].HealthPath
			}
			return ""
		},
	}
}

// refresh probes the servers that the selection is likely to choose, waits for their responses, and updates q. If brief
// is set or an idle server is found, only the first few are probed: a polling request repeats its selection anyway, and
// each probe costs a small instance work.
func (p *loadProber) refresh(ctx context.Context, s *balance.Snapshot, q *balance.Query, brief bool) {
	path := p.healthPath(q.Service)
	if path == "" || p.isMuted(q.Service) {
		return
	}
	q.PreferProbed = true
	if !p.acquireSlot(ctx) {
		return
	}
	defer func() { <-p.probeSlots }()
	q.Now = p.clock.now()
	p.probeAll(ctx, q.Service, path, s.ProbeTargets(q, false))
	if q.Now = p.clock.now(); brief || s.HasIdleServer(q) {
		return
	}
	p.probeAll(ctx, q.Service, path, s.ProbeTargets(q, true))
}

// acquireSlot waits for a probe slot. It returns false after probeSlotWait or when ctx ends.
func (p *loadProber) acquireSlot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeSlotWait)
	defer cancel()
	select {
	case p.probeSlots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// probeAll probes the targets in parallel and waits until all have answered, or firstProbeTimeout or probeSettleTime
// has passed.
func (p *loadProber) probeAll(ctx context.Context, service, path string, targets []balance.ProbeTarget) {
	if len(targets) == 0 {
		return
	}
	results := make(chan bool, len(targets))
	for _, t := range targets {
		go func() { results <- p.probe(service, path, t) }()
	}
	limit := time.NewTimer(firstProbeTimeout)
	defer limit.Stop()
	for range targets {
		select {
		case answered := <-results:
			if answered {
				limit.Reset(probeSettleTime)
			}
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *loadProber) isMuted(service string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clock.now() < p.mutedUntil[service]
}

// pathTargets returns the servers that can be probed to learn whether any can be reached: those whose health checks answer
// at once or, if there are none, all. Servers that are leaving or paused are left out.
func (p *loadProber) pathTargets(servers map[string]*controlpb.BackendServer) []pathTarget {
	var quick, slow []pathTarget
	for _, s := range servers {
		path := p.healthPath(s.GetService())
		if path == "" || s.GetState() == controlpb.BackendState_BACKEND_DRAINING {
			continue
		}
		server, known := p.target(s.GetAddress())
		if known && server.Standing(p.clock.now()).ForbidsSending() {
			continue
		}
		t := pathTarget{address: s.GetAddress(), path: path, server: server, known: known, slow: p.isMuted(s.GetService())}
		if t.slow {
			slow = append(slow, t)
		} else {
			quick = append(quick, t)
		}
	}
	if len(quick) == 0 {
		return slow
	}
	return quick
}

func (p *loadProber) mute(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mutedUntil[service] = p.clock.now() + muteDuration
}

// probe probes one server and records its reading. It reports whether the response contained a usable load report.
func (p *loadProber) probe(service, path string, t balance.ProbeTarget) bool {
	ctx, gate := withProbeGate(context.Background(), func() error { return checkStanding(t, p.clock.now()) })
	ctx, cancel := context.WithTimeout(ctx, loadProbeTimeout)
	defer cancel()
	sent := p.clock.now()
	p.counters.UnlabeledCounter("probes").Inc(1)
	p.path.asked(t.Address)
	response, err := getProbe(ctx, p.client, t.Address, path)
	p.path.ended(t.Address, err)
	if err != nil {
		p.counters.UnlabeledCounter("probes_unanswered").Inc(1)
		return false
	}
	if response.Header.Get(p.statements.dialect.RequestID) != "" { // a probe has no identifier: the response is to an earlier request
		gate.closeConnection()
		p.counters.UnlabeledCounter("probes_mismatched").Inc(1)
		return false
	}
	report := p.statements.read(t, probed(t), response)
	if report.Slots == 0 {
		if !report.LoadInvalid { // an odd report is the fault of one server
			p.mute(service)
		}
		return false
	}
	if response.StatusCode != http.StatusOK || (report.Server != "" && report.Server != t.ID) { // also if it names a server, but none is expected
		return false
	}
	t.Observe(balance.Reading{At: sent, InFlight: report.InFlight, Slowness: report.Slowness, ColdRemaining: report.ColdRemaining})
	return true
}
