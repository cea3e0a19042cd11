package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// overloadSim plays more requests than the servers of a service bear, in virtual time: servers with two slots that slow down
// when both are taken, noisy neighbours, callers who come back when they are told to, and gateways that each see a small
// part of the traffic.
type overloadSim struct {
	workload  simWorkload
	random    *rand.Rand
	now       time.Duration
	servers   []*simServer
	byAddress map[string]*simServer
	gateways  []*Engine
	callers   []*simCaller // callers who wait at their gateway or will come back

	started, inTime, late, lost int
}

// Model of the deployment.
const (
	simStep = 5 * time.Millisecond
	// A server whose slots are nearly all taken takes longer for each request, and one with a noisy neighbour still longer.
	nearFullSlowdown = 1.7
	noisySlowness    = 4.0
	meanNoiseTime    = 300 * time.Millisecond
	// Gateways let a request that yields look again at this interval, for that long.
	yieldPoll   = 250 * time.Millisecond
	maxYield    = time.Second
	simGateways = 40
)

// simWorkload is a kind of request and the servers that run it.
type simWorkload struct {
	servers, slots, queue           int
	work, target, timeout, deadline time.Duration
	retries                         int
	noisyShare                      float64
}

var (
	twoSlots = simWorkload{servers: 28, slots: 2, queue: 4, work: 210 * time.Millisecond, target: 500 * time.Millisecond,
		timeout: 2500 * time.Millisecond, deadline: 5 * time.Second, retries: 2, noisyShare: 0.35}
	sixSlots = simWorkload{servers: 24, slots: 6, queue: 12, work: 450 * time.Millisecond, target: 1200 * time.Millisecond,
		timeout: 2 * time.Second, deadline: 3 * time.Second, retries: 1, noisyShare: 0.25}
)

type simServer struct {
	address       string
	jobs          []*simJob
	slowness      float64
	noiseChangeAt time.Duration
}

type simJob struct {
	workLeft float64 // ns of work on a quiet server
	started  time.Duration
	caller   *simCaller
	attempt  Attempt
}

type simCaller struct {
	arrived, retryAt time.Duration
	retries          int
	late             bool
	gateway          *Engine
	yieldEnd         time.Duration
}

