package main

import (
	"slices"
	"time"

	"heatherwall.example/balance"
)

// Constants of the backend server model.
const (
	// shedFactor times its slots is the number of requests in flight at which a server starts to shed load.
	shedFactor = 5
	// coldSlowness multiplies the work time of a server in cold start.
	coldSlowness = 2
	// coldStep is the number of finished requests after which the in-flight limit of a cold server rises by one.
	coldStep = 4
	// failTime is the time after which a request that fails immediately is answered.
	failTime = 200 * time.Microsecond
)

// server models a backend server: it runs requests on slots and keeps the others in a FIFO queue.
type server struct {
	sim     *simulation
	index   int
	address string
	place   place
	slots   int

	running []*job
	queue   []*job
	// slowness multiplies all work times; 1 is normal.
	slowness float64
	failing  bool
	// failShare is the share of requests that fail, either immediately or, if failLate is set, after their work.
	failShare float64
	failLate  bool
	// shedding makes the server shed every request with a Retry-After, whatever its load.
	shedding bool
	down     bool
	cold     bool
	silent   bool // reports ready although it is cold
	finished int  // requests finished since the last cold start began
	// report returns a false load for the number of requests in flight; if it is nil, the server reports the true load.
	report func(inFlight int) int
	// announced and sequence are the state and sequence number that its owner last announced to the gateways.
	announced balance.State
	sequence  uint64
	// From limitFrom on, requests that exceed the in-flight limit of a cold server are counted in overLimit. peakRatio is
	// the highest ratio of requests in flight to that limit.
	limitFrom time.Duration
	overLimit int
	peakRatio float64
}

// job is the work of one attempt at a server.
type job struct {
	// remaining is the work time left at the time updated.
	remaining time.Duration
	updated   time.Duration
	// completionVersion invalidates completions scheduled before the last change of the rate.
	completionVersion uint64
	end               func(balance.Outcome)
	expires           time.Duration
	ended             bool
}

func (s *server) inFlight() int { return len(s.running) + len(s.queue) }

// inFlightLimit is the number of requests in flight above which the server sheds load or, in cold start, slows down.
func (s *server) inFlightLimit() int {
	if !s.cold {
		return shedFactor * s.slots
	}
	return min(1+s.finished/coldStep, s.slots)
}

// rate returns the work done per unit of time: below 1 if the server is slow or cold, and lower still if a cold server is
// above its in-flight limit.
func (s *server) rate() float64 {
	r := 1 / s.slowness
	if !s.cold {
		return r
	}
	r /= coldSlowness
	if over := float64(s.inFlight()) / float64(s.inFlightLimit()); over > 1 {
		r /= over * over
	}
	return r
}

func (s *server) arrive(j *job) {
	switch {
	case s.failing || !s.failLate && s.drawFailure():
		s.sim.clock.after(failTime, func() { s.respond(j, balance.OutcomeFailed) })
		return
	case s.shedding || !s.cold && s.inFlight() >= shedFactor*s.slots:
		s.respond(j, balance.OutcomeNotRun)
		return
	}
	s.updateRemaining()
	s.queue = append(s.queue, j)
	s.checkColdLimit()
	s.startQueued()
	s.scheduleCompletions()
}

// checkColdLimit compares the number of requests in flight at a cold server with its limit.
func (s *server) checkColdLimit() {
	if !s.cold || s.sim.clock.now < s.limitFrom {
		return
	}
	ratio := float64(s.inFlight()) / float64(s.inFlightLimit())
	s.peakRatio = max(s.peakRatio, ratio)
	if ratio > 1 {
		s.overLimit++
	}
}

func (s *server) startQueued() {
	now := s.sim.clock.now
	for len(s.running) < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if now >= j.expires {
			s.respond(j, balance.OutcomeFailed)
			continue
		}
		j.updated = now
		s.running = append(s.running, j)
	}
}

// updateRemaining updates the remaining work of running jobs. It must be called before any change of the rate.
func (s *server) updateRemaining() {
	now, rate := s.sim.clock.now, s.rate()
	for _, j := range s.running {
		j.remaining -= time.Duration(float64(now-j.updated) * rate)
		j.updated = now
	}
}

// scheduleCompletions schedules the completion of each running job at the current rate.
func (s *server) scheduleCompletions() {
	rate := s.rate()
	for _, j := range s.running {
		j.completionVersion++
		version := j.completionVersion
		s.sim.clock.after(time.Duration(float64(max(j.remaining, 0))/rate)+1, func() {
			if j.completionVersion == version && !j.ended {
				s.complete(j)
			}
		})
	}
}

func (s *server) complete(j *job) {
	s.updateRemaining()
	s.remove(j)
	s.finished++
	kind := balance.OutcomeOK
	if s.failLate && s.drawFailure() {
		kind = balance.OutcomeFailed
	}
	s.respond(j, kind)
	s.startQueued()
	s.scheduleCompletions()
}

// drawFailure decides at random whether a request fails.
func (s *server) drawFailure() bool { return s.failShare > 0 && s.sim.failures.Float64() < s.failShare }

// cancel frees the slot or queue place of a job that nobody waits for.
func (s *server) cancel(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	s.updateRemaining()
	s.remove(j)
	s.startQueued()
	s.scheduleCompletions()
}

func (s *server) remove(j *job) {
	s.running = slices.DeleteFunc(s.running, func(x *job) bool { return x == j })
	s.queue = slices.DeleteFunc(s.queue, func(x *job) bool { return x == j })
}

func (s *server) respond(j *job, kind balance.OutcomeKind) {
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
	s.updateRemaining()
	s.slowness = f
	s.scheduleCompletions()
}

// fallBack puts the server into cold start; requests that exceed its in-flight limit are counted once grace
// has passed.
func (s *server) fallBack(silent bool, grace time.Duration) {
	s.updateRemaining()
	s.cold, s.silent, s.finished = true, silent, 0
	s.limitFrom = s.sim.clock.now + grace
	s.scheduleCompletions()
}

func (s *server) warm() {
	s.updateRemaining()
	s.cold = false
	s.scheduleCompletions()
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
