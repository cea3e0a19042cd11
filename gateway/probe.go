package gateway

import (
	"context"
	"net/http"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/membership"
)

// Cost and duration of one probe.
const (
	probeTimeout = time.Second
	// probeBytes is charged for a probe and its answer, packet headers included.
	probeBytes = 700
	probePath  = "/.heatherwall/state"
)

// probeReport is what a backend server answers to a probe.
type probeReport struct {
	state    balance.State
	inflight int
	slots    int
}

// prober asks a backend server for its state.
type prober interface {
	Probe(ctx context.Context, address string) (probeReport, error)
}

// StateProbeError reports a probe answer without a usable state.
type StateProbeError struct {
	Address string
	Status  int
}

func (e *StateProbeError) Error() string {
	return "probe of " + e.Address + ": no state in the answer, status " + http.StatusText(e.Status)
}

// httpProber sends probes over its own connections, so that they do not wait behind requests.
type httpProber struct {
	client *http.Client
}

func newHTTPProber() *httpProber {
	return &httpProber{client: newProbeClient(1, idleConnectionTimeout)}
}

// Probe implements prober.
func (p *httpProber) Probe(ctx context.Context, address string) (probeReport, error) {
	answer, err := getProbe(ctx, p.client, address, probePath)
	if err != nil {
		return probeReport{}, err
	}
	report := nativeDialect.ParseReport(answer.Header)
	state, ok := reportedState(report.State)
	if !ok {
		return probeReport{}, &StateProbeError{Address: address, Status: answer.StatusCode}
	}
	return probeReport{state: state, inflight: report.InFlight, slots: report.Slots}, nil
}

// probe asks a server for evidence if the budget of measuring permits it; at most one probe for a server is under way.
func (s *gossipState) probe(ctx context.Context, now time.Duration, n balance.Notice) {
	server, known := s.registry.Server(n.Address)
	if !known || s.probing[n.Address] {
		return
	}
	if !s.limiter.TakeLowPriority(now, s.budgetScope(server.Record.GetRegion()), probeBytes) {
		s.counters.Counter("measuring_denied", "kind", "probe").Inc(1)
		return
	}
	s.probing[n.Address] = true
	s.counters.UnlabeledCounter("probes").Inc(1)
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		report, err := s.prober.Probe(ctx, n.Address)
		s.do(func(time.Duration) {
			delete(s.probing, n.Address)
			if err == nil {
				s.probed(now, server, report)
			}
		})
	})
}

// probed takes the answer to a probe sent at a given time. A server that drains is no evidence.
func (s *gossipState) probed(sent time.Duration, server membership.Server, r probeReport) {
	address := server.Record.GetAddress()
	if r.state != balance.StateDraining {
		s.registry.RecordEvidence(address, sent)
	}
	s.engine.Apply(balance.StateReported{Address: address, At: sent, State: r.state, InFlight: r.inflight, Slots: r.slots})
}
