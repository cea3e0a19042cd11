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

func fromPeer(name string) context.Context {
	leaf := &x509.Certificate{Subject: pkix.Name{CommonName: name}}
	info := credentials.TLSInfo{State: tls.ConnectionState{VerifiedChains: [][]*x509.Certificate{{leaf}}}}
	return peer.NewContext(context.Background(), &peer.Peer{AuthInfo: info})
}

// Guards against answers to other gateways that exceed the budget of measuring.
func TestGossipAnswersStayWithinTheBudget(t *testing.T) {
	limiter := budget.New(budget.Rates{})
	s := &state{
		name: "gw-1", region: "near", clock: newClock(), registry: membership.New("gw-1", 1),
		engine: balance.New(balance.Config{Region: "near", FailureDomain: "near-1"}), limiter: limiter,
		poison: newPoisonMarks("gw-1"), log: telemetry.NewLogger(io.Discard, telemetry.Error),
		counters: telemetry.NewCounters(), commands: make(chan func(time.Duration)), stopped: make(chan struct{}),
		probing: map[string]bool{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	go s.run(ctx)
	defer func() {
		cancel()
		<-s.stopped
	}()
	service := &gossipService{state: s}
	if _, err := service.Exchange(fromPeer("gw-2"), &gossippb.ExchangeRequest{From: "gw-2"}); status.Code(err) != codes.ResourceExhausted {
		t.Fatalf("exchange without a budget: %v, want ResourceExhausted", err)
	}
	if spent := limiter.Totals(budget.AcrossRegions).Spent; spent != 0 {
		t.Errorf("%d bytes spent of an empty budget", spent)
	}
	if _, err := service.Exchange(fromPeer("gw-3"), &gossippb.ExchangeRequest{From: "gw-2"}); status.Code(err) != codes.PermissionDenied {
		t.Errorf("exchange under another name: %v, want PermissionDenied", err)
	}
}
