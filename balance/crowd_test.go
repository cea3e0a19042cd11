package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// crowd plays more requests than the servers of a service bear, in virtual time: servers with two slots that slow down
// when both are taken, noisy neighbours, callers who come back when they are told to, and gateways that each see a small
// part of the traffic.
type crowd struct {
	kind      crowdKind
	random    *rand.Rand
	now       time.Duration
	servers   []*crowdServer
	byAddress map[string]*crowdServer
	gateways  []*Engine
	waiting   []*crowdCaller // callers who wait at their gateway or will come back

	asked, inTime, late, lost int
}

// Model of the deployment.
const (
	crowdStep = 5 * time.Millisecond
	// A server whose slots are nearly all taken takes longer for each request, and one with a noisy neighbour still longer.
	crowdKnee  = 1.7
	crowdNoise = 4.0
	noisyFor   = 300 * time.Millisecond
	// Gateways let a request that yields look again at this interval, for that long.
	crowdPoll     = 250 * time.Millisecond
	crowdYield    = time.Second
	crowdGateways = 40
)

// crowdKind is a kind of request and the servers that run it.
type crowdKind struct {
	servers, slots, queue           int
	work, target, timeout, deadline time.Duration
	retries                         int
	noisyShare                      float64
}

var (
	twoSlots = crowdKind{servers: 28, slots: 2, queue: 4, work: 210 * time.Millisecond, target: 500 * time.Millisecond,
		timeout: 2500 * time.Millisecond, deadline: 5 * time.Second, retries: 2, noisyShare: 0.35}
	sixSlots = crowdKind{servers: 24, slots: 6, queue: 12, work: 450 * time.Millisecond, target: 1200 * time.Millisecond,
		timeout: 2 * time.Second, deadline: 3 * time.Second, retries: 1, noisyShare: 0.25}
)

type crowdServer struct {
	address string
	jobs    []*crowdJob
	noise   float64
	redraw  time.Duration
}

type crowdJob struct {
	left    float64 // ns of work on a quiet server
	started time.Duration
	caller  *crowdCaller
	attempt Attempt
}

type crowdCaller struct {
	arrived, back time.Duration
	retries       int
	late          bool
	gateway       *Engine
	yieldEnd      time.Duration
}

func newCrowd(seed uint64, kind crowdKind, switches Switches) *crowd {
	switches.NoFallbackDetection = true
	c := &crowd{byAddress: map[string]*crowdServer{}, kind: kind, random: rand.New(rand.NewPCG(seed, 1)), now: time.Second}
	for i := range kind.servers {
		s := &crowdServer{address: fmt.Sprintf("10.0.0.%d:80", i+1), noise: 1}
		c.servers = append(c.servers, s)
		c.byAddress[s.address] = s
	}
	for i := range crowdGateways {
		e := New(Config{Name: fmt.Sprint("gw-", i), Region: "r", FailureDomain: "d", EvidenceLifetime: time.Hour, NearFullFactor: crowdKnee, Switches: switches})
		for _, s := range c.servers {
			e.Apply(ServerChanged{Server: Server{Address: s.address, ID: s.address, Service: "s", Region: "r", FailureDomain: "d", Slots: kind.slots}})
		}
		c.gateways = append(c.gateways, e)
	}
	return c
}

// play runs for a time with so many new callers per second.
func (c *crowd) play(length time.Duration, perSecond float64) {
	end := c.now + length
	for tick := 0; c.now < end; tick++ {
		c.now += crowdStep
		for _, s := range c.servers {
			s.step(c)
		}
		if tick%20 == 0 {
			for _, e := range c.gateways {
				e.Tick(c.now)
			}
		}
		for mean := perSecond * crowdStep.Seconds(); ; {
			mean -= c.random.ExpFloat64()
			if mean < 0 {
				break
			}
			c.asked++
			c.ask(&crowdCaller{arrived: c.now})
		}
		c.comeBack()
	}
}

func (c *crowd) comeBack() {
	waiting := c.waiting
	c.waiting = nil
	for _, w := range waiting {
		if w.back > c.now {
			c.waiting = append(c.waiting, w)
			continue
		}
		c.ask(w)
	}
}

// ask picks a server for a caller at a random gateway, as the request path does.
func (c *crowd) ask(w *crowdCaller) {
	if w.gateway == nil {
		w.gateway = c.gateways[c.random.IntN(len(c.gateways))]
	}
	age := c.now - w.arrived
	q := Query{Now: c.now, Service: "s", AnyRegion: true, Random: c.random.Uint64(), PreferProbed: true, Remaining: min(c.kind.timeout, c.kind.deadline-age)}
	q.Target, q.Late = cmp.Or(c.kind.target-age, -1), w.late
	c.probe(w, &q, false)
	if w.yieldEnd == 0 && !w.gateway.Current().HasIdleServer(&q) {
		c.probe(w, &q, true)
	}
	a, refusal := w.gateway.Current().Pick(q)
	switch {
	case refusal.Reason == ReasonYield && c.now < w.yieldsUntil(c.now):
		w.late = true
		w.back = c.now + crowdPoll/2 + time.Duration(c.random.Int64N(int64(crowdPoll)))
		c.waiting = append(c.waiting, w)
	case refusal.Refused():
		c.refused(w, refusal.RetryAfter)
	default:
		c.byAddress[a.Address].take(c, &crowdJob{left: float64(c.kind.work) * math.Exp(0.3*c.random.NormFloat64()-0.045), started: c.now, caller: w, attempt: a})
	}
}

