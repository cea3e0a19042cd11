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

// exchangeTimeout limits one exchange; evidence that arrives later is of little use.
const exchangeTimeout = time.Second

// publishTimeout limits how long a refusal waits for crash marks to reach the other gateways.
const publishTimeout = 300 * time.Millisecond

// frameOverheadBytes is charged for each message in addition to its content: HTTP/2 frames, headers, TLS records and TCP.
const frameOverheadBytes = 200

// gossipTransport calls the gossip service of another gateway.
type gossipTransport interface {
	// OpeningBytes returns the bytes that opening a connection to the peer adds to the next call; 0 if one is open.
	OpeningBytes(p membership.Peer) int
	Exchange(ctx context.Context, p membership.Peer, request *gossippb.ExchangeRequest) (*gossippb.ExchangeAnswer, error)
	Introduce(ctx context.Context, p membership.Peer, request *gossippb.IntroduceRequest) (*gossippb.IntroduceAnswer, error)
}

// grpcGossipTransport uses gRPC with mutual TLS.
type grpcGossipTransport struct {
	connections *connectionPool
}

// OpeningBytes implements gossipTransport.
func (g *grpcGossipTransport) OpeningBytes(p membership.Peer) int {
	return g.connections.nextHandshakeBytes(p.Address)
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

// callGossip calls a method of a peer on the connection kept for that peer, and reports the result of the call to the
// connection pool.
func callGossip[A any](c *connectionPool, p membership.Peer, method func(gossippb.GossipClient) (*A, error)) (*A, error) {
	conn, err := c.get(p.ID, p.Address)
	if err != nil {
		return nil, err
	}
	answer, err := method(gossippb.NewGossipClient(conn))
	c.recordResult(conn, err)
	return answer, err
}

// exchangeWithPeer sends a summary to a random peer, every fourth time a peer of another region. If the peer's state
// differs, the digest follows.
func (s *gossipState) exchangeWithPeer(ctx context.Context, now time.Duration) {
	p, ok := s.registry.ChoosePeer(s.region, rand.Uint64())
	if !ok {
		return
	}
	exchange := s.registry.StartExchange(now)
	exchange.Request.Marks = s.crashMarks.OwnCounts(now, p.Region)
	s.sendRequest(ctx, now, p, exchange.Request, func(at time.Duration, answer *gossippb.ExchangeAnswer) {
		if answer.GetDiffers() {
			s.sendAndMerge(ctx, at, p, s.registry.DigestRequest(at))
			return
		}
		s.registry.MergeAnswer(at, now, exchange.ExpandAnswer(answer))
	})
}

// push sends changes of servers that this gateway owns, and new crash marks, to every peer. It adds the exchanges to
// pendingPushes.
func (s *gossipState) push(ctx context.Context, now time.Duration) {
	marks := s.crashMarks.takePending()
	if !s.registry.HasPendingPush() && len(marks) == 0 {
		return
	}
	request := s.registry.PushRequest()
	for _, p := range s.registry.Peers() {
		peerRequest := proto.CloneOf(request)
		peerRequest.Marks = permittedMarks(p.Region, marks)
		if len(peerRequest.Servers) > 0 || len(peerRequest.Marks) > 0 {
			s.pendingPushes = append(s.pendingPushes, s.sendAndMerge(ctx, now, p, peerRequest))
		}
	}
}

// publishCrashMarks pushes new crash marks immediately and waits until the peers have received them, for at most
// publishTimeout. A caller that sees a broken connection retries immediately, possibly through another gateway, and that
// gateway must know the mark by then.
func (s *gossipState) publishCrashMarks() {
	var waits []<-chan struct{}
	s.do(func(now time.Duration) {
		s.push(context.Background(), now)
		waits = slices.Clone(s.pendingPushes)
	})
	timeout := time.NewTimer(publishTimeout)
	defer timeout.Stop()
	for _, done := range waits {
		select {
		case <-done:
		case <-timeout.C:
			return
		}
	}
}

// removeFinishedPushes removes finished pushes from pendingPushes.
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

// sendAndMerge sends a push or a digest to a peer and merges the answer into the registry. The channel is closed when this
// has finished.
func (s *gossipState) sendAndMerge(ctx context.Context, now time.Duration, p membership.Peer, request *gossippb.ExchangeRequest) <-chan struct{} {
	return s.sendRequest(ctx, now, p, request, func(at time.Duration, answer *gossippb.ExchangeAnswer) {
		s.registry.MergeAnswer(at, now, answer)
	})
}

// sendRequest sends a request if the measurement budget permits it, and calls take with the answer in the owner goroutine.
// The channel is closed when this has finished.
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
		s.crashMarks.Merge(s.clock.now(), p.ID, s.region, answer.GetMarks())
		s.do(func(at time.Duration) { take(at, answer) })
	})
	return done
}

