package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"heatherwall.example/api/gossippb"
	"heatherwall.example/balance"
	"heatherwall.example/balance/budget"
	"heatherwall.example/membership"
	"heatherwall.example/telemetry"
)

// Timing of the state goroutine.
const (
	engineTickInterval   = 20 * time.Millisecond
	registryTickInterval = 100 * time.Millisecond
)

// gossipState owns the membership registry and the balance engine. Only its goroutine touches them; others send it commands.
type gossipState struct {
	name       string
	region     string
	clock      clock
	registry   *membership.Registry
	engine     *balance.Engine
	limiter    *budget.Limiter
	crashMarks *crashMarkTable
	transport  gossipTransport
	peerList   peerList
	prober     stateProber
	log        *telemetry.Logger
	counters   *telemetry.Metrics

	commands chan func(now time.Duration)
	stopped  chan struct{}
	// pendingPushes holds a channel for each unfinished push; only the owner goroutine uses it.
	pendingPushes    []<-chan struct{}
	calls            sync.WaitGroup // exchanges and probes in flight
	probing          map[string]bool
	lastRegistryTick time.Duration
	nextExchange     time.Duration
	evidence         evidenceLog
}

// evidenceLog buffers liveness evidence (responses of servers) for the registry, so that the request path never waits for
// the owner goroutine.
type evidenceLog struct {
	mu   sync.Mutex
	seen map[string]time.Duration // by server address: when the newest answered request was sent
}

func (l *evidenceLog) record(address string, at time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil {
		l.seen = map[string]time.Duration{}
	}
	l.seen[address] = max(l.seen[address], at)
}

func (l *evidenceLog) drain() map[string]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.seen
	l.seen = nil
	return seen
}

// run is the owner goroutine. It returns when ctx ends and the exchanges and probes in flight have finished.
func (s *gossipState) run(ctx context.Context) {
	defer s.calls.Wait()
	defer close(s.stopped)
	ticker := time.NewTicker(engineTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.commands:
			f(s.clock.now())
			s.applyEvents(s.registry.TakeEvents())
		case <-ticker.C:
			s.tick(ctx, s.clock.now())
		}
	}
}

// do runs f in the owner goroutine and waits for it to return. It returns false if the owner goroutine has stopped.
func (s *gossipState) do(f func(now time.Duration)) bool {
	done := make(chan struct{})
	command := func(now time.Duration) {
		defer close(done)
		f(now)
	}
	select {
	case s.commands <- command:
		<-done
		return true
	case <-s.stopped:
		return false
	}
}

func (s *gossipState) tick(ctx context.Context, now time.Duration) {
	s.engine.Tick(now)
	if now-s.lastRegistryTick >= registryTickInterval {
		s.lastRegistryTick = now
		for address, at := range s.evidence.drain() {
			s.registry.RecordEvidence(address, at)
		}
		s.applyEvents(s.registry.Tick(now))
		s.removeFinishedPushes()
		s.push(ctx, now)
		s.exportMeasurementTraffic()
	}
	if now >= s.nextExchange {
		s.nextExchange = now + membership.ExchangeInterval
		s.exchangeWithPeer(ctx, now)
	}
	for _, n := range s.engine.Notices() {
		s.handleNotice(ctx, now, n)
	}
}

// exportMeasurementTraffic publishes the bytes of measurement traffic since the start. Traffic between regions has its own
// gauge because it is billed.
func (s *gossipState) exportMeasurementTraffic() {
	s.counters.Gauge("measuring_bytes_within_region").Update(int64(s.limiter.Totals(budget.WithinRegion).Spent))
	s.counters.Gauge("measuring_bytes_across_regions").Update(int64(s.limiter.Totals(budget.AcrossRegions).Spent))
	over := s.limiter.Totals(budget.WithinRegion).OverBudget + s.limiter.Totals(budget.AcrossRegions).OverBudget
	s.counters.Gauge("measuring_bytes_over_budget").Update(int64(over))
}

// applyEvents passes registry events to the engine.
func (s *gossipState) applyEvents(events []membership.Event) {
	for _, e := range events {
		address := e.Server.Record.GetAddress()
		switch e.Kind {
		case membership.ServerChanged:
			s.engine.Apply(balance.ServerChanged{Server: engineServer(e.Server)})
		case membership.ServerGone:
			s.engine.Apply(balance.ServerRemoved{Address: address})
		case membership.EvidenceUpdated:
			s.engine.Apply(balance.EvidenceRenewed{Address: address, At: e.Server.EvidenceAt})
		case membership.SendRightChanged:
			s.engine.Apply(balance.SendRightRenewed{Address: address, Until: e.Server.SendUntil})
		}
	}
}

