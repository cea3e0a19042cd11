package balance

import (
	"math"
	"sync/atomic"
	"time"
)

// atomicFloat is a float64 with atomic access.
type atomicFloat struct{ bits atomic.Uint64 }

func (f *atomicFloat) load() float64   { return math.Float64frombits(f.bits.Load()) }
func (f *atomicFloat) store(v float64) { f.bits.Store(math.Float64bits(v)) }

func (f *atomicFloat) add(d float64) {
	for {
		old := f.bits.Load()
		if f.bits.CompareAndSwap(old, math.Float64bits(math.Float64frombits(old)+d)) {
			return
		}
	}
}

// blend moves the value towards a sample; weight lies between 0 (unchanged) and 1 (the sample).
func (f *atomicFloat) blend(sample, weight float64) {
	for {
		old := f.bits.Load()
		v := math.Float64frombits(old)
		v += (sample - v) * weight
		if f.bits.CompareAndSwap(old, math.Float64bits(v)) {
			return
		}
	}
}

// atomicTime is a monotonic time with atomic access.
type atomicTime struct{ ns atomic.Int64 }

func (t *atomicTime) load() time.Duration   { return time.Duration(t.ns.Load()) }
func (t *atomicTime) store(v time.Duration) { t.ns.Store(int64(v)) }

// raise sets the time to v if v is later.
func (t *atomicTime) raise(v time.Duration) {
	for {
		old := t.ns.Load()
		if int64(v) <= old || t.ns.CompareAndSwap(old, int64(v)) {
			return
		}
	}
}

// advance sets the time to now+interval if the time has been reached, and reports whether it did. Only one of several
// concurrent calls succeeds.
func (t *atomicTime) advance(now, interval time.Duration) bool {
	old := t.ns.Load()
	return now >= time.Duration(old) && t.ns.CompareAndSwap(old, int64(now+interval))
}
