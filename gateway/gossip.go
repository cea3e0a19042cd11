package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api"
	"heatherwall.example/api/gossippb"
	"heatherwall.example/balance/budget"
	"heatherwall.example/membership"
	"heatherwall.example/telemetry"
)

// exchangeTimeout bounds one exchange; evidence older than that is of little use.
const exchangeTimeout = time.Second

// spreadTimeout bounds how long a refusal waits for crash marks to reach the other gateways.
const spreadTimeout = 300 * time.Millisecond

// frameOverheadBytes is charged for each message beside its content: HTTP/2 frames, headers, TLS records and TCP.
const frameOverheadBytes = 200

// gossipTransport carries one exchange to another gateway.
type gossipTransport interface {
	// OpeningBytes is what the exchange sends beside its own frames because no connection is open.
	OpeningBytes(p membership.Peer) int
	Exchange(ctx context.Context, p membership.Peer, request *gossippb.ExchangeRequest) (*gossippb.ExchangeAnswer, error)
	Introduce(ctx context.Context, p membership.Peer, request *gossippb.IntroduceRequest) (*gossippb.IntroduceAnswer, error)
}

// grpcGossipTransport uses gRPC with mutual TLS.
type grpcGossipTransport struct {
	connections *connections
}

// OpeningBytes implements gossipTransport.
func (g *grpcGossipTransport) OpeningBytes(p membership.Peer) int {
	return g.connections.openingBytes(p.Address)
}

// Exchange implements gossipTransport.
func (g *grpcGossipTransport) Exchange(ctx context.Context, p membership.Peer, request *gossippb.ExchangeRequest) (*gossippb.ExchangeAnswer, error) {
	return callGossip(g.connections, p, func(c gossippb.GossipClient) (*gossippb.ExchangeAnswer, error) {
		return c.Exchange(ctx, request)
	})
}

// Introduce implements gossipTransport.
func (g *grpcGossipTransport) Introduce(ctx context.Context, p membership.Peer, request *gossippb.IntroduceRequest) (*gossippb.IntroduceAnswer, error) {
	return callGossip(g.connections, p, func(c gossippb.GossipClient) (*gossippb.IntroduceAnswer, error) {
		return c.Introduce(ctx, request)
	})
}

// callGossip calls a method of a peer over the connection kept for it, and notes how the call ended.
func callGossip[A any](c *connections, p membership.Peer, method func(gossippb.GossipClient) (*A, error)) (*A, error) {
	conn, err := c.get(p.ID, p.Address)
	if err != nil {
		return nil, err
	}
	answer, err := method(gossippb.NewGossipClient(conn))
	c.report(conn, err)
	return answer, err
}

// exchangeWithPeer sends a summary to one random peer, one time in four in another region, and the digest after it if the peer
// knows something else.
func (s *gossipState) exchangeWithPeer(ctx context.Context, now time.Duration) {
	p, ok := s.registry.ChoosePeer(s.region, rand.Uint64())
	if !ok {
		return
	}
	exchange := s.registry.StartExchange(now)
	exchange.Request.Marks = s.poison.Own(now, p.Region)
	s.sendRequest(ctx, now, p, exchange.Request, func(at time.Duration, answer *gossippb.ExchangeAnswer) {
		if answer.GetDiffers() {
			s.sendAndMerge(ctx, at, p, s.registry.DigestRequest(at))
			return
		}
		s.registry.MergeAnswer(at, now, exchange.ExpandAnswer(answer))
	})
}

// push sends changes of servers owned here, and new crash marks, to every peer. The exchanges are kept in pendingPushes.
func (s *gossipState) push(ctx context.Context, now time.Duration) {
	marks := s.poison.takeNews()
	if !s.registry.HasPendingPush() && len(marks) == 0 {
		return
	}
	request := s.registry.PushRequest()
	for _, p := range s.registry.Peers() {
		own := proto.CloneOf(request)
		own.Marks = marksFor(p.Region, marks)
		if len(own.Servers) > 0 || len(own.Marks) > 0 {
			s.pendingPushes = append(s.pendingPushes, s.sendAndMerge(ctx, now, p, own))
		}
	}
}

// spreadMarks pushes new crash marks at once and waits until the peers have taken them, at most for spreadTimeout. A
// caller that is told of a broken connection sends its request again at once, perhaps through another gateway; that one
// must know the mark by then.
func (s *gossipState) spreadMarks() {
	var waits []<-chan struct{}
	s.do(func(now time.Duration) {
		s.push(context.Background(), now)
		waits = slices.Clone(s.pendingPushes)
	})
	timeout := time.NewTimer(spreadTimeout)
	defer timeout.Stop()
	for _, done := range waits {
		select {
		case <-done:
		case <-timeout.C:
			return
		}
	}
}

