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
	stateProbeTimeout = time.Second
	// stateProbeBytes is charged for a probe and its answer, packet headers included.
	stateProbeBytes = 700
	stateProbePath  = "/.heatherwall/state"
)

// stateProbeResult is what a backend server answers to a probe.
type stateProbeResult struct {
	state    balance.State
	inFlight int
	slots    int
}

// stateProber asks a backend server for its state.
type stateProber interface {
	Probe(ctx context.Context, address string) (stateProbeResult, error)
}

// StateProbeError reports a probe answer without a usable state.
type StateProbeError struct {
	Address string
	Status  int
}

func (e *StateProbeError) Error() string {
	return "probe of " + e.Address + ": no state in the answer, status " + http.StatusText(e.Status)
}

// httpStateProber sends probes over its own connections, so that they do not wait behind requests.
type httpStateProber struct {
	client *http.Client
}

func newHTTPStateProber() *httpStateProber {
	return &httpStateProber{client: newProbeClient(1, idleConnectionTimeout)}
}

// Probe implements prober.
func (p *httpStateProber) Probe(ctx context.Context, address string) (stateProbeResult, error) {
	response, err := getProbe(ctx, p.client, address, stateProbePath)
	if err != nil {
		return stateProbeResult{}, err
	}
	report := nativeDialect.ParseReport(response.Header)
	state, ok := parseState(report.State)
	if !ok {
		return stateProbeResult{}, &StateProbeError{Address: address, Status: response.StatusCode}
	}
	return stateProbeResult{state: state, inFlight: report.InFlight, slots: report.Slots}, nil
}

// probe asks a server for evidence if the budget of measuring permits it; at most one probe for a server is under way.
func (s *gossipState) probe(ctx context.Context, now time.Duration, n balance.Notice) {
	server, known := s.registry.Server(n.Address)
	if !known || s.probing[n.Address] {
		return
	}
	if !s.limiter.TakeLowPriority(now, s.budgetScope(server.Record.GetRegion()), stateProbeBytes) {
		s.counters.Counter("measuring_denied", "kind", "probe").Inc(1)
		return
	}
	s.probing[n.Address] = true
	s.counters.UnlabeledCounter("probes").Inc(1)
	s.calls.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, stateProbeTimeout)
		defer cancel()
		report, err := s.prober.Probe(ctx, n.Address)
		s.do(func(time.Duration) {
			delete(s.probing, n.Address)
			if err == nil {
				s.recordProbe(now, server, report)
			}
		})
	})
}

// recordProbe takes the answer to a probe sent at a given time. A server that drains is no evidence.
func (s *gossipState) recordProbe(sent time.Duration, server membership.Server, r stateProbeResult) {
	address := server.Record.GetAddress()
	if r.state != balance.StateDraining {
		s.registry.RecordEvidence(address, sent)
	}
	s.engine.Apply(balance.StateReported{Address: address, At: sent, State: r.state, InFlight: r.inFlight, Slots: r.slots})
}
