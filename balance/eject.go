package balance

import "time"

// Constants of ejection.
const (
	// ejectionDivisor limits ejections: at most one in this many servers of a service is ejected. The same limit applies to
	// cold and suspected servers together; see dropExcessSuspicions.
	ejectionDivisor = 3
	// hangFactor is the multiple of the typical work time above which a server counts as hanging. Servers that are
	// slow but answer are already avoided because of their expected latency; ejecting them too would remove capacity,
	// above all while a failure domain is out.
	hangFactor = 20
	// hangFloor is added to the threshold, so that short work times do not make a server count as hanging.
	hangFloor = 4 * time.Millisecond
	// hangTime is how long a server must hang before it is ejected. Noise from neighbours changes faster.
	hangTime = 600 * time.Millisecond
	// minResponses is the number of responses below which a server's work times are not evaluated.
	minResponses = 4
	// ejectInitial and ejectMax bound the length of an ejection, which doubles with each consecutive ejection.
	ejectInitial      = time.Second
	ejectMax          = 30 * time.Second
	ejectMaxDoublings = 5
	// ejectionResetAfter is the time since the end of the last ejection after which the next one has the initial length.
	ejectionResetAfter = time.Minute
)

// ejectionState is the state of the ejection of one server. Only the owner goroutine uses it.
type ejectionState struct {
	// hangingSince is 0 for a server that does not hang.
	hangingSince time.Duration
	ejections    int
	lastEndedAt  time.Duration
	ejected      bool
}

// updateEjections ends the expired ejections of one service and starts new ones. records are sorted by address.
func (e *Engine) updateEjections(records []*serverRecord, typicalWork float64) {
	ejected := 0
	for _, r := range records {
		e.endExpiredEjection(r)
		if r.load.ejection.ejected {
			ejected++
		}
	}
	for _, r := range records {
		if r.load.ejection.ejected || !e.shouldEject(r, typicalWork) {
			continue
		}
		if ejected >= len(records)/ejectionDivisor {
			return
		}
		e.startEjection(r)
		ejected++
	}
}

func (e *Engine) endExpiredEjection(r *serverRecord) {
	s := &r.load.ejection
	if !s.ejected || e.now < r.load.ejectedUntil.load() {
		return
	}
	s.ejected = false
	s.lastEndedAt = e.now
	s.hangingSince = 0
	r.load.latency.reset()
	r.load.returnRampStart.store(e.now)
	e.addNotice(NoticeReturned, r)
}

func (e *Engine) shouldEject(r *serverRecord, typicalWork float64) bool {
	if e.config.Switches.NoEjection || r.server.State != StateReady {
		return false
	}
	s := &r.load.ejection
	if !e.isHanging(r, typicalWork) {
		s.hangingSince = 0
		return false
	}
	if s.hangingSince == 0 {
		s.hangingSince = e.now
	}
	return e.now-s.hangingSince >= hangTime
}

// isHanging compares the newest responses and the mean age of the requests in flight, corrected for the wait for slots,
// with the typical work time.
func (e *Engine) isHanging(r *serverRecord, typicalWork float64) bool {
	if typicalWork == 0 {
		return false
	}
	own := r.load.inFlight.Load()
	others, _ := r.load.report.weightedOthers(e.now, typicalWork, e.config.Switches)
	age := float64(r.load.meanAge(e.now, own)-e.networkCost(r.server)) / queueFactor(float64(own)+others, slotCount(r.server))
	work := age
	if r.load.latency.samples.Load() >= minResponses {
		work = max(age, r.load.latency.fast.load())
	}
	return work > hangFactor*typicalWork+float64(hangFloor)
}

func (e *Engine) startEjection(r *serverRecord) {
	s := &r.load.ejection
	if e.now-s.lastEndedAt > ejectionResetAfter {
		s.ejections = 0
	}
	length := min(ejectInitial<<min(s.ejections, ejectMaxDoublings), ejectMax)
	s.ejections++
	s.ejected = true
	r.load.ejectedUntil.store(e.now + length)
	e.addNotice(NoticeEjected, r)
}
