package backend

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// spread is the standard deviation of the logarithm of the service time.
const spread = 0.25

// pace draws service times. The median alternates between two values; the times of the shifts come from the seed.
type pace struct {
	mu      sync.Mutex
	rand    *rand.Rand
	median  time.Duration
	every   time.Duration
	factor  float64
	shifted bool
	next    time.Time
}

func newPace(o Options) *pace {
	stream := o.RandomStream
	if stream == 0 {
		stream = hash(o.Address)
	}
	return &pace{
		rand:   rand.New(rand.NewPCG(o.Seed, stream)),
		median: o.ServiceTime,
		every:  o.ShiftInterval,
		factor: max(o.ShiftFactor, 1),
	}
}

func (p *pace) draw(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.every > 0 && now.After(p.next) {
		p.shifted = !p.shifted
		p.next = now.Add(time.Duration(p.rand.ExpFloat64() * float64(p.every)))
	}
	d := float64(p.median) * math.Exp(p.rand.NormFloat64()*spread)
	if p.shifted {
		d *= p.factor
	}
	return time.Duration(d)
}

// hash is FNV-1a; it tells the random streams of the servers of one process apart.
func hash(s string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	h := uint64(offset)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * prime
	}
	return h
}
