package main

import (
	"fmt"
	"math/rand/v2"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/balance/budget"
)

// Times of a run.
const (
	warmUp = 1500 * time.Millisecond
	// maxPropagation is the longest time that a change takes to reach a gateway.
	maxPropagation = 1500 * time.Millisecond
	// maxPushDelay is the longest time that a pushed change takes to reach a gateway.
	maxPushDelay = 60 * time.Millisecond
	// sendLease is longer than a run, because the loss of ownership is not modelled.
	sendLease = time.Hour
	// startTime is later than zero, because a zero time means never.
	startTime = time.Second
)

// simulation is the state of one run.
type simulation struct {
	deployment deployment
	scenario   scenario
	policy     policy
	clock      clock
	servers    []*server
	byAddress  map[string]*server
	gateways   []*gateway
	// Separate sources of randomness make arrivals, work and faults the same for all policies.
	arrivals, faults, picks, failures *rand.Rand
	result                            result
}

func newSimulation(r run) *simulation {
	s := &simulation{
		deployment: r.deployment, scenario: r.scenario, policy: r.policy, byAddress: map[string]*server{},
		arrivals: rand.New(rand.NewPCG(r.seed, 1)), faults: rand.New(rand.NewPCG(r.seed, 2)),
		picks: rand.New(rand.NewPCG(r.seed, 3)), failures: rand.New(rand.NewPCG(r.seed, 4)),
	}
	s.clock.now = startTime
	s.result = newResult(r, startTime+warmUp, s.end())
	for i := range r.deployment.workers {
		s.addServer(i)
	}
	for i := range r.deployment.gateways {
		s.addGateway(i)
	}
	return s
}

func (s *simulation) end() time.Duration { return startTime + warmUp + s.scenario.duration }

func (s *simulation) addServer(i int) {
	places := s.deployment.places()
	v := &server{
		sim: s, index: i, address: fmt.Sprintf("10.0.0.%d:80", i+1), place: places[i%len(places)],
		slots: s.deployment.slots, slowness: 1,
	}
	s.servers = append(s.servers, v)
	s.byAddress[v.address] = v
}

func (s *simulation) addGateway(i int) {
	places := s.deployment.places()
	g := &gateway{sim: s, index: i, place: places[i%len(places)], hidden: make([]bool, len(s.servers)), retries: retryBurst}
	s.gateways = append(s.gateways, g)
	if s.policy.kind != policyEngine {
		g.simple = &simplePolicy{kind: s.policy.kind, gateway: g, inFlight: make([]int, len(s.servers))}
		return
	}
	g.engine = balance.New(balance.Config{
		Region: g.place.region, FailureDomain: g.place.domain, Switches: s.policy.switches,
		DomainCost: 2 * s.deployment.domainLatency, SpillCost: 2 * s.deployment.regionLatency,
	})
	g.queue = balance.NewQueue(balance.QueueConfig{})
	g.waiting = map[*balance.Waiter]*request{}
	g.limiter = budget.New(budget.Rates{WithinRegion: measuringBudget, AcrossRegions: measuringBudget})
	for _, v := range s.servers {
		g.engine.Apply(balance.ServerChanged{Server: s.serverRecord(g, v, balance.StateReady, 1)})
	}
}

// measuringBudget is the measuring budget of a gateway in bytes per second, both within its region and across regions.
const measuringBudget = 12000

// serverRecord returns the record of a server that a gateway receives. The gateways own the servers in turn.
func (s *simulation) serverRecord(g *gateway, v *server, state balance.State, sequence uint64) balance.Server {
	return balance.Server{
		Address: v.address, Service: serviceName, Region: v.place.region, FailureDomain: v.place.domain,
		Incarnation: 1, Sequence: sequence, State: state, Slots: v.slots,
		MaxInFlight: s.deployment.connections / s.deployment.gateways,
		Owned:       v.index%len(s.gateways) == g.index, SendUntil: s.clock.now + sendLease, EvidenceAt: s.clock.now,
	}
}

// announce sends a state to all gateways, each with a random delay. The owner learns it immediately.
func (s *simulation) announce(v *server, state balance.State, sequence uint64) {
	v.announced, v.sequence = state, sequence
	for _, g := range s.gateways {
		delay := time.Duration(s.faults.Int64N(int64(maxPushDelay)))
		if owner := s.gateways[v.index%len(s.gateways)]; owner == g {
			delay = 0
		} else if !owner.takePushBudget(g) {
			delay += exchangeInterval
		}
		s.clock.after(delay, func() {
			g.hidden[v.index] = state > balance.StateCold
			if g.engine != nil {
				g.engine.Apply(balance.ServerChanged{Server: s.serverRecord(g, v, state, sequence)})
			}
		})
	}
}