func newOverloadSim(seed uint64, kind simWorkload, switches Switches) *overloadSim {
	switches.NoFallbackDetection = true
	c := &overloadSim{byAddress: map[string]*simServer{}, workload: kind, random: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	for i := range kind.servers {
		s := &simServer{address: fmt.Sprintf("10.0.0.%d:80", i+1), slowness: 1}
		c.servers = append(c.servers, s)
		c.byAddress[s.address] = s
	}
	for i := range simGateways {
		e := New(Config{Name: fmt.Sprint("gw-", i), Region: "r", FailureDomain: "d", EvidenceLifetime: time.Hour, NearFullFactor: nearFullSlowdown, Switches: switches})
		for _, s := range c.servers {
			e.Apply(ServerChanged{Server: Server{Address: s.address, ID: s.address, Service: "s", Region: "r", FailureDomain: "d", Slots: kind.slots}})
		}
		c.gateways = append(c.gateways, e)
	}
	return c
}

// run runs for a time with so many new callers per second.
func (c *overloadSim) run(duration time.Duration, perSecond float64) {
	end := c.now + duration
	for tick := 0; c.now < end; tick++ {
		c.now += simStep
		for _, s := range c.servers {
			s.step(c)
		}
		if tick%20 == 0 {
			for _, e := range c.gateways {
				e.Tick(c.now)
			}
		}
		for mean := perSecond * simStep.Seconds(); ; {
			mean -= c.random.ExpFloat64()
			if mean < 0 {
				break
			}
			c.started++
			c.attempt(&simCaller{arrived: c.now})
		}
		c.retryDue()
	}
}

func (c *overloadSim) retryDue() {
	waiting := c.callers
	c.callers = nil
	for _, w := range waiting {
		if w.retryAt > c.now {
			c.callers = append(c.callers, w)
			continue
		}
		c.attempt(w)
	}
}

// attempt picks a server for a caller at a random gateway, as the request path does.
func (c *overloadSim) attempt(w *simCaller) {
	if w.gateway == nil {
		w.gateway = c.gateways[c.random.IntN(len(c.gateways))]
	}
	age := c.now - w.arrived
	q := Query{Now: c.now, Service: "s", AnyRegion: true, Random: c.random.Uint64(), PreferProbed: true, Remaining: min(c.workload.timeout, c.workload.deadline-age)}
	q.Target, q.Late = cmp.Or(c.workload.target-age, -1), w.late
	c.probe(w, &q, false)
	if w.yieldEnd == 0 && !w.gateway.Current().HasIdleServer(&q) {
		c.probe(w, &q, true)
	}
	a, refusal := w.gateway.Current().Pick(q)
	switch {
	case refusal.Reason == ReasonYield && c.now < w.yieldsUntil(c.now):
		w.late = true
		w.retryAt = c.now + yieldPoll/2 + time.Duration(c.random.Int64N(int64(yieldPoll)))
		c.callers = append(c.callers, w)
	case refusal.Refused():
		c.retryLater(w, refusal.RetryAfter)
	default:
		c.byAddress[a.Address].enqueue(c, &simJob{workLeft: float64(c.workload.work) * math.Exp(0.3*c.random.NormFloat64()-0.045), started: c.now, caller: w, attempt: a})
	}
}

func (c *overloadSim) probe(w *simCaller, q *Query, more bool) {
	for _, t := range w.gateway.Current().ProbeTargets(q, more) {
		s := c.byAddress[t.Address]
		t.Observe(Reading{At: c.now, InFlight: len(s.jobs), Slowness: s.slowness})
	}
}

// yieldsUntil is the end of the time in which a caller waits at its gateway.
func (w *simCaller) yieldsUntil(now time.Duration) time.Duration {
	if w.yieldEnd == 0 {
		w.yieldEnd = now + maxYield
	}
	return w.yieldEnd
}

// retryLater lets a caller come back, by way of another gateway, until it has no more retries.
func (c *overloadSim) retryLater(w *simCaller, after time.Duration) {
	left := c.workload.deadline - (c.now - w.arrived)
	if w.retries == c.workload.retries || left <= 0 {
		c.lost++
		return
	}
	w.retries++
	w.retryAt = c.now + min(after, left/3)
	w.gateway, w.yieldEnd, w.late = nil, 0, true
	c.callers = append(c.callers, w)
}

func (s *simServer) enqueue(c *overloadSim, j *simJob) {
	if len(s.jobs) >= c.workload.slots+c.workload.queue {
		j.attempt.Done(Outcome{Kind: OutcomeNotRun})
		c.retryLater(j.caller, 30*time.Millisecond)
		return
	}
	s.jobs = append(s.jobs, j)
}

func (s *simServer) step(c *overloadSim) {
	if c.now >= s.noiseChangeAt {
		s.noiseChangeAt = c.now + time.Duration(c.random.ExpFloat64()*float64(meanNoiseTime))
		s.slowness = 1
		if c.random.Float64() < c.workload.noisyShare {
			s.slowness = noisySlowness
		}
	}
	slowness := s.slowness
	if float64(len(s.jobs)) > 0.8*float64(c.workload.slots) {
		slowness *= nearFullSlowdown
	}
	var kept []*simJob
	for i, j := range s.jobs {
		if i < c.workload.slots {
			j.workLeft -= float64(simStep) / slowness
		}
		switch held := c.now - j.started; {
		case j.workLeft <= 0:
			j.attempt.Done(Outcome{Kind: OutcomeOK, Latency: held, Slots: c.workload.slots, InFlight: len(s.jobs) - 1})
			if c.now-j.caller.arrived <= c.workload.target {
				c.inTime++
			} else {
				c.late++
			}
		case held >= c.workload.timeout:
			j.attempt.Done(Outcome{Kind: OutcomeFailed, Latency: held})
			c.lost++
		default:
			kept = append(kept, j)
		}
	}
	s.jobs = kept
}

// outcomeShares are parts of all callers.
type outcomeShares struct{ inTime, late, lost float64 }

// runOverloadSim plays some seeds of a load.
func runOverloadSim(kind simWorkload, switches Switches, play func(c *overloadSim)) outcomeShares {
	var total outcomeShares
	asked := 0.0
	for seed := range uint64(3) {
		c := newOverloadSim(seed+1, kind, switches)
		play(c)
		asked += float64(c.started)
		total.inTime += float64(c.inTime)
		total.late += float64(c.late)
		total.lost += float64(c.lost)
	}
	return outcomeShares{total.inTime / asked, total.late / asked, total.lost / asked}
}

// Guards against an overload in which every request queues and all of them are late.
func TestOverloadLeavesSlotsToRequestsInTime(t *testing.T) {
	for _, tt := range []struct {
		name      string
		kind      simWorkload
		perSecond float64
	}{{"two slots", twoSlots, 115}, {"six slots", sixSlots, 180}} {
		play := func(c *overloadSim) { c.run(20*time.Second, tt.perSecond) }
		with, without := runOverloadSim(tt.kind, Switches{}, play), runOverloadSim(tt.kind, Switches{NoYield: true}, play)
		t.Logf("%s: %+v, without yielding %+v", tt.name, with, without)
		if with.inTime < 1.5*without.inTime || with.inTime < 0.5 {
			t.Errorf("%s: %.2f in time, %.2f without yielding; want half and more, and half as much again", tt.name, with.inTime, without.inTime)
		}
		if with.lost > max(without.lost, 0.15) {
			t.Errorf("%s: %.2f lost, %.2f without yielding", tt.name, with.lost, without.lost)
		}
	}
}

// Guards against requests that yield although all of them could be served.
func TestYieldingCostsNothingAtUsualLoads(t *testing.T) {
	for _, tt := range []struct {
		name      string
		kind      simWorkload
		perSecond float64
	}{{"two slots", twoSlots, 55}, {"two slots, nearly full", twoSlots, 80}, {"six slots", sixSlots, 120}} {
		play := func(c *overloadSim) { c.run(20*time.Second, tt.perSecond) }
		with, without := runOverloadSim(tt.kind, Switches{}, play), runOverloadSim(tt.kind, Switches{NoYield: true}, play)
		t.Logf("%s: %+v, without yielding %+v", tt.name, with, without)
		if with.inTime < without.inTime-0.02 || with.lost > without.lost+0.01 {
			t.Errorf("%s: %+v; without yielding %+v", tt.name, with, without)
		}
	}
}

// Guards against new callers who wait behind those that an interruption has kept waiting.
func TestCallersWhoComeBackAfterAnInterruptionYield(t *testing.T) {
	play := func(c *overloadSim) {
		const gone = 2 * time.Second
		for range int(55 * gone.Seconds()) {
			w := &simCaller{arrived: c.now - time.Duration(c.random.Int64N(int64(gone))), late: true, retries: 1}
			w.retryAt = c.now + time.Duration(c.random.Int64N(int64(200*time.Millisecond)))
			c.callers = append(c.callers, w)
		}
		c.run(3*time.Second, 55)
	}
	with, without := runOverloadSim(twoSlots, Switches{}, play), runOverloadSim(twoSlots, Switches{NoYield: true}, play)
	t.Logf("%+v, without yielding %+v", with, without)
	if with.inTime < without.inTime*1.1 {
		t.Errorf("%.2f of the new callers in time, %.2f without yielding", with.inTime, without.inTime)
	}
}
