package gateway

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"io"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"heatherwall.example/api/gossippb"
	"heatherwall.example/balance"
	"heatherwall.example/balance/budget"
	"heatherwall.example/membership"
	"heatherwall.example/telemetry"
)

// contextOfPeer returns the context of a call by the peer with this name in its certificate.
func contextOfPeer(name string) context.Context {
	leaf := &x509.Certificate{Subject: pkix.Name{CommonName: name}}
	info := credentials.TLSInfo{State: tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{leaf}}}}
	return peer.NewContext(context.Background(), &peer.Peer{AuthInfo: info})
}

func startState(t *testing.T, name string, rates budget.Rates) *gossipState {
	t.Helper()
	s := &gossipState{
		name: name, region: "near", clock: newClock(), registry: membership.New(name, 1),
		engine: balance.New(balance.Config{Region: "near", FailureDomain: "near-1"}), limiter: budget.New(rates),
		crashMarks: newCrashMarkTable(name), log: telemetry.NewLogger(io.Discard, telemetry.Error),
		counters: telemetry.NewMetrics(), commands: make(chan func(time.Duration)), stopped: make(chan struct{}),
		probing: map[string]bool{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	go s.run(ctx)
	t.Cleanup(func() {
		cancel()
		<-s.stopped
	})
	return s
}

// Guards against answers to other gateways that exceed the measurement budget, and against requests under the name of
// another gateway.
func TestGossipAnswersStayWithinTheBudget(t *testing.T) {
	s := startState(t, "gw-1", budget.Rates{})
	service := &gossipService{state: s}
	if _, err := service.Exchange(contextOfPeer("gw-2"), &gossippb.ExchangeRequest{From: "gw-2"}); status.Code(err) != codes.ResourceExhausted {
		t.Fatalf("exchange without a budget: %v, want ResourceExhausted", err)
	}
	if spent := s.limiter.Totals(budget.AcrossRegions).Spent; spent != 0 {
		t.Errorf("%d bytes spent of an empty budget", spent)
	}
	if _, err := service.Exchange(contextOfPeer("gw-3"), &gossippb.ExchangeRequest{From: "gw-2"}); status.Code(err) != codes.PermissionDenied {
		t.Errorf("exchange under another name: %v, want PermissionDenied", err)
	}
}

// inProcessTransport calls the gossip service of another gossipState directly.
type inProcessTransport struct {
	from string
	to   map[string]*gossipState
}

func (e *inProcessTransport) OpeningBytes(membership.Peer) int { return 0 }

func (e *inProcessTransport) Exchange(_ context.Context, p membership.Peer, q *gossippb.ExchangeRequest) (*gossippb.ExchangeAnswer, error) {
	return (&gossipService{state: e.to[p.ID]}).Exchange(contextOfPeer(e.from), q)
}

func (e *inProcessTransport) Introduce(_ context.Context, p membership.Peer, q *gossippb.IntroduceRequest) (*gossippb.IntroduceAnswer, error) {
	return (&gossipService{state: e.to[p.ID]}).Introduce(contextOfPeer(e.from), q)
}

// Guards against a gateway that starts without the crash marks of the others or without its own marks from before a restart,
// and against peers that do not push later marks to it because the control replicas have not listed it yet.
func TestIntroductionSharesCrashMarks(t *testing.T) {
	rates := budget.Rates{WithinRegion: 1 << 20, AcrossRegions: 1 << 20}
	older, newer := startState(t, "gw-1", rates), startState(t, "gw-2", rates)
	states := map[string]*gossipState{"gw-1": older, "gw-2": newer}
	older.transport, newer.transport = &inProcessTransport{"gw-1", states}, &inProcessTransport{"gw-2", states}
	before, after, lost := fingerprint{1}, fingerprint{2}, fingerprint{3}
	older.crashMarks.Merge(older.clock.now(), "gw-2", "near", []*gossippb.CrashMark{{Fingerprint: lost[:], Count: 2, RemainingMs: 60_000}})
	older.crashMarks.RecordCrash(older.clock.now(), before, nil)
	older.crashMarks.RecordCrash(older.clock.now(), before, nil)
	newer.do(func(now time.Duration) {
		newer.peerList.listed = []membership.Peer{{ID: "gw-1", Region: "near"}}
		newer.updatePeers(now)
	})
	if peers, answered := newer.introduceToPeers(t.Context(), "127.0.0.1:1"); peers != 1 || answered != 1 {
		t.Fatalf("%d of %d peers answered", answered, peers)
	}
	if newer.crashMarks.RefusedFor(newer.clock.now(), before) == 0 {
		t.Error("a crash mark from before the introduction is unknown")
	}
	if newer.crashMarks.RefusedFor(newer.clock.now(), lost) == 0 {
		t.Error("a crash mark from before the restart is unknown")
	}
	older.crashMarks.RecordCrash(older.clock.now(), after, nil)
	older.crashMarks.RecordCrash(older.clock.now(), after, nil)
	older.publishCrashMarks()
	if newer.crashMarks.RefusedFor(newer.clock.now(), after) == 0 {
		t.Error("a crash mark from after the introduction is unknown")
	}
}
