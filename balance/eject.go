package balance

import "time"

// Constants of ejection.
const (
	// ejectedShare: at most one server in this many of a service is ejected.
	ejectedShare = 3
	// hangFactor makes a server hang, in typical work times. Servers that are slow but answer are avoided by their expected
	// wait; ejecting them as well takes capacity away, above all while a failure domain is out.
	hangFactor = 20
	// hangFloor keeps small differences from counting.
	hangFloor = 4 * time.Millisecond
	// hangTime is how long a server must hang. Noise of neighbours shifts faster.
	hangTime = 600 * time.Millisecond
	// minAnswers is the number of answers below which a server is not judged.
	minAnswers = 4
	// ejectFirst and ejectMost bound the time of ejection, which doubles with each ejection in a row.
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
	ejectSteps = 5
	// forgiveAfter is the time since the last ejection after which the next one is short again.
	forgiveAfter = time.Minute
)

// strikes is what counts against a server; it belongs to the owner goroutine.
type strikes struct {
	// hangsSince is 0 for a server that does not hang.
	hangsSince time.Duration
	ejections  int
	lastEnd    time.Duration
	ejected    bool
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
	s.hangsSince = 0
	r.load.latency.reset()
	r.load.returnStart.store(e.now)
	e.notice(NoticeReturned, r)
}

func (e *Engine) deservesEjection(r *record, typical float64) bool {
	if e.config.Switches.NoEjection || r.server.State != StateReady {
		return false
	}
	s := &r.load.strikes
	if !e.hangs(r, typical) {
		s.hangsSince = 0
		return false
	}
	if s.hangsSince == 0 {
		s.hangsSince = e.now
	}
	return e.now-s.hangsSince >= hangTime
}

// hangs compares the newest answers and the age of what is outstanding, less the wait for slots, with the typical work
// time.
func (e *Engine) hangs(r *record, typical float64) bool {
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
	return work > hangFactor*typical+float64(hangFloor)
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
