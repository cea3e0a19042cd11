// Package budget limits the bytes that a gateway spends on measuring: probes, reports and exchanges of membership.
//
// One Limiter serves all of them, so the sum stays within the budget of the document, whatever the events.
package budget

import (
	"sync"
	"time"
)

// Scope tells where the bytes go.
type Scope uint8

// Scopes with a budget of their own.
const (
	// WithinRegion counts bytes to the own region.
	WithinRegion Scope = iota
	// AcrossRegions counts bytes to other regions, which are billed by volume.
	AcrossRegions
	scopeCount
)

// Rates is the budget in bytes per second by scope.
type Rates struct {
	WithinRegion  int64
	AcrossRegions int64
}

// BurstTime is the time whose budget may be spent at once.
const BurstTime = time.Second

// Limiter is a token bucket for each scope. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets [scopeCount]bucket
}

type bucket struct {
	rate    int64
	tokens  float64
	last    time.Duration
	totals  Totals
	started bool
}

// Totals counts since the start of the process.
type Totals struct {
	// Spent is the number of bytes allowed.
	Spent uint64
	// Denied is the number of bytes refused.
	Denied uint64
}

// New returns a limiter with empty buckets that fill from the first call on.
func New(r Rates) *Limiter {
	l := &Limiter{}
	l.SetRates(r)
	return l
}

// SetRates replaces the budget; what is already saved is kept up to the new burst.
func (l *Limiter) SetRates(r Rates) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets[WithinRegion].rate = max(r.WithinRegion, 0)
	l.buckets[AcrossRegions].rate = max(r.AcrossRegions, 0)
}

// Take charges bytes to a scope at a monotonic time and reports whether they may be sent. Nothing is charged when it
// returns false.
func (l *Limiter) Take(now time.Duration, s Scope, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[s]
	b.fill(now)
	if bytes < 0 || float64(bytes) > b.tokens {
		b.totals.Denied += uint64(max(bytes, 0))
		return false
	}
	b.tokens -= float64(bytes)
	b.totals.Spent += uint64(bytes)
	return true
}

// Totals returns the counts of a scope.
func (l *Limiter) Totals(s Scope) Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets[s].totals
}

func (b *bucket) fill(now time.Duration) {
	if !b.started {
		b.started = true
		b.last = now
	}
	passed := max(now-b.last, 0)
	b.last = max(now, b.last)
	b.tokens += passed.Seconds() * float64(b.rate)
	b.tokens = min(b.tokens, float64(b.rate)*BurstTime.Seconds())
}
