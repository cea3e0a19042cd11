package quota

import (
	"math"
	"time"
)

const (
	// MaxWait is how long before its time a token is given. The gateway spends it when its time has come, so that a short
	// accumulation of requests is not refused.
	MaxWait = 200 * time.Millisecond
	// MaxRetryAfter limits the time after which a refused request is told to return.
	MaxRetryAfter = 5 * time.Second
)

// Grant is the answer to a request for tokens.
type Grant struct {
	// Tokens is the number of tokens; 0 if the request is refused.
	Tokens int
	// Wait is the time that must pass before the tokens are spent.
	Wait time.Duration
	// RetryAfter is when the quota is expected to have room, after all requests that were told to return before.
	RetryAfter time.Duration
}

// Ledger holds the token buckets of the workspaces of one owner. It is not safe for concurrent use.
type Ledger struct {
	bounds  Bounds
	buckets map[string]*bucket
}

type bucket struct {
	tokens float64
	at     time.Duration
	// promised is the time up to which refused requests have been told to return.
	promised time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger(bounds Bounds) *Ledger { return &Ledger{bounds: bounds, buckets: map[string]*bucket{}} }

// Take takes up to n tokens of a workspace. began is when this owner began to give tokens. Times are on the monotonic clock of
// the owner.
func (l *Ledger) Take(now, began time.Duration, workspace string, limit Limit, n int) Grant {
	b, refill := l.bucket(now, began, workspace, limit), l.bounds.refill(limit)
	if whole := math.Floor(b.tokens); whole >= 1 {
		given := min(float64(n), whole)
		b.tokens -= given
		return Grant{Tokens: int(given)}
	}
	wait := seconds((1 - b.tokens) / refill)
	if wait <= MaxWait {
		b.tokens--
		return Grant{Tokens: 1, Wait: wait}
	}
	b.promised = max(b.promised, now+wait) + seconds(1/refill)
	return Grant{RetryAfter: min(b.promised-now, MaxRetryAfter)}
}

// Return puts a token back that was not spent.
func (l *Ledger) Return(now, began time.Duration, workspace string, limit Limit) {
	b := l.bucket(now, began, workspace, limit)
	b.tokens = min(b.tokens+1, l.bounds.depth(limit))
}

// bucket returns the bucket of a workspace, filled up to now.
func (l *Ledger) bucket(now, began time.Duration, workspace string, limit Limit) *bucket {
	b := l.buckets[workspace]
	if b == nil || b.at < began {
		b = &bucket{at: began, tokens: l.bounds.initial(limit)}
		l.buckets[workspace] = b
	}
	b.tokens = min(b.tokens+(now-b.at).Seconds()*l.bounds.refill(limit), l.bounds.depth(limit))
	b.at = now
	return b
}

// Keep drops the buckets of all workspaces for which keep returns false.
func (l *Ledger) Keep(keep func(workspace string) bool) {
	for workspace := range l.buckets {
		if !keep(workspace) {
			delete(l.buckets, workspace)
		}
	}
}

// seconds converts a number of seconds. A time that no Duration can hold is the longest one.
func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/2))
}
