// Package budget limits the bytes that a gateway spends on measurement traffic: probes, reports, exchanges of
// membership and announcements of backend servers.
//
// All of this traffic shares one Limiter. Traffic that may be refused (Take) is sent only within the budget. Traffic that
// must not be refused (Charge) uses saved tokens or becomes a debt. Half of the budget pays off the debt, so that the
// other half still permits exchanges. The sum stays within the configured budget plus that of one BurstTime, unless the
// charges alone need more than half of the budget; Totals.OverBudget counts that excess.
package budget

import (
	"math"
	"sync"
	"time"
)

// Scope is the destination of the bytes.
type Scope uint8

// Scopes. Each has its own budget.
const (
	// WithinRegion is traffic to the own region.
	WithinRegion Scope = iota
	// AcrossRegions is traffic to other regions, which is billed by volume.
	AcrossRegions
	scopeCount
)

// Rates is the budget of each scope in bytes per second.
type Rates struct {
	WithinRegion  int64
	AcrossRegions int64
}

// BurstTime is the time over which unused budget accumulates; the budget of this time may be spent at once.
const BurstTime = time.Second

// Limiter is a token bucket for each scope. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	buckets [scopeCount]bucket
}

type bucket struct {
	rate        int64
	tokens      float64
	debt        float64
	last        time.Duration
	totals      Totals
	initialized bool
}

// Totals holds the counts since the start of the process.
type Totals struct {
	// Spent is the number of bytes allowed.
	Spent uint64
	// Denied is the number of bytes refused.
	Denied uint64
	// OverBudget is the part of Spent that exceeds the maximum debt; it is never paid off.
	OverBudget uint64
}

// New returns a limiter with empty buckets, which fill from the first call on.
func New(r Rates) *Limiter {
	l := &Limiter{}
	l.SetRates(r)
	return l
}

// SetRates replaces the budgets. Saved tokens are kept up to the new capacity.
func (l *Limiter) SetRates(r Rates) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.buckets[WithinRegion].rate = max(r.WithinRegion, 0)
	l.buckets[AcrossRegions].rate = max(r.AcrossRegions, 0)
}

// Take charges bytes to a scope at a monotonic time and reports whether they may be sent. If it returns false, nothing is
// charged. A message larger than the budget of one BurstTime could otherwise never be sent; it may be sent if the bucket
// is at least half full and has no debt. The shortfall becomes a debt of at most the budget of one BurstTime.
func (l *Limiter) Take(now time.Duration, s Scope, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[s]
	b.refill(now)
	shortfall := float64(bytes) - b.tokens
	large := float64(bytes) > b.capacity() && b.debt == 0 && b.tokens >= b.capacity()/2 && b.rate > 0 && shortfall <= b.capacity()
	if bytes < 0 || shortfall > 0 && !large {
		b.totals.Denied += uint64(max(bytes, 0))
		return false
	}
	b.tokens = max(-shortfall, 0)
	b.debt += max(shortfall, 0)
	b.totals.Spent += uint64(bytes)
	return true
}

// TakeLowPriority is Take for messages of low priority, such as probes: it leaves half of the bucket to other messages.
// Otherwise many small messages would spend all tokens before enough are saved for a larger message.
func (l *Limiter) TakeLowPriority(now time.Duration, s Scope, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[s]
	b.refill(now)
	if bytes < 0 || float64(bytes) > b.tokens-b.capacity()/2 {
		b.totals.Denied += uint64(max(bytes, 0))
		return false
	}
	b.tokens -= float64(bytes)
	b.totals.Spent += uint64(bytes)
	return true
}

// Charge charges bytes that must not be refused.
func (l *Limiter) Charge(now time.Duration, s Scope, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[s]
	b.refill(now)
	b.chargeOrOwe(bytes)
}

// TryCharge charges bytes like Charge unless the debt would exceed half of its maximum, and reports whether it charged.
// The other half is left to charges that must not be refused.
func (l *Limiter) TryCharge(now time.Duration, s Scope, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[s]
	b.refill(now)
	if bytes < 0 || b.debt+float64(bytes) > b.capacity()/2 {
		b.totals.Denied += uint64(max(bytes, 0))
		return false
	}
	b.chargeOrOwe(bytes)
	return true
}

// MessageLimit returns the maximum size of a message: a quarter of the budget of one BurstTime. Including its digest and
// frames, a message of that size fits into the half of the bucket that TakeLowPriority leaves.
func (l *Limiter) MessageLimit(s Scope) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.buckets[s].capacity() / 4)
}

// Totals returns the counts of a scope.
func (l *Limiter) Totals(s Scope) Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets[s].totals
}

// refill adds the tokens earned since the last call. Half of them, and the tokens above the capacity, pay off the debt.
func (b *bucket) refill(now time.Duration) {
	if !b.initialized {
		b.initialized = true
		b.last = now
	}
	elapsed := max(now-b.last, 0)
	b.last = max(now, b.last)
	earned := elapsed.Seconds() * float64(b.rate)
	paid := min(b.debt, earned/2)
	b.debt -= paid
	b.tokens += earned - paid
	if surplus := b.tokens - b.capacity(); surplus > 0 {
		b.debt = max(b.debt-surplus, 0)
		b.tokens = b.capacity()
	}
}

// chargeOrOwe spends the tokens above half of the capacity, and adds the rest to the debt.
func (b *bucket) chargeOrOwe(bytes int) {
	b.totals.Spent += uint64(max(bytes, 0))
	fromTokens := min(max(b.tokens-b.capacity()/2, 0), float64(max(bytes, 0)))
	b.tokens -= fromTokens
	b.debt += float64(max(bytes, 0)) - fromTokens
	if overBudget := math.Ceil(b.debt - b.capacity()); overBudget > 0 {
		b.totals.OverBudget += uint64(overBudget)
		b.debt -= overBudget
	}
}

// capacity returns the maximum number of saved tokens, which is also the maximum debt.
func (b *bucket) capacity() float64 { return float64(b.rate) * BurstTime.Seconds() }
