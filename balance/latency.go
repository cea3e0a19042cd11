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
	// fastHalfAge is the age at which the fast and the slow estimate have equal weight.
	fastHalfAge = 15 * time.Millisecond
	// slowHalfLife is the half-life of the difference between the slow estimate and the typical work time. The decay is
	// exponential, so that servers that were frozen for seconds are not avoided for minutes.
	slowHalfLife = 2 * time.Second
	// typicalSpread is the factor up to which a work time counts as typical; smaller differences are mostly due to the
	// requests and not to the servers.
	typicalSpread = 2.5
	// minWork keeps estimates above zero.
	minWork = 20 * time.Microsecond
	// failurePenalty is the work time of a failure, in typical work times.
	failurePenalty = 6
	// failureWeight is the additional weight of a failure in the slow estimate. slowWeight alone is too small: the fast
	// estimate decays within milliseconds, and the server would be tried again at once.
	failureWeight = 0.4
)

// latency estimates the work time of one server in ns: without the network and without waiting for a slot.
type latency struct {
	samples atomic.Uint32
	fast    atomicFloat
	slow    atomicFloat
	// unpenalized averages work times without failures. The typical work time is computed from it, and the penalty of a
	// failure is a multiple of the typical work time; including failures would feed the penalty back.
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

// addUnpenalized adds a work time that contains no failure penalty.
func (l *latency) addUnpenalized(work float64) {
	if l.unpenalized.load() == 0 {
		l.unpenalized.store(work)
	}
	l.unpenalized.blend(work, slowWeight)
}

// addLowerBound adds the lower bound of the work time that a cancelled attempt yields, if it exceeds the aged estimate. A
// comparison with the fast estimate would be wrong: at a server that hangs, the fast estimate already equals the bound, and
// equal bounds would never renew it.
func (l *latency) addLowerBound(now time.Duration, work, typicalWork float64) {
	if work > l.estimate(now, typicalWork) {
		l.add(now, work)
		l.addUnpenalized(work)
	}
}

// estimate returns the expected work time. With its age, the fast estimate decays towards the slow one, and the slow one
// towards the typical work time.
func (l *latency) estimate(now time.Duration, typicalWork float64) float64 {
	if l.samples.Load() == 0 {
		return typicalWork
	}
	age := max(now-l.updatedAt.load(), 0)
	slow := l.slow.load()
	if typicalWork > 0 {
		w := math.Exp2(-float64(age) / float64(slowHalfLife))
		slow = slow*w + typicalWork*(1-w)
	}
	w := float64(fastHalfAge) / float64(fastHalfAge+age)
	work := l.fast.load()*w + slow*(1-w)
	if work < typicalWork*typicalSpread && work*typicalSpread > typicalWork {
		return typicalWork
	}
	return work
}

// reset discards the samples, so that the typical work time applies.
func (l *latency) reset() {
	l.samples.Store(0)
	l.unpenalized.store(0)
}
