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
	// fastAge is the age at which half of the fast estimate has given way to the slow one.
	fastAge = 15 * time.Millisecond
	// slowHalfLife is the time in which half of what the slow estimate exceeds the typical work time by is forgotten. It
	// halves again and again: servers that were frozen for seconds must not be avoided for minutes.
	slowHalfLife = 2 * time.Second
	// usualSpread is the factor up to which a work time counts as typical; below it, differences are mostly those of the
	// requests and not of the servers.
	usualSpread = 2.5
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
	// usual leaves out failures: their penalty is a multiple of the typical work time, which is taken from here.
	usual atomicFloat
	last  atomicTime
}

func (l *latency) add(now time.Duration, work float64) {
	if l.samples.Add(1) == 1 {
		l.fast.store(work)
		l.slow.store(work)
	} else {
		l.fast.blend(work, fastWeight)
		l.slow.blend(work, slowWeight)
	}
	l.last.raise(now)
}

// addUsual takes a work time that no penalty has changed.
func (l *latency) addUsual(work float64) {
	if l.usual.load() == 0 {
		l.usual.store(work)
	}
	l.usual.blend(work, slowWeight)
}

// atLeast takes a lower bound, known from an attempt that was cancelled. It is compared with the aged estimate: the fast
// one of a server that hangs is as high as the bound, and would not be renewed.
func (l *latency) atLeast(now time.Duration, work, typical float64) {
	if work > l.estimate(now, typical) {
		l.add(now, work)
		l.addUsual(work)
	}
}

// estimate ages the fast estimate towards the slow one, and that towards the typical work time.
func (l *latency) estimate(now time.Duration, typical float64) float64 {
	if l.samples.Load() == 0 {
		return typical
	}
	age := max(now-l.last.load(), 0)
	slow := l.slow.load()
	if typical > 0 {
		w := math.Exp2(-float64(age) / float64(slowHalfLife))
		slow = slow*w + typical*(1-w)
	}
	w := float64(fastAge) / float64(fastAge+age)
	work := l.fast.load()*w + slow*(1-w)
	if work < typical*usualSpread && work*usualSpread > typical {
		return typical
	}
	return work
}

// reset forgets what was learnt, so that the typical work time applies.
func (l *latency) reset() {
	l.samples.Store(0)
	l.usual.store(0)
}
