package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// overloadSim simulates a service that receives more requests than its servers can handle, in virtual time: servers that
// slow down when nearly all of their slots are taken, noisy neighbours, callers that retry after Retry-After, and
// gateways that each receive a small part of the traffic.
type overloadSim struct {
	workload  simWorkload
	random    *rand.Rand
	now       time.Duration
	servers   []*simServer
	byAddress map[string]*simServer
	gateways  []*Engine
	callers   []*simCaller // callers that wait at their gateway or will retry

	started, inTime, late, failed int
}

// Model of the deployment.
const (
	simStep = 5 * time.Millisecond
	// Factors by which requests take longer at a server whose slots are nearly all taken, and at one with a noisy
	// neighbour.
	nearFullSlowdown = 1.7
	noisySlowness    = 4.0
	meanNoiseTime    = 300 * time.Millisecond
	// yieldPoll is the mean interval at which a gateway picks again for a request that yields, and maxYield the time
	// after which it stops.
	yieldPoll   = 250 * time.Millisecond
	maxYield    = time.Second
	simGateways = 40
)

// simWorkload describes a kind of request and the servers that run it.
type simWorkload struct {
	servers, slots, maxQueued       int
	work, target, timeout, deadline time.Duration
	retries                         int
	noisyShare                      float64
}

var (
	twoSlots = simWorkload{servers: 28, slots: 2, maxQueued: 4, work: 210 * time.Millisecond, target: 500 * time.Millisecond,
		timeout: 2500 * time.Millisecond, deadline: 5 * time.Second, retries: 2, noisyShare: 0.35}
	sixSlots = simWorkload{servers: 24, slots: 6, maxQueued: 12, work: 450 * time.Millisecond, target: 1200 * time.Millisecond,
		timeout: 2 * time.Second, deadline: 3 * time.Second, retries: 1, noisyShare: 0.25}
)

type simServer struct {
	address       string
	jobs          []*simJob
	slowness      float64
	noiseChangeAt time.Duration
}

type simJob struct {
	workLeft float64 // ns of work on an undisturbed server
	started  time.Duration
	caller   *simCaller
	attempt  Attempt
}

type simCaller struct {
	arrived, retryAt time.Duration
	retries          int
	late             bool
	gateway          *Engine
	yieldUntil       time.Duration
}

