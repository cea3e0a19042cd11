package backend

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// serviceTimeSigma is the standard deviation of the logarithm of the service time.
const serviceTimeSigma = 0.25

// serviceTimes draws service times from a log-normal distribution. The median alternates between two values; the seed
// determines the times of the shifts.
type serviceTimes struct {
	mu            sync.Mutex
	rand          *rand.Rand
	median        time.Duration
	shiftInterval time.Duration
	shiftFactor   float64
	shifted       bool
	nextShift     time.Time
}

func newServiceTimes(o Options) *serviceTimes {
	stream := o.RandomStream
	if stream == 0 {
		stream = fnv1a(o.Address)
	}
	return &serviceTimes{
		rand:          rand.New(rand.NewPCG(o.Seed, stream)),
		median:        o.ServiceTime,
		shiftInterval: o.ShiftInterval,
		shiftFactor:   max(o.ShiftFactor, 1),
	}
}

func (t *serviceTimes) sample(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.shiftInterval > 0 && now.After(t.nextShift) {
		t.shifted = !t.shifted
		t.nextShift = now.Add(time.Duration(t.rand.ExpFloat64() * float64(t.shiftInterval)))
	}
	d := float64(t.median) * math.Exp(t.rand.NormFloat64()*serviceTimeSigma)
	if t.shifted {
		d *= t.shiftFactor
	}
	return time.Duration(d)
}

// fnv1a returns the 64-bit FNV-1a hash of s. It gives each server of a process its own random stream.
func fnv1a(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}