// chargeRequest charges a request to a peer, and the opening of a connection if none is open. It returns ResourceExhausted if
// the measurement budget does not permit them.
func (s *gossipState) chargeRequest(now time.Duration, p membership.Peer, request proto.Message, kind string) error {
	bytes := proto.Size(request) + frameOverheadBytes + s.transport.OpeningBytes(p)
	if s.limiter.Take(now, s.budgetScope(p.Region), bytes) {
		return nil
	}
	return s.recordDenial(kind)
}

// recordDenial counts a message that the measurement budget did not permit, and returns ResourceExhausted.
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

// budgetSpentError reports that the measurement budget is exhausted for now.
type budgetSpentError struct{}

func (e *budgetSpentError) Error() string { return "the budget of measuring is spent" }

// gossipService handles the gossip calls of other gateways.
type gossipService struct {
	gossippb.UnimplementedGossipServer
	state *gossipState

	mu sync.Mutex
	// charged holds, by gateway name, the remote address of the connection whose handshake has been charged.
	charged map[string]string
}

// Exchange implements gossippb.GossipServer. If the measurement budget is exhausted, it merges the content of the request
// but returns only ResourceExhausted.
func (g *gossipService) Exchange(ctx context.Context, request *gossippb.ExchangeRequest) (*gossippb.ExchangeAnswer, error) {
	if err := checkSender(ctx, request.GetFrom()); err != nil {
		return nil, err
	}
	s := g.state
	s.crashMarks.Merge(s.clock.now(), request.GetFrom(), s.region, request.GetMarks())
	var answer *gossippb.ExchangeAnswer
	region := ""
	ok := s.do(func(now time.Duration) {
		region = s.peerRegion(request.GetFrom())
		answer = s.registry.HandleRequestWithLimit(now, request, s.limiter.MessageLimit(s.budgetScope(region)))
		answer.Marks = s.crashMarks.OwnCounts(now, region)
	})
	if !ok {
		return nil, status.Error(codes.Unavailable, "the gateway is stopping")
	}
	if err := g.chargeAnswer(ctx, request.GetFrom(), region, answer, "gossip_answer"); err != nil {
		return nil, err
	}
	return answer, nil
}

// checkSender refuses a request whose sender name differs from the name in the client certificate.
func checkSender(ctx context.Context, from string) error {
	if name := api.PeerName(ctx); name != from {
		return status.Error(codes.PermissionDenied, fmt.Sprintf("certificate of %q, request of %q", name, from))
	}
	return nil
}

// chargeAnswer charges an answer and returns ResourceExhausted if the measurement budget does not permit it. The handshake
// of a new connection has already been sent by the time of the first answer, so it is charged even if the budget is
// exhausted: refusing the answer would not save these bytes.
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

// peerRegion returns the region of a gateway, or "" if the gateway is not a known peer. Traffic with an unknown peer is then
// charged to the budget between regions.
func (s *gossipState) peerRegion(name string) string {
	for _, p := range s.registry.Peers() {
		if p.ID == name {
			return p.Region
		}
	}
	return ""
}
