package balance

import (
	"sync/atomic"
	"time"
)

// Constants of ejection.
const (
	// ejectedShare: at most one server in this many of a service is ejected.
	ejectedShare = 3
	// stragglerFactor makes a server a straggler, in typical work times.
	stragglerFactor = 6
	// stragglerFloor keeps small differences from counting.
	stragglerFloor = 4 * time.Millisecond
	// stragglerTime is how long a server must be slow. Noise of neighbours shifts faster.
	stragglerTime = 600 * time.Millisecond
	// failureShare is the share of failures above which a server is ejected.
	failureShare = 0.5
	// minAnswers is the number of answers below which a server is not judged.
	minAnswers = 4
	// failureWeight moves the share of failures at each answer.
	failureWeight = 0.2
	// ejectFirst and ejectMost bound the time of ejection, which doubles with each ejection in a row.
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
	ejectSteps = 5
	// forgiveAfter is the time since the last ejection after which the next one is short again.
	forgiveAfter = time.Minute
)

// strikes is what counts against a server.
type strikes struct {
	failures atomicFloat
	answers  atomic.Uint32
	// slowSince belongs to the owner goroutine; 0 for not slow.
	slowSince time.Duration
	ejections int
	lastEnd   time.Duration
	ejected   bool
}

func (s *strikes) answered(ok bool) {
	s.answers.Add(1)
	sample := 1.0
	if ok {
		sample = 0
	}
	s.failures.blend(sample, failureWeight)
}

// failing reports whether most of the recent answers were failures.
func (s *strikes) failing() bool {
	return s.answers.Load() >= minAnswers && s.failures.load() > failureShare
}

// eject decides for one service which servers receive nothing for a while; records are in the order of addresses.
func (e *Engine) eject(records []*record, typical float64) {
	ejected := 0
	for _, r := range records {
		e.endEjection(r)
		if r.load.strikes.ejected {
			ejected++
		}
	}
	for _, r := range records {
		if r.load.strikes.ejected || !e.deservesEjection(r, typical) {
			continue
		}
		if ejected >= len(records)/ejectedShare {
			return
		}
		e.startEjection(r)
		ejected++
	}
}

func (e *Engine) endEjection(r *record) {
	s := &r.load.strikes
	if !s.ejected || e.now < r.load.ejectedUntil.load() {
		return
	}
	s.ejected = false
	s.lastEnd = e.now
	s.failures.store(0)
	s.answers.Store(0)
	s.slowSince = 0
	r.load.latency.reset()
	r.load.returnStart.store(e.now)
	e.notice(NoticeReturned, r)
}

func (e *Engine) deservesEjection(r *record, typical float64) bool {
	if e.config.Switches.NoEjection || r.server.State != StateReady {
		return false
	}
	s := &r.load.strikes
	if s.failing() {
		return true
	}
	if !e.slow(r, typical) {
		s.slowSince = 0
		return false
	}
	if s.slowSince == 0 {
		s.slowSince = e.now
	}
	return e.now-s.slowSince >= stragglerTime
}

// slow compares the newest answers and the age of what is outstanding, less the wait for slots, with the typical work
// time.
func (e *Engine) slow(r *record, typical float64) bool {
	if typical == 0 {
		return false
	}
	own := r.load.inFlight.Load()
	others, _ := r.load.report.fresh(e.now, typical, e.config.Switches)
	age := float64(r.load.meanAge(e.now, own)-e.cost(r.server)) / stretch(float64(own)+others, slots(r.server))
	work := age
	if r.load.latency.samples.Load() >= minAnswers {
		work = max(age, r.load.latency.fast.load())
	}
	return work > stragglerFactor*typical+float64(stragglerFloor)
}

func (e *Engine) startEjection(r *record) {
	s := &r.load.strikes
	if e.now-s.lastEnd > forgiveAfter {
		s.ejections = 0
	}
	length := min(ejectFirst<<min(s.ejections, ejectSteps), ejectMost)
	s.ejections++
	s.ejected = true
	r.load.ejectedUntil.store(e.now + length)
	e.notice(NoticeEjected, r)
}