func newOverloadSim(seed uint64, workload simWorkload, switches Switches) *overloadSim {
	switches.NoFallbackDetection = true
	sim := &overloadSim{byAddress: map[string]*simServer{}, workload: workload, random: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	for i := range workload.servers {
		s := &simServer{address: fmt.Sprintf("10.0.0.%d:80", i+1), slowness: 1}
		sim.servers = append(sim.servers, s)
		sim.byAddress[s.address] = s
	}
	for i := range simGateways {
		e := New(Config{Name: fmt.Sprint("gw-", i), Region: "r", FailureDomain: "d", EvidenceLifetime: time.Hour, NearFullFactor: nearFullSlowdown, Switches: switches})
		for _, s := range sim.servers {
			e.Apply(ServerChanged{Server: Server{Address: s.address, ID: s.address, Service: "s", Region: "r", FailureDomain: "d", Slots: workload.slots}})
		}
		sim.gateways = append(sim.gateways, e)
	}
	return sim
}

// run advances the simulation by a duration, with perSecond new callers per second on average.
func (sim *overloadSim) run(duration time.Duration, perSecond float64) {
	end := sim.now + duration
	for tick := 0; sim.now < end; tick++ {
		sim.now += simStep
		for _, s := range sim.servers {
			s.step(sim)
		}
		if tick%20 == 0 {
			for _, e := range sim.gateways {
				e.Tick(sim.now)
			}
		}
		for mean := perSecond * simStep.Seconds(); ; {
			mean -= sim.random.ExpFloat64()
			if mean < 0 {
				break
			}
			sim.started++
			sim.attempt(&simCaller{arrived: sim.now})
		}
		sim.retryDue()
	}
}

func (sim *overloadSim) retryDue() {
	callers := sim.callers
	sim.callers = nil
	for _, caller := range callers {
		if caller.retryAt > sim.now {
			sim.callers = append(sim.callers, caller)
			continue
		}
		sim.attempt(caller)
	}
}

// attempt picks a server for a caller as the request path does; a caller without a gateway gets a random one.
func (sim *overloadSim) attempt(caller *simCaller) {
	if caller.gateway == nil {
		caller.gateway = sim.gateways[sim.random.IntN(len(sim.gateways))]
	}
	age := sim.now - caller.arrived
	q := Query{Now: sim.now, Service: "s", AnyRegion: true, Random: sim.random.Uint64(), PreferProbed: true, Remaining: min(sim.workload.timeout, sim.workload.deadline-age)}
	q.Target, q.Late = cmp.Or(sim.workload.target-age, -1), caller.late
	sim.probe(caller, &q, false)
	if caller.yieldUntil == 0 && !caller.gateway.Current().HasIdleServer(&q) {
		sim.probe(caller, &q, true)
	}
	a, refusal := caller.gateway.Current().Pick(q)
	switch {
	case refusal.Reason == ReasonYield && sim.now < caller.yieldDeadline(sim.now):
		caller.late = true
		caller.retryAt = sim.now + yieldPoll/2 + time.Duration(sim.random.Int64N(int64(yieldPoll)))
		sim.callers = append(sim.callers, caller)
	case refusal.Refused():
		sim.retryLater(caller, refusal.RetryAfter)
	default:
		sim.byAddress[a.Address].enqueue(sim, &simJob{workLeft: float64(sim.workload.work) * math.Exp(0.3*sim.random.NormFloat64()-0.045), started: sim.now, caller: caller, attempt: a})
	}
}

func (sim *overloadSim) probe(caller *simCaller, q *Query, secondRound bool) {
	for _, t := range caller.gateway.Current().ProbeTargets(q, secondRound) {
		s := sim.byAddress[t.Address]
		t.Observe(Reading{At: sim.now, InFlight: len(s.jobs), Slowness: s.slowness})
	}
}

// yieldDeadline is the end of the time in which a caller waits at its gateway.
func (caller *simCaller) yieldDeadline(now time.Duration) time.Duration {
	if caller.yieldUntil == 0 {
		caller.yieldUntil = now + maxYield
	}
	return caller.yieldUntil
}

// retryLater schedules a retry at a newly chosen gateway, or counts a failure if no retries or no time are left.
func (sim *overloadSim) retryLater(caller *simCaller, after time.Duration) {
	left := sim.workload.deadline - (sim.now - caller.arrived)
	if caller.retries == sim.workload.retries || left <= 0 {
		sim.failed++
		return
	}
	caller.retries++
	caller.retryAt = sim.now + min(after, left/3)
	caller.gateway, caller.yieldUntil, caller.late = nil, 0, true
	sim.callers = append(sim.callers, caller)
}

func (s *simServer) enqueue(sim *overloadSim, j *simJob) {
	if len(s.jobs) >= sim.workload.slots+sim.workload.maxQueued {
		j.attempt.Done(Outcome{Kind: OutcomeNotRun})
		sim.retryLater(j.caller, 30*time.Millisecond)
		return
	}
	s.jobs = append(s.jobs, j)
}

func (s *simServer) step(sim *overloadSim) {
	if sim.now >= s.noiseChangeAt {
		s.noiseChangeAt = sim.now + time.Duration(sim.random.ExpFloat64()*float64(meanNoiseTime))
		s.slowness = 1
		if sim.random.Float64() < sim.workload.noisyShare {
			s.slowness = noisySlowness
		}
	}
	slowness := s.slowness
	if float64(len(s.jobs)) > 0.8*float64(sim.workload.slots) {
		slowness *= nearFullSlowdown
	}
	var kept []*simJob
	for i, j := range s.jobs {
		if i < sim.workload.slots {
			j.workLeft -= float64(simStep) / slowness
		}
		switch age := sim.now - j.started; {
		case j.workLeft <= 0:
			j.attempt.Done(Outcome{Kind: OutcomeOK, Latency: age, Slots: sim.workload.slots, InFlight: len(s.jobs) - 1})
			if sim.now-j.caller.arrived <= sim.workload.target {
				sim.inTime++
			} else {
				sim.late++
			}
		case age >= sim.workload.timeout:
			j.attempt.Done(Outcome{Kind: OutcomeFailed, Latency: age})
			sim.failed++
		default:
			kept = append(kept, j)
		}
	}
	s.jobs = kept
}

// outcomeShares holds the share of each outcome among all callers.
type outcomeShares struct{ inTime, late, failed float64 }

// runOverloadSim runs the simulation with three seeds and returns the outcomes of all runs.
func runOverloadSim(workload simWorkload, switches Switches, run func(sim *overloadSim)) outcomeShares {
	var total outcomeShares
	started := 0.0
	for seed := range uint64(3) {
		sim := newOverloadSim(seed+1, workload, switches)
		run(sim)
		started += float64(sim.started)
		total.inTime += float64(sim.inTime)
		total.late += float64(sim.late)
		total.failed += float64(sim.failed)
	}
	return outcomeShares{total.inTime / started, total.late / started, total.failed / started}
}

// Guards against an overload in which every request queues and therefore all requests are late.
func TestOverloadLeavesSlotsForOnTimeRequests(t *testing.T) {
	for _, tt := range []struct {
		name      string
		kind      simWorkload
		perSecond float64
	}{{"two slots", twoSlots, 115}, {"six slots", sixSlots, 180}} {
		run := func(sim *overloadSim) { sim.run(20*time.Second, tt.perSecond) }
		with, without := runOverloadSim(tt.kind, Switches{}, run), runOverloadSim(tt.kind, Switches{NoYield: true}, run)
		t.Logf("%s: %+v, without yielding %+v", tt.name, with, without)
		if with.inTime < 1.5*without.inTime || with.inTime < 0.5 {
			t.Errorf("%s: %.2f in time, %.2f without yielding; want at least 0.50, and at least 1.5 times as many", tt.name, with.inTime, without.inTime)
		}
		if with.failed > max(without.failed, 0.15) {
			t.Errorf("%s: %.2f failed, %.2f without yielding", tt.name, with.failed, without.failed)
		}
	}
}

// Guards against requests that yield although the servers could answer all of them in time.
func TestYieldingDoesNotAffectUsualLoads(t *testing.T) {
	for _, tt := range []struct {
		name      string
		kind      simWorkload
		perSecond float64
	}{{"two slots", twoSlots, 55}, {"two slots, nearly full", twoSlots, 80}, {"six slots", sixSlots, 120}} {
		run := func(sim *overloadSim) { sim.run(20*time.Second, tt.perSecond) }
		with, without := runOverloadSim(tt.kind, Switches{}, run), runOverloadSim(tt.kind, Switches{NoYield: true}, run)
		t.Logf("%s: %+v, without yielding %+v", tt.name, with, without)
		if with.inTime < without.inTime-0.02 || with.failed > without.failed+0.01 {
			t.Errorf("%s: %+v; without yielding %+v", tt.name, with, without)
		}
	}
}

// Guards against new callers that queue behind those whose requests an interruption delayed.
func TestRetriesAfterInterruptionYield(t *testing.T) {
	run := func(sim *overloadSim) {
		const interruption = 2 * time.Second
		for range int(55 * interruption.Seconds()) {
			caller := &simCaller{arrived: sim.now - time.Duration(sim.random.Int64N(int64(interruption))), late: true, retries: 1}
			caller.retryAt = sim.now + time.Duration(sim.random.Int64N(int64(200*time.Millisecond)))
			sim.callers = append(sim.callers, caller)
		}
		sim.run(3*time.Second, 55)
	}
	with, without := runOverloadSim(twoSlots, Switches{}, run), runOverloadSim(twoSlots, Switches{NoYield: true}, run)
	t.Logf("%+v, without yielding %+v", with, without)
	if with.inTime < without.inTime*1.1 {
		t.Errorf("%.2f of the new callers in time, %.2f without yielding", with.inTime, without.inTime)
	}
}