// removeFinishedPushes drops the pushes that have ended.
func (s *gossipState) removeFinishedPushes() {
	s.pendingPushes = slices.DeleteFunc(s.pendingPushes, func(done <-chan struct{}) bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
}

// sendAndMerge starts a push, or an exchange of digests. The channel is closed when it has ended.
func (s *gossipState) sendAndMerge(ctx context.Context, now time.Duration, p membership.Peer, request *gossippb.ExchangeRequest) <-chan struct{} {
	return s.sendRequest(ctx, now, p, request, func(at time.Duration, answer *gossippb.ExchangeAnswer) {
		s.registry.MergeAnswer(at, now, answer)
	})
}

// sendRequest sends a request if the budget of measuring permits it, and passes the answer to take in the owner goroutine.
// The channel is closed when this has ended.
func (s *gossipState) sendRequest(ctx context.Context, now time.Duration, p membership.Peer, request *gossippb.ExchangeRequest,
	take func(at time.Duration, answer *gossippb.ExchangeAnswer)) <-chan struct{} {
	done := make(chan struct{})
	if s.chargeRequest(now, p, request, "gossip") != nil {
		close(done)
		return done
	}
	s.calls.Go(func() {
		defer close(done)
		limited, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()
		answer, err := s.transport.Exchange(limited, p, request)
		if err != nil {
			s.counters.UnlabeledCounter("gossip_failed").Inc(1)
			s.log.Log(eventGossipFailed, telemetry.F("peer", p.ID), telemetry.F("error", err))
			return
		}
		s.poison.Merge(s.clock.now(), p.ID, s.region, answer.GetMarks())
		s.do(func(at time.Duration) { take(at, answer) })
	})
	return done
}

// chargeRequest fails with ResourceExhausted when the budget of measuring does not permit a request to a peer, opening a
// connection included.
func (s *gossipState) chargeRequest(now time.Duration, p membership.Peer, request proto.Message, kind string) error {
	bytes := proto.Size(request) + frameOverheadBytes + s.transport.OpeningBytes(p)
	if s.limiter.Take(now, s.budgetScope(p.Region), bytes) {
		return nil
	}
	return s.recordDenial(kind)
}

// recordDenial counts what the budget of measuring did not permit.
func (s *gossipState) recordDenial(kind string) error {
	s.counters.Counter("measuring_denied", "kind", kind).Inc(1)
	return status.Error(codes.ResourceExhausted, (&budgetSpentError{}).Error())
}

func (s *gossipState) budgetScope(region string) budget.Scope {
	if region == s.region {
		return budget.WithinRegion
	}
	return budget.AcrossRegions
}

// budgetSpentError reports that the budget of measuring permits no answer now.
type budgetSpentError struct{}

func (e *budgetSpentError) Error() string { return "the budget of measuring is spent" }

// gossipService answers exchanges of other gateways.
type gossipService struct {
	gossippb.UnimplementedGossipServer
	state *gossipState

	mu sync.Mutex
	// charged holds the connection of each gateway whose handshake has been charged, by the remote address.
	charged map[string]string
}

// Exchange implements gossippb.GossipServer. When the budget is spent, the answer is ResourceExhausted without content;
// what the request told is taken in all the same.
func (g *gossipService) Exchange(ctx context.Context, request *gossippb.ExchangeRequest) (*gossippb.ExchangeAnswer, error) {
	if err := checkSender(ctx, request.GetFrom()); err != nil {
		return nil, err
	}
	s := g.state
	s.poison.Merge(s.clock.now(), request.GetFrom(), s.region, request.GetMarks())
	var answer *gossippb.ExchangeAnswer
	region := ""
	ok := s.do(func(now time.Duration) {
		region = s.peerRegion(request.GetFrom())
		answer = s.registry.HandleRequestWithLimit(now, request, s.limiter.MessageLimit(s.budgetScope(region)))
		answer.Marks = s.poison.Own(now, region)
	})
	if !ok {
		return nil, status.Error(codes.Unavailable, "the gateway is stopping")
	}
	if err := g.chargeAnswer(ctx, request.GetFrom(), region, answer, "gossip_answer"); err != nil {
		return nil, err
	}
	return answer, nil
}

// checkSender refuses a request in the name of another gateway.
func checkSender(ctx context.Context, from string) error {
	if name := api.PeerName(ctx); name != from {
		return status.Error(codes.PermissionDenied, fmt.Sprintf("certificate of %q, request of %q", name, from))
	}
	return nil
}

// chargeAnswer fails with ResourceExhausted when the budget of measuring does not permit an answer. The handshake of a
// new connection has been sent when the first answer on it is due, so it is charged without regard to the budget:
// refusing the answer would not save it.
func (g *gossipService) chargeAnswer(ctx context.Context, from, region string, answer proto.Message, kind string) error {
	s, scope := g.state, g.state.budgetScope(region)
	remote := ""
	if p, ok := peer.FromContext(ctx); ok && p.Addr != nil {
		remote = p.Addr.String()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.charged[from] != remote {
		if g.charged == nil {
			g.charged = map[string]string{}
		}
		g.charged[from] = remote
		s.limiter.Charge(s.clock.now(), scope, handshakeBytes)
	}
	if s.limiter.Take(s.clock.now(), scope, proto.Size(answer)+frameOverheadBytes) {
		return nil
	}
	return s.recordDenial(kind)
}

// peerRegion returns "" for a gateway that is not listed; its traffic is charged to the budget between regions.
func (s *gossipState) peerRegion(name string) string {
	for _, p := range s.registry.Peers() {
		if p.ID == name {
			return p.Region
		}
	}
	return ""
}
