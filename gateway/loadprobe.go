package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/telemetry"
)

const (
	// probeSettleTime is how long a selection waits for further answers once one has come; servers of the region answer
	// within a few milliseconds.
	probeSettleTime = 6 * time.Millisecond
	// firstProbeTimeout is how long a selection waits for the first answer, which may come from another region.
	firstProbeTimeout = 40 * time.Millisecond
	// loadProbeTimeout ends a probe whose answer is of no more use to anyone.
	loadProbeTimeout = 300 * time.Millisecond
	// muteDuration is how long a service whose answers tell no load is not asked.
	muteDuration = 10 * time.Second
	// maxProbingSelections is the number of selections of a gateway that probe at the same time. A small instance answers fewer
	// probes within their patience than a crowd of requests sends; those that wait find the readings of the others.
	maxProbingSelections = 4
	// probeSlotWait is how long a selection waits for others that probe; it then does without.
	probeSlotWait = 100 * time.Millisecond
	// maxProbeConnections is the number of connections to one server that probes use while requests use the others.
	maxProbeConnections = 2
)

// loadProber asks a few servers for their load right before a selection. Only services whose servers tell their load are
// asked: the others answer a health check like any request, after waiting for a slot.
type loadProber struct {
	client     *http.Client
	dialect    *Dialect
	clock      clock
	healthPath func(service string) string
	counters   *telemetry.Metrics

	// probeSlots bounds the selections that probe at the same time.
	probeSlots chan struct{}

	mu         sync.Mutex
	mutedUntil map[string]time.Duration // by service: not to be asked before
}

func newLoadProber(d *daemon) *loadProber {
	return &loadProber{
		client:  &http.Client{Transport: d.path.transport, CheckRedirect: noRedirect},
		dialect: d.path.dialect, clock: d.clock, counters: d.counters, probeSlots: make(chan struct{}, maxProbingSelections), mutedUntil: map[string]time.Duration{},
		healthPath: func(service string) string {
			if t := d.lease.Current().catalogue.routes; t != nil && t.Services[service] != nil {
				return t.Services[service].HealthPath
			}
			return ""
		},
	}
}

// refresh probes the servers that a selection may choose, and waits a moment for their answers. brief asks the first few only;
// a request that waits looks again, and probes are work for a small instance.
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

// acquireSlot waits for the right to probe. It reports false if that takes too long or ctx ends.
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

// probeAll probes servers and waits a moment for their answers.
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

func (p *loadProber) mute(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mutedUntil[service] = p.clock.now() + muteDuration
}

// probe asks one server and reports whether it told its load.
func (p *loadProber) probe(service, path string, t balance.ProbeTarget) bool {
	ctx, cancel := context.WithTimeout(withProbeGate(context.Background()), loadProbeTimeout)
	defer cancel()
	sent := p.clock.now()
	p.counters.UnlabeledCounter("probes").Inc(1)
	response, err := getProbe(ctx, p.client, t.Address, path)
	if err != nil {
		p.counters.UnlabeledCounter("probes_unanswered").Inc(1)
		return false
	}
	report := p.dialect.ParseReport(response.Header)
	if report.Slots == 0 {
		p.mute(service)
		return false
	}
	if response.StatusCode != http.StatusOK || (report.Server != "" && report.Server != t.ID) {
		return false
	}
	t.Observe(balance.Reading{At: sent, InFlight: report.InFlight, Slowness: report.Slowness, ColdRemaining: report.ColdRemaining})
	return true
}