// takePushBudget charges a pushed change to the budget. If the budget does not allow it, the change waits for the next
// exchange.
func (g *gateway) takePushBudget(to *gateway) bool {
	return g.limiter == nil || g.limiter.Take(g.sim.clock.now, g.scope(to.place), pushBytes)
}

// setDomainsOut sets the failure domains that are out at each gateway, each with a random delay.
func (s *simulation) setDomainsOut(out []string) {
	for _, g := range s.gateways {
		s.clock.after(time.Duration(s.faults.Int64N(int64(maxPropagation))), func() {
			for _, v := range s.servers {
				g.hidden[v.index] = contains(out, v.place.domain)
			}
			if g.engine != nil {
				g.engine.Apply(balance.ConfigChanged{DomainsOut: out})
			}
		})
	}
}

func contains(list []string, x string) bool {
	for _, y := range list {
		if x == y {
			return true
		}
	}
	return false
}

func (s *simulation) run() result {
	for _, g := range s.gateways {
		if g.engine != nil {
			g.tick()
			g.exchange()
		}
		s.scheduleArrival(g)
	}
	s.scenario.scheduleFaults(s)
	s.clock.runUntil(s.end() + deadlineAfter)
	s.result.addTotals(s)
	return s.result
}

// scheduleArrival schedules open-loop Poisson arrivals at a gateway.
func (s *simulation) scheduleArrival(g *gateway) {
	rate := s.deployment.capacity() * s.scenario.load / float64(len(s.gateways))
	gap := time.Duration(s.arrivals.ExpFloat64() / rate * float64(time.Second))
	work := s.drawWork()
	s.clock.after(gap, func() {
		if s.clock.now >= s.end() {
			return
		}
		g.receive(work)
		s.scheduleArrival(g)
	})
}

// drawWork draws a work time with the deployment's mean: half of it fixed, half exponentially distributed.
func (s *simulation) drawWork() time.Duration {
	return time.Duration(float64(s.deployment.work) * (1 + s.arrivals.ExpFloat64()) / 2)
}

func (g *gateway) tick() {
	g.engine.Tick(g.sim.clock.now)
	for _, n := range g.engine.Notices() {
		g.handleNotice(n)
	}
	g.sim.clock.after(tickInterval, g.tick)
}

func (g *gateway) handleNotice(n balance.Notice) {
	v := g.sim.byAddress[n.Address]
	switch n.Kind {
	case balance.NoticeEjected:
		g.sim.result.ejections++
	case balance.NoticeProbeWanted:
		g.probe(v)
	case balance.NoticeFallback:
		if !v.cold {
			g.sim.result.falseFallbacks++
		}
		g.sim.announceFallback(v)
	case balance.NoticeFallbackEnded:
		g.sim.announceWarm(v)
	}
}

// announceFallback makes the owner announce a fallback that a gateway detected. As in a real gateway, the sequence number
// stays the same: only the server itself raises it.
func (s *simulation) announceFallback(v *server) {
	if v.announced == balance.StateReady {
		s.announce(v, balance.StateCold, v.sequence)
	}
}

// announceWarm makes the owner announce that a server has warmed up, although the server did not report it.
func (s *simulation) announceWarm(v *server) {
	if v.announced == balance.StateCold {
		s.announce(v, balance.StateReady, v.sequence)
	}
}

func (g *gateway) scope(p place) budget.Scope {
	if p.region == g.place.region {
		return budget.WithinRegion
	}
	return budget.AcrossRegions
}

func (g *gateway) probe(v *server) {
	sim := g.sim
	if v.down || !g.limiter.Take(sim.clock.now, g.scope(v.place), probeBytes) {
		return
	}
	sent, oneWay := sim.clock.now, sim.deployment.latency(g.place, v.place)
	sim.clock.after(2*oneWay, func() {
		g.engine.Apply(balance.StateReported{
			Address: v.address, At: sent, State: v.reportedState(), InFlight: v.inFlight(), Slots: v.slots,
		})
	})
}

// exchange models one gossip exchange: it takes bytes from the budget and renews the evidence of servers that are up.
func (g *gateway) exchange() {
	sim := g.sim
	peer := sim.gateways[sim.faults.IntN(len(sim.gateways))]
	g.limiter.Take(sim.clock.now, g.scope(peer.place), digestBytes*len(sim.gateways))
	for _, v := range sim.servers {
		if !v.down {
			age := time.Duration(sim.faults.Int64N(int64(maxPropagation)))
			g.engine.Apply(balance.EvidenceRenewed{Address: v.address, At: sim.clock.now - age})
		}
	}
	sim.clock.after(exchangeInterval, g.exchange)
}
