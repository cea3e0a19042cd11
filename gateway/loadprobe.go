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
	// probeSettle is how long a selection waits for further answers once one has come; servers of the region answer
	// within a few milliseconds.
	probeSettle = 6 * time.Millisecond
	// probePatience is how long a selection waits for the first answer, which may come from another region.
	probePatience = 40 * time.Millisecond
	// loadProbeTimeout ends a probe whose answer is of no more use to anyone.
	loadProbeTimeout = 300 * time.Millisecond
	// mutePause is how long a service whose answers tell no load is not asked.
	mutePause = 10 * time.Second
	// probeRounds is the number of selections of a gateway that probe at the same time. A small instance answers fewer
	// probes within their patience than a crowd of requests sends; those that wait find the readings of the others.
	probeRounds = 4
	// roundWait is how long a selection waits for others that probe; it then does without.
	roundWait = 100 * time.Millisecond
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

	// rounds bounds the selections that probe at the same time.
	rounds chan struct{}

	mu    sync.Mutex
	muted map[string]time.Duration // by service: not to be asked before
}

func newLoadProber(d *daemon) *loadProber {
	return &loadProber{
		client:  &http.Client{Transport: d.path.transport, CheckRedirect: noRedirect},
		dialect: d.path.dialect, clock: d.clock, counters: d.counters, rounds: make(chan struct{}, probeRounds), muted: map[string]time.Duration{},
		healthPath: func(service string) string {
			if t := d.lease.Current().catalogue.routes; t != nil && t.Services[service] != nil {
				return t.Services[service].HealthPath
			}
			return ""
		},
	}
}

// ask probes the servers that a selection may choose, and waits a moment for their answers. brief asks the first few only;
// a request that waits looks again, and probes are work for a small instance.
func (p *loadProber) ask(ctx context.Context, s *balance.Snapshot, q *balance.Query, brief bool) {
	path := p.healthPath(q.Service)
	if path == "" || p.isMuted(q.Service) {
		return
	}
	q.PreferProbed = true
	if !p.enter(ctx) {
		return
	}
	defer func() { <-p.rounds }()
	q.Now = p.clock.now()
	p.askAll(ctx, q.Service, path, s.ProbeTargets(q, false))
	if q.Now = p.clock.now(); brief || s.HasIdleServer(q) {
		return
	}
	p.askAll(ctx, q.Service, path, s.ProbeTargets(q, true))
}

// enter waits for the right to probe. It reports false if that takes too long or ctx ends.
func (p *loadProber) enter(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, roundWait)
	defer cancel()
	select {
	case p.rounds <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// askAll probes servers and waits a moment for their answers.
func (p *loadProber) askAll(ctx context.Context, service, path string, targets []balance.ProbeTarget) {
	if len(targets) == 0 {
		return
	}
	answers := make(chan bool, len(targets))
	for _, t := range targets {
		go func() { answers <- p.probe(service, path, t) }()
	}
	limit := time.NewTimer(probePatience)
	defer limit.Stop()
	for range targets {
		select {
		case answered := <-answers:
			if answered {
				limit.Reset(probeSettle)
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
	return p.clock.now() < p.muted[service]
}

func (p *loadProber) mute(service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muted[service] = p.clock.now() + mutePause
}

// probe asks one server and reports whether it told its load.
func (p *loadProber) probe(service, path string, t balance.ProbeTarget) bool {
	ctx, cancel := context.WithTimeout(withProbe(context.Background()), loadProbeTimeout)
	defer cancel()
	sent := p.clock.now()
	p.counters.UnlabeledCounter("probes").Inc(1)
	answer, err := getProbe(ctx, p.client, t.Address, path)
	if err != nil {
		p.counters.UnlabeledCounter("probes_unanswered").Inc(1)
		return false
	}
	report := p.dialect.ParseReport(answer.Header)
	if report.Slots == 0 {
		p.mute(service)
		return false
	}
	if answer.StatusCode != http.StatusOK || (report.Server != "" && report.Server != t.ID) {
		return false
	}
	t.Observe(balance.Reading{At: sent, InFlight: report.InFlight, Slowness: report.Slowness, ColdRemaining: report.ColdRemaining})
	return true
}