func (c *crowd) probe(w *crowdCaller, q *Query, more bool) {
	for _, t := range w.gateway.Current().ProbeTargets(q, more) {
		s := c.byAddress[t.Address]
		t.Observe(Reading{At: c.now, InFlight: len(s.jobs), Slowness: s.noise})
	}
}

// yieldsUntil is the end of the time in which a caller waits at its gateway.
func (w *crowdCaller) yieldsUntil(now time.Duration) time.Duration {
	if w.yieldEnd == 0 {
		w.yieldEnd = now + crowdYield
	}
	return w.yieldEnd
}

// refused lets a caller come back, by way of another gateway, until it has no more retries.
func (c *crowd) refused(w *crowdCaller, after time.Duration) {
	left := c.kind.deadline - (c.now - w.arrived)
	if w.retries == c.kind.retries || left <= 0 {
		c.lost++
		return
	}
	w.retries++
	w.back = c.now + min(after, left/3)
	w.gateway, w.yieldEnd, w.late = nil, 0, true
	c.waiting = append(c.waiting, w)
}

func (s *crowdServer) take(c *crowd, j *crowdJob) {
	if len(s.jobs) >= c.kind.slots+c.kind.queue {
		j.attempt.Done(Outcome{Kind: OutcomeNotRun})
		c.refused(j.caller, 30*time.Millisecond)
		return
	}
	s.jobs = append(s.jobs, j)
}

func (s *crowdServer) step(c *crowd) {
	if c.now >= s.redraw {
		s.redraw = c.now + time.Duration(c.random.ExpFloat64()*float64(noisyFor))
		s.noise = 1
		if c.random.Float64() < c.kind.noisyShare {
			s.noise = crowdNoise
		}
	}
	slowness := s.noise
	if float64(len(s.jobs)) > 0.8*float64(c.kind.slots) {
		slowness *= crowdKnee
	}
	var kept []*crowdJob
	for i, j := range s.jobs {
		if i < c.kind.slots {
			j.left -= float64(crowdStep) / slowness
		}
		switch held := c.now - j.started; {
		case j.left <= 0:
			j.attempt.Done(Outcome{Kind: OutcomeOK, Latency: held, Slots: c.kind.slots, InFlight: len(s.jobs) - 1})
			if c.now-j.caller.arrived <= c.kind.target {
				c.inTime++
			} else {
				c.late++
			}
		case held >= c.kind.timeout:
			j.attempt.Done(Outcome{Kind: OutcomeFailed, Latency: held})
			c.lost++
		default:
			kept = append(kept, j)
		}
	}
	s.jobs = kept
}

// shares are parts of all callers.
type shares struct{ inTime, late, lost float64 }

// playCrowd plays some seeds of a load.
func playCrowd(kind crowdKind, switches Switches, play func(c *crowd)) shares {
	var total shares
	asked := 0.0
	for seed := range uint64(3) {
		c := newCrowd(seed+1, kind, switches)
		play(c)
		asked += float64(c.asked)
		total.inTime += float64(c.inTime)
		total.late += float64(c.late)
		total.lost += float64(c.lost)
	}
	return shares{total.inTime / asked, total.late / asked, total.lost / asked}
}

// Guards against an overload in which every request queues and all of them are late.
func TestOverloadLeavesSlotsToRequestsInTime(t *testing.T) {
	for _, tt := range []struct {
		name      string
		kind      crowdKind
		perSecond float64
	}{{"two slots", twoSlots, 115}, {"six slots", sixSlots, 180}} {
		play := func(c *crowd) { c.play(20*time.Second, tt.perSecond) }
		with, without := playCrowd(tt.kind, Switches{}, play), playCrowd(tt.kind, Switches{NoYield: true}, play)
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
		kind      crowdKind
		perSecond float64
	}{{"two slots", twoSlots, 55}, {"two slots, nearly full", twoSlots, 80}, {"six slots", sixSlots, 120}} {
		play := func(c *crowd) { c.play(20*time.Second, tt.perSecond) }
		with, without := playCrowd(tt.kind, Switches{}, play), playCrowd(tt.kind, Switches{NoYield: true}, play)
		t.Logf("%s: %+v, without yielding %+v", tt.name, with, without)
		if with.inTime < without.inTime-0.02 || with.lost > without.lost+0.01 {
			t.Errorf("%s: %+v; without yielding %+v", tt.name, with, without)
		}
	}
}

// Guards against new callers who wait behind those that an interruption has kept waiting.
func TestCallersWhoComeBackAfterAnInterruptionYield(t *testing.T) {
	play := func(c *crowd) {
		const gone = 2 * time.Second
		for range int(55 * gone.Seconds()) {
			w := &crowdCaller{arrived: c.now - time.Duration(c.random.Int64N(int64(gone))), late: true, retries: 1}
			w.back = c.now + time.Duration(c.random.Int64N(int64(200*time.Millisecond)))
			c.waiting = append(c.waiting, w)
		}
		c.play(3*time.Second, 55)
	}
	with, without := playCrowd(twoSlots, Switches{}, play), playCrowd(twoSlots, Switches{NoYield: true}, play)
	t.Logf("%+v, without yielding %+v", with, without)
	if with.inTime < without.inTime*1.1 {
		t.Errorf("%.2f of the new callers in time, %.2f without yielding", with.inTime, without.inTime)
	}
}
