package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heatherwall.example/api/gossippb"
	"heatherwall.example/membership"
	"heatherwall.example/telemetry"
)

// introductionLifetime is how long a gateway that introduced itself counts as a peer even if it is not on the gateway list of
// the control replicas. The list reaches every gateway with the next renewal.
const introductionLifetime = 10 * time.Second

// Timing of the introduction. An unreachable peer delays the start by at most unreachableTimeout. If only the measurement
// budget is exhausted, attempts continue for introductionTimeout: at 10 KiB/s that is enough for the handshakes with 12
// peers. Further peers learn of this gateway from the gateway list of the control replicas.
const (
	introductionTimeout       = 3 * time.Second
	unreachableTimeout        = 2 * time.Second
	introductionRetryInterval = 100 * time.Millisecond
)

// peerList merges the gateway list of the control replicas with the gateways that introduced themselves. Only the owner
// goroutine of gossipState uses it.
type peerList struct {
	listed     []membership.Peer
	introduced map[string]introducedPeer
}

type introducedPeer struct {
	membership.Peer
	until time.Duration
}

func (l *peerList) add(now time.Duration, p membership.Peer) {
	if l.introduced == nil {
		l.introduced = map[string]introducedPeer{}
	}
	l.introduced[p.ID] = introducedPeer{Peer: p, until: now + introductionLifetime}
}

// current returns the peers and removes expired introductions. It prefers the address from the introduction, because the
// list may still contain the address of the gateway's previous run.
func (l *peerList) current(now time.Duration) []membership.Peer {
	var peers []membership.Peer
	for _, p := range l.listed {
		if in, ok := l.introduced[p.ID]; !ok || in.until <= now {
			peers = append(peers, p)
		}
	}
	for id, in := range l.introduced {
		if in.until <= now {
			delete(l.introduced, id)
			continue
		}
		peers = append(peers, in.Peer)
	}
	return peers
}

// introduceToPeers introduces this gateway to every peer of its region and to one peer of each other region, and merges
// their crash marks. Of two gateways that start at the same time, at least the later one has the other on its list, so each
// knows the other afterwards. Handshakes with all peers of other regions would use up the budget of many seconds, which the
// exchanges need to learn of the servers there. It returns the number of peers called and how many of them answered.
func (s *gossipState) introduceToPeers(ctx context.Context, address string) (peers, answered int) {
	var list []membership.Peer
	s.do(func(time.Duration) {
		list = introductionTargets(s.name, s.region, s.registry.Peers())
	})
	request := &gossippb.IntroduceRequest{From: s.name, Region: s.region, Address: address}
	ctx, cancel := context.WithTimeout(ctx, introductionTimeout)
	defer cancel()
	var calls sync.WaitGroup
	var answers atomic.Int64
	for _, p := range list {
		calls.Go(func() {
			if s.introduceUntilAnswered(ctx, p, request) {
				answers.Add(1)
			}
		})
	}
	calls.Wait()
	return len(list), int(answers.Load())
}

// introductionTargets returns all peers of this region and, of each other region, the peer with the highest hash of both
// gateway names, so that the gateways of a region choose different peers.
func introductionTargets(self, region string, peers []membership.Peer) []membership.Peer {
	var list []membership.Peer
	chosen := map[string]membership.Peer{}
	for _, p := range peers {
		if p.Region == region {
			list = append(list, p)
			continue
		}
		if best, ok := chosen[p.Region]; !ok || pairHash(self, p.ID) > pairHash(self, best.ID) {
			chosen[p.Region] = p
		}
	}
	for _, r := range slices.Sorted(maps.Keys(chosen)) {
		list = append(list, chosen[r])
	}
	return list
}

func pairHash(a, b string) uint64 {
	return xxhash.Sum64String(a + "\x00" + b)
}

// introduceUntilAnswered retries until the peer answers, has been unreachable for unreachableTimeout, or ctx ends. It reports
// whether the peer answered.
func (s *gossipState) introduceUntilAnswered(ctx context.Context, p membership.Peer, request *gossippb.IntroduceRequest) bool {
	var unreachableSince time.Duration
	for {
		err := s.introduceOnce(ctx, p, request)
		if err == nil {
			return true
		}
		if status.Code(err) == codes.ResourceExhausted {
			unreachableSince = 0
		} else if unreachableSince == 0 {
			unreachableSince = s.clock.now()
		}
		if unreachableSince != 0 && s.clock.now()-unreachableSince >= unreachableTimeout || !sleep(ctx, introductionRetryInterval) {
			s.log.Log(eventGossipFailed, telemetry.F("peer", p.ID), telemetry.F("error", err))
			return false
		}
	}
}

// introduceOnce makes one attempt. It returns ResourceExhausted if the measurement budget is exhausted here or at the peer.
func (s *gossipState) introduceOnce(ctx context.Context, p membership.Peer, request *gossippb.IntroduceRequest) error {
	if err := s.chargeRequest(s.clock.now(), p, request, "introduction"); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	answer, err := s.transport.Introduce(ctx, p, request)
	if err != nil {
		return err
	}
	s.crashMarks.Merge(s.clock.now(), p.ID, s.region, answer.GetMarks())
	s.crashMarks.Merge(s.clock.now(), s.name, s.region, answer.GetEarlier())
	return nil
}

// Introduce implements gossippb.GossipServer. New crash marks are pushed to the peer from now on; the answer contains the
// existing ones.
func (g *gossipService) Introduce(ctx context.Context, request *gossippb.IntroduceRequest) (*gossippb.IntroduceAnswer, error) {
	if err := checkSender(ctx, request.GetFrom()); err != nil {
		return nil, err
	}
	s := g.state
	p := membership.Peer{ID: request.GetFrom(), Region: request.GetRegion(), Address: request.GetAddress()}
	answer := &gossippb.IntroduceAnswer{}
	ok := s.do(func(now time.Duration) {
		s.peerList.add(now, p)
		s.updatePeers(now)
		answer.Marks = s.crashMarks.OwnCounts(now, p.Region)
		answer.Earlier = s.crashMarks.CountsOf(now, p.ID, p.Region)
	})
	if !ok {
		return nil, status.Error(codes.Unavailable, "the gateway is stopping")
	}
	if err := g.chargeAnswer(ctx, p.ID, p.Region, answer, "introduction_answer"); err != nil {
		return nil, err
	}
	return answer, nil
}

func (s *gossipState) updatePeers(now time.Duration) {
	s.registry.SetPeers(s.peerList.current(now))
	s.counters.Gauge("peers").Update(int64(len(s.registry.Peers())))
}

func (s *gossipState) peerAddresses() map[string]bool {
	addresses := map[string]bool{}
	s.do(func(time.Duration) {
		for _, p := range s.registry.Peers() {
			addresses[p.Address] = true
		}
	})
	return addresses
}
