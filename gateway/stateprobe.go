package gateway

import (
	"context"
	"net/http"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/membership"
)

// Cost, timeout and path of a state probe.
const (
	stateProbeTimeout = time.Second
	// stateProbeBytes is charged to the measurement budget for a probe and its response, including packet headers.
	stateProbeBytes = 700
	stateProbePath  = "/.heatherwall/state"
)

// stateProbeResult is the state and load in the response to a state probe.
type stateProbeResult struct {
	state    balance.State
	inFlight int
	slots    int
}

// stateProber probes the state of a backend server.
type stateProber interface {
	Probe(ctx context.Context, address string) (stateProbeResult, error)
}

// StateProbeError reports a response to a state probe without a valid state.
type StateProbeError struct {
	Address string
	Status  int
}

func (e *StateProbeError) Error() string {
	return "probe of " + e.Address + ": no valid state in the response, status " + http.StatusText(e.Status)
}

// httpStateProber sends state probes on its own connections, so that they do not queue behind requests.
type httpStateProber struct {
	client *http.Client
}

func newHTTPStateProber() *httpStateProber {
	transport := newTransport(defaultConnectionLimits)
	transport.MaxIdleConnsPerHost = 1
	return &httpStateProber{client: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Probe implements stateProber.
func (p *httpStateProber) Probe(ctx context.Context, address string) (stateProbeResult, error) {
	ctx, _ = withProbeGate(ctx, func() error { return nil })
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

// probe starts a state probe of a server if the measurement budget permits it and no other probe of it is in flight.
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

// recordProbe records the result of a state probe that was sent at the given time. A response of a draining server does
// not count as evidence.
func (s *gossipState) recordProbe(sent time.Duration, server membership.Server, r stateProbeResult) {
	address := server.Record.GetAddress()
	if r.state != balance.StateDraining {
		s.registry.RecordEvidence(address, sent)
	}
	s.engine.Apply(balance.StateReported{Address: address, Incarnation: server.Record.GetIncarnation(), At: sent, State: r.state, InFlight: r.inFlight, Slots: r.slots})
}
