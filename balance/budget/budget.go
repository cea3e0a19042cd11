// Package budget limits the bytes that a gateway spends on measuring: probes, reports, exchanges of membership and
// announcements of backend servers.
//
// One Limiter serves all of them. What may be refused (Take) waits for the budget. What must not be refused (Charge)
// takes saved budget or becomes a debt, which half of the budget pays off, so that the rest still permits exchanges. The
// sum stays within the budget of the document and one BurstTime, unless the charges alone need more than half of it;
// Totals.OverBudget tells so.
package budget

import (
	"math"
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
	owed    float64
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
	// OverBudget is the part of Spent that exceeds the budget and is not paid off.
	OverBudget uint64
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
// returns false. A message above the budget of one BurstTime, which could never be sent otherwise, may be sent from a
// bucket that is half full and without debt; what is missing becomes a debt of at most one BurstTime.
func (l *Limiter) Take(now time.Duration, s Scope, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[s]
	b.fill(now)
	missing := float64(bytes) - b.tokens
	large := float64(bytes) > b.burst() && b.owed == 0 && b.tokens >= b.burst()/2 && b.rate > 0 && missing <= b.burst()
	if bytes < 0 || missing > 0 && !large {
		b.totals.Denied += uint64(max(bytes, 0))
		return false
	}
	b.tokens = max(-missing, 0)
	b.owed += max(missing, 0)
	b.totals.Spent += uint64(bytes)
	return true
}

// TakeLowPriority is Take for messages that matter less than others, such as probes: it leaves half of the bucket to them.
// Otherwise many small messages would spend each byte before enough is saved for a larger one.
func (l *Limiter) TakeLowPriority(now time.Duration, s Scope, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[s]
	b.fill(now)
	if bytes < 0 || float64(bytes) > b.tokens-b.burst()/2 {
		b.totals.Denied += uint64(max(bytes, 0))
		return false
	}
	b.tokens -= float64(bytes)
	b.totals.Spent += uint64(bytes)
	return true
}

// Charge books bytes that must not be refused.
func (l *Limiter) Charge(now time.Duration, s Scope, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[s]
	b.fill(now)
	b.charge(bytes)
}

// TryCharge is Charge unless the debt would exceed half of what it may reach; it reports whether it charged. The other half
// is left to charges that must not be refused.
func (l *Limiter) TryCharge(now time.Duration, s Scope, bytes int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := &l.buckets[s]
	b.fill(now)
	if bytes < 0 || b.owed+float64(bytes) > b.burst()/2 {
		b.totals.Denied += uint64(max(bytes, 0))
		return false
	}
	b.charge(bytes)
	return true
}

// MessageLimit is a quarter of the budget of one BurstTime. With its digest and frames, a message of that size fits into
// the half of the bucket that TakeLowPriority leaves.
func (l *Limiter) MessageLimit(s Scope) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.buckets[s].burst() / 4)
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
	gained := passed.Seconds() * float64(b.rate)
	paid := min(b.owed, gained/2)
	b.owed -= paid
	b.tokens += gained - paid
	if surplus := b.tokens - b.burst(); surplus > 0 {
		b.owed = max(b.owed-surplus, 0)
		b.tokens = b.burst()
	}
}

// charge takes what is saved above half of the burst, and owes the rest.
func (b *bucket) charge(bytes int) {
	b.totals.Spent += uint64(max(bytes, 0))
	saved := min(max(b.tokens-b.burst()/2, 0), float64(max(bytes, 0)))
	b.tokens -= saved
	b.owed += float64(max(bytes, 0)) - saved
	if over := math.Ceil(b.owed - b.burst()); over > 0 {
		b.totals.OverBudget += uint64(over)
		b.owed -= over
	}
}

// burst is the most that may be saved, and the most that may be owed.
func (b *bucket) burst() float64 { return float64(b.rate) * BurstTime.Seconds() }
