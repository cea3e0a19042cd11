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

// introductionLifetime is how long a gateway that introduced itself counts as a peer without being on the list of the control
// replicas, which reaches every gateway within a renewal.
const introductionLifetime = 10 * time.Second

// Timing of the introduction. A peer that cannot be reached holds up the start for unreachableTimeout. Where only the budget
// of measuring is missing, it is tried for introductionTimeout: at 10 KiB/s that is enough for the handshakes with 12
// peers. The others learn of this gateway from the list of the control replicas.
const (
	introductionTimeout       = 3 * time.Second
	unreachableTimeout        = 2 * time.Second
	introductionRetryInterval = 100 * time.Millisecond
)

// peerList joins the list of the control replicas with the gateways that introduced themselves. It belongs to the owner
// goroutine of state.
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

// current prefers the address that a gateway gave itself, because the list may still hold that of its last run.
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

// introduceToPeers makes this gateway known to every peer of its region and to one of each other region, and takes over their
// crash marks. Of two gateways that start together at least the later one has the other on its list, so afterwards each
// of them knows the other. The handshakes with all peers of other regions would take the budget of many seconds, which
// the exchanges need to learn of the servers there. It returns the number of peers and how many of them answered.
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

// introductionTargets returns the peers of the own region and, of each other region, the one with the highest hash of both
// names, so that the gateways of a region choose different ones.
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

// introduceUntilAnswered tries until the peer has answered, has been silent for unreachableTimeout, or ctx has ended.
func (s *gossipState) introduceUntilAnswered(ctx context.Context, p membership.Peer, request *gossippb.IntroduceRequest) bool {
	var silentSince time.Duration
	for {
		err := s.introduceOnce(ctx, p, request)
		if err == nil {
			return true
		}
		if status.Code(err) == codes.ResourceExhausted {
			silentSince = 0
		} else if silentSince == 0 {
			silentSince = s.clock.now()
		}
		if silentSince != 0 && s.clock.now()-silentSince >= unreachableTimeout || !sleep(ctx, introductionRetryInterval) {
			s.log.Log(eventGossipFailed, telemetry.F("peer", p.ID), telemetry.F("error", err))
			return false
		}
	}
}

// introduceOnce fails with ResourceExhausted when the budget of measuring is spent here or at the peer.
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
	s.poison.Merge(s.clock.now(), p.ID, s.region, answer.GetMarks())
	s.poison.Merge(s.clock.now(), s.name, s.region, answer.GetEarlier())
	return nil
}

// Introduce implements gossippb.GossipServer. Crash marks are pushed to the new peer from now on; the answer carries the
// earlier ones.
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
		answer.Marks = s.poison.Own(now, p.Region)
		answer.Earlier = s.poison.CountsOf(now, p.ID, p.Region)
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
