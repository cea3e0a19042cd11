package main

import (
	"slices"
	"time"

	"heatherwall.example/balance"
)

// Constants of the model of a backend server.
const (
	// shedFactor: a server sheds load when so many times its slots are there.
	shedFactor = 5
	// coldSlowness stretches the work of a server in cold start.
	coldSlowness = 2
	// coldStep is the number of finished requests after which a cold server bears one more.
	coldStep = 4
	// failTime is the time in which a fast failer fails.
	failTime = 200 * time.Microsecond
)

// server runs requests on slots, with a queue in the order of arrival.
type server struct {
	sim     *simulation
	index   int
	address string
	place   place
	slots   int

	running []*job
	queue   []*job
	// slowness stretches all work; 1 is normal.
	slowness float64
	failing  bool
	// failShare is the share of requests that fail, at once or, if failLate is set, after their work.
	failShare float64
	failLate  bool
	// shedding: the server sheds every request with a Retry-After, whatever its load.
	shedding bool
	down     bool
	cold     bool
	silent   bool // reports ready although it is cold
	finished int  // since the start of the cold start
	// report falsifies the reported load; nil reports the truth.
	report func(inFlight int) int
	// announced and sequence are what its owner last spread.
	announced balance.State
	sequence  uint64
	// Requests at a cold server count from watchFrom on.
	watchFrom time.Duration
	overLimit int
	peakRatio float64
}

// job is one attempt at a server.
type job struct {
	left    time.Duration
	updated time.Duration
	wake    uint64
	end     func(balance.Outcome)
	expires time.Duration
	ended   bool
}

func (s *server) inFlight() int { return len(s.running) + len(s.queue) }

// bears is the number of requests that the server can bear.
func (s *server) bears() int {
	if !s.cold {
		return shedFactor * s.slots
	}
	return min(1+s.finished/coldStep, s.slots)
}

// rate is the speed of work: below 1 when slowed, cold or above what it bears.
func (s *server) rate() float64 {
	r := 1 / s.slowness
	if !s.cold {
		return r
	}
	r /= coldSlowness
	if over := float64(s.inFlight()) / float64(s.bears()); over > 1 {
		r /= over * over
	}
	return r
}

func (s *server) arrive(j *job) {
	switch {
	case s.failing || !s.failLate && s.fails():
		s.sim.clock.after(failTime, func() { s.finish(j, balance.OutcomeFailed) })
		return
	case s.shedding || !s.cold && s.inFlight() >= shedFactor*s.slots:
		s.finish(j, balance.OutcomeNotRun)
		return
	}
	s.update()
	s.queue = append(s.queue, j)
	s.watchCold()
	s.fill()
	s.schedule()
}

// watchCold compares what is in flight at a cold server with what it bears.
func (s *server) watchCold() {
	if !s.cold || s.sim.clock.now < s.watchFrom {
		return
	}
	ratio := float64(s.inFlight()) / float64(s.bears())
	s.peakRatio = max(s.peakRatio, ratio)
	if ratio > 1 {
		s.overLimit++
	}
}

func (s *server) fill() {
	now := s.sim.clock.now
	for len(s.running) < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if now >= j.expires {
			s.finish(j, balance.OutcomeFailed)
			continue
		}
		j.updated = now
		s.running = append(s.running, j)
	}
}

// update brings the work left of running jobs up to now; call it before anything that changes the rate.
func (s *server) update() {
	now, rate := s.sim.clock.now, s.rate()
	for _, j := range s.running {
		j.left -= time.Duration(float64(now-j.updated) * rate)
		j.updated = now
	}
}

// schedule plans the end of each running job at the present rate.
func (s *server) schedule() {
	rate := s.rate()
	for _, j := range s.running {
		j.wake++
		wake := j.wake
		s.sim.clock.after(time.Duration(float64(max(j.left, 0))/rate)+1, func() {
			if j.wake == wake && !j.ended {
				s.complete(j)
			}
		})
	}
}

func (s *server) complete(j *job) {
	s.update()
	s.remove(j)
	s.finished++
	kind := balance.OutcomeOK
	if s.failLate && s.fails() {
		kind = balance.OutcomeFailed
	}
	s.finish(j, kind)
	s.fill()
	s.schedule()
}

// fails draws whether a request fails.
func (s *server) fails() bool { return s.failShare > 0 && s.sim.failures.Float64() < s.failShare }

// cancel frees the place of a job that nobody waits for.
func (s *server) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	s.update()
	s.remove(j)
	s.fill()
	s.schedule()
}

func (s *server) remove(j *job) {
	s.running = slices.DeleteFunc(s.running, func(x *job) bool { return x == j })
	s.queue = slices.DeleteFunc(s.queue, func(x *job) bool { return x == j })
}

func (s *server) finish(j *job, kind balance.OutcomeKind) {
	if j.ended {
		return
	}
	j.ended = true
	o := balance.Outcome{Kind: kind, HasState: true, State: s.reportedState(), InFlight: s.inFlight(), Slots: s.slots}
	if s.report != nil {
		o.InFlight = s.report(o.InFlight)
	}
	j.end(o)
}

func (s *server) reportedState() balance.State {
	if s.cold && !s.silent {
		return balance.StateCold
	}
	return balance.StateReady
}

func (s *server) setSlowness(f float64) {
	s.update()
	s.slowness = f
	s.schedule()
}

// fallBack puts the server into cold start; requests admitted later than grace count against what it bears.
func (s *server) fallBack(silent bool, grace time.Duration) {
	s.update()
	s.cold, s.silent, s.finished = true, silent, 0
	s.watchFrom = s.sim.clock.now + grace
	s.schedule()
}

func (s *server) warm() {
	s.update()
	s.cold = false
	s.schedule()
}

// crash breaks all connections; none can be opened until the server is up again.
func (s *server) crash() {
	s.down = true
	jobs := append(slices.Clone(s.running), s.queue...)
	s.running, s.queue = nil, nil
	for _, j := range jobs {
		if !j.ended {
			j.ended = true
			j.end(balance.Outcome{Kind: balance.OutcomeCrashed})
		}
	}
}
