package balance

import (
	"math"
	"sync/atomic"
	"time"
)

// Weights and time constants of the latency estimates.
const (
	fastWeight = 0.4
	slowWeight = 0.05
	// fastHalfAge is the age at which half of the fast estimate has given way to the slow one.
	fastHalfAge = 15 * time.Millisecond
	// slowHalfLife is the time in which half of what the slow estimate exceeds the typical work time by is forgotten. It
	// halves again and again: servers that were frozen for seconds must not be avoided for minutes.
	slowHalfLife = 2 * time.Second
	// typicalSpread is the factor up to which a work time counts as typical; below it, differences are mostly those of the
	// requests and not of the servers.
	typicalSpread = 2.5
	// minWork keeps estimates above zero.
	minWork = 20 * time.Microsecond
	// failurePenalty is the work time of a failure, in typical work times.
	failurePenalty = 6
	// failureWeight moves the slow estimate at a failure in addition. The weight of answers is too small for it: the fast
	// estimate is forgotten within milliseconds, and the server would be tried again at once.
	failureWeight = 0.4
)

// latency estimates the work time of one server in ns: without the network and without waiting for a slot.
type latency struct {
	samples atomic.Uint32
	fast    atomicFloat
	slow    atomicFloat
	// unpenalized leaves out failures: their penalty is a multiple of the typical work time, which is taken from here.
	unpenalized atomicFloat
	updatedAt   atomicTime
}

func (l *latency) add(now time.Duration, work float64) {
	if l.samples.Add(1) == 1 {
		l.fast.store(work)
		l.slow.store(work)
	} else {
		l.fast.blend(work, fastWeight)
		l.slow.blend(work, slowWeight)
	}
	l.updatedAt.raise(now)
}

// addUnpenalized takes a work time that no penalty has changed.
func (l *latency) addUnpenalized(work float64) {
	if l.unpenalized.load() == 0 {
		l.unpenalized.store(work)
	}
	l.unpenalized.blend(work, slowWeight)
}

// addLowerBound takes a lower bound, known from an attempt that was cancelled. It is compared with the aged estimate: the fast
// one of a server that hangs is as high as the bound, and would not be renewed.
func (l *latency) addLowerBound(now time.Duration, work, typical float64) {
	if work > l.estimate(now, typical) {
		l.add(now, work)
		l.addUnpenalized(work)
	}
}

// estimate ages the fast estimate towards the slow one, and that towards the typical work time.
func (l *latency) estimate(now time.Duration, typical float64) float64 {
	if l.samples.Load() == 0 {
		return typical
	}
	age := max(now-l.updatedAt.load(), 0)
	slow := l.slow.load()
	if typical > 0 {
		w := math.Exp2(-float64(age) / float64(slowHalfLife))
		slow = slow*w + typical*(1-w)
	}
	w := float64(fastHalfAge) / float64(fastHalfAge+age)
	work := l.fast.load()*w + slow*(1-w)
	if work < typical*typicalSpread && work*typicalSpread > typical {
		return typical
	}
	return work
}

// reset forgets what was learnt, so that the typical work time applies.
func (l *latency) reset() {
	l.samples.Store(0)
	l.unpenalized.store(0)
}