func engineServer(s membership.Server) balance.Server {
	r := s.Record
	return balance.Server{
		Address: r.GetAddress(), Service: r.GetService(), Region: r.GetRegion(), FailureDomain: r.GetFailureDomain(),
		Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), State: balance.State(r.GetState()),
		Slots: int(r.GetSlots()), MaxInFlight: int(r.GetConnections()),
		Owned: s.Owned, SendUntil: s.SendUntil, EvidenceAt: s.EvidenceAt,
	}
}

// configure applies a confirmed configuration.
func (s *gossipState) configure(l *lease) {
	peers := make([]membership.Peer, 0, len(l.gateways))
	for _, g := range l.gateways {
		peers = append(peers, membership.Peer{ID: g.GetName(), Region: g.GetRegion(), Address: g.GetPeerAddress()})
	}
	s.limiter.SetRates(budget.Rates{WithinRegion: l.config.MeasuringRateWithinRegion, AcrossRegions: l.config.MeasuringRateAcrossRegions})
	s.do(func(now time.Duration) {
		s.peerList.listed = peers
		s.updatePeers(now)
		s.engine.Apply(engineConfiguration(l.config))
	})
}

// Register implements registrar.
func (s *gossipState) Register(kind announceKind, a announcement) (uint64, error) {
	var answer membership.Answer
	err := error(&AnnounceError{http.StatusServiceUnavailable, announceNotReady, "the gateway is stopping"})
	s.do(func(now time.Duration) {
		if err = s.chargeAnnouncement(now, kind, a); err != nil {
			return
		}
		in := membership.Announcement{Server: a.record(), Grant: a.Grant}
		switch kind {
		case kindAnnounce:
			answer, err = s.registry.Announce(now, in)
		case kindRenew:
			answer, err = s.registry.Renew(now, in)
		case kindLeave:
			err = s.registry.Leave(now, in.Server)
		}
	})
	return answer.Grant, registrationError(err)
}

func (a *announcement) record() *gossippb.Server {
	states := map[string]gossippb.ServerState{
		stateReady: gossippb.ServerState_SERVER_READY, stateCold: gossippb.ServerState_SERVER_COLD, stateDraining: gossippb.ServerState_SERVER_DRAINING,
	}
	return &gossippb.Server{
		Service: a.Service, Address: a.Address, Region: a.Region, FailureDomain: a.FailureDomain,
		Incarnation: a.Incarnation, Sequence: a.Sequence, State: states[a.State],
		Slots: uint32(a.Slots), Connections: uint32(a.Connections),
	}
}

// registrationError maps registry errors to responses of the announce endpoint.
func registrationError(err error) error {
	var unknown *membership.UnknownServerError
	var outdated *membership.OutdatedError
	var left *membership.LeftError
	var invalid *membership.MissingFieldError
	switch {
	case errors.As(err, &unknown):
		return &AnnounceError{http.StatusNotFound, announceUnknown, err.Error()}
	case errors.As(err, &outdated), errors.As(err, &left):
		return &AnnounceError{http.StatusConflict, announceStale, err.Error()}
	case errors.As(err, &invalid):
		return &AnnounceError{http.StatusBadRequest, announceInvalid, err.Error()}
	}
	return err
}

// handleNotice handles a notice of the balance engine.
func (s *gossipState) handleNotice(ctx context.Context, now time.Duration, n balance.Notice) {
	switch n.Kind {
	case balance.NoticeProbeWanted:
		s.probe(ctx, now, n)
	case balance.NoticeFallback:
		s.handleFallback(ctx, now, n)
	case balance.NoticeFallbackEnded:
		s.registry.SetCold(n.Address, n.Incarnation, false)
	case balance.NoticeEjected:
		s.counters.Counter("ejections", "service", n.Service).Inc(1)
		s.log.Log(eventServerEjected, telemetry.F("service", n.Service), telemetry.F("address", n.Address))
	case balance.NoticeReturned:
		s.log.Log(eventServerReturned, telemetry.F("service", n.Service), telemetry.F("address", n.Address))
	}
}

// handleFallback records that a server is in cold start again. If another gateway owns the server, the owner is informed.
func (s *gossipState) handleFallback(ctx context.Context, now time.Duration, n balance.Notice) {
	s.log.Log(eventServerFellBack, telemetry.F("service", n.Service), telemetry.F("address", n.Address))
	s.registry.SetCold(n.Address, n.Incarnation, true)
	owner, request := s.registry.FallbackRequest(n.Address, n.Incarnation)
	if request == nil {
		return
	}
	for _, p := range s.registry.Peers() {
		if p.ID == owner {
			s.sendAndMerge(ctx, now, p, request)
		}
	}
}
