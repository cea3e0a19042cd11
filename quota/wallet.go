package quota

import (
	"sync"
	"time"
)

// Wallet holds the tokens of one gateway. It is safe for concurrent use. Times are on the monotonic clock of the gateway.
type Wallet struct {
	// lifetime is the time from the request for a token in which it may be spent.
	lifetime time.Duration

	mu      sync.Mutex
	pockets map[string]*pocket
}

// pocket holds the tokens of a workspace, and how often they are spent.
type pocket struct {
	tokens  int
	expires time.Duration
	// rate is the usual number of requests per second, as of seen.
	rate float64
	seen time.Duration
}

// NewWallet returns an empty wallet.
func NewWallet(bounds Bounds) *Wallet {
	return &Wallet{lifetime: bounds.Lifetime(), pockets: map[string]*pocket{}}
}

// Spend counts a request and spends a token for it; ok is false if there is none. expires is when the token ends, before
// which the request must be sent.
func (w *Wallet) Spend(now time.Duration, workspace string) (expires time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(workspace)
	p.count(now)
	if p.tokens == 0 || now >= p.expires {
		return 0, false
	}
	p.tokens--
	return p.expires, true
}

// Wanted returns the number of tokens to ask for: one, and as many more as are usually spent in half of their lifetime.
func (w *Wallet) Wanted(workspace string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return 1 + int(w.pocket(workspace).rate*w.lifetime.Seconds()/2)
}

// Expiry returns when a token ends that was asked for at a time and must wait before it is spent.
func (w *Wallet) Expiry(askedAt, wait time.Duration) time.Duration {
	return askedAt + wait + w.lifetime
}

// Deposit adds tokens that end at the given time. Tokens that end at another time are dropped: a gateway that asks has none,
// or some that are about to end.
func (w *Wallet) Deposit(workspace string, tokens int, expires time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.pocket(workspace)
	if p.expires != expires {
		p.tokens = 0
	}
	p.tokens, p.expires = p.tokens+tokens, expires
}

func (w *Wallet) pocket(workspace string) *pocket {
	p := w.pockets[workspace]
	if p == nil {
		p = &pocket{}
		w.pockets[workspace] = p
	}
	return p
}

// rateWindow is the time over which the rate of requests is averaged.
const rateWindow = time.Second

// count adds a request to the average rate.
func (p *pocket) count(now time.Duration) {
	weight := min((now-p.seen).Seconds()/rateWindow.Seconds(), 1)
	p.rate = p.rate*(1-weight) + 1/rateWindow.Seconds()
	p.seen = now
}

// Keep drops the tokens of all workspaces for which keep returns false.
func (w *Wallet) Keep(keep func(workspace string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for workspace := range w.pockets {
		if !keep(workspace) {
			delete(w.pockets, workspace)
		}
	}
}
