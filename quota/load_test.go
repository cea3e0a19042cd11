package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// bounds are those of the heaviest deployment.
var bounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

const gateways = 300

// load is the demand of one workspace, which arrives at random gateways.
type load struct {
	limit Limit
	// usual is the number of requests per second, and hot the factor between hotFrom and hotUntil.
	usual             float64
	hot               float64
	hotFrom, hotUntil time.Duration
	// dead is when the owner loses its bucket and another one begins with an empty one.
	dead time.Duration
}

// outcome is what happened to the requests of a load.
type outcome struct {
	sent             []time.Duration
	asked, refused   int
	messages, waited int
	// belowQuota counts requests that were refused although those sent in the window before left room for one, without the
	// first window of the owner, whose bucket is not full.
	belowQuota int
}

const (
	// delay is the time to an owner in another region and back.
	delay = 24 * time.Millisecond
	// holdTime is the longest time that a gateway holds a request after it has a token.
	holdTime = 400 * time.Millisecond
)

// play plays the load against one ledger and the wallets of all gateways.
func play(l load, length time.Duration, seed uint64) (o outcome) {
	random := rand.New(rand.NewPCG(seed, 1))
	ledger := NewLedger(bounds)
	wallets := make([]*Wallet, gateways)
	for i := range wallets {
		wallets[i] = NewWallet(bounds)
	}
	began := time.Duration(0)
	for now := time.Duration(0); now < length; {
		factor := 1.0
		if now >= l.hotFrom && now < l.hotUntil {
			factor = l.hot
		}
		now += time.Duration(random.ExpFloat64() / (l.usual * factor) * float64(time.Second))
		if l.dead != 0 && now >= l.dead && began == 0 {
			began, ledger = l.dead+TenureLength, NewLedger(bounds)
		}
		o.asked++
		w := wallets[random.IntN(gateways)]
		expires, ok := w.Spend(now, "w")
		if !ok {
			o.messages++
			if now < began {
				o.refused++ // no owner
				continue
			}
			g := ledger.Take(now+delay/2, began, "w", l.limit, w.Wanted("w"))
			if g.Tokens == 0 {
				o.refused++
				if now > bounds.Window && float64(o.sentSince(now-bounds.Window)+1) <= bounds.within(l.limit) {
					o.belowQuota++
				}
				continue
			}
			if g.Wait > 0 {
				o.waited++
			}
			expires = w.Expiry(now, g.Wait)
			w.Deposit("w", g.Tokens-1, expires)
		}
		if sent := now + delay + time.Duration(random.Int64N(int64(holdTime))); sent < expires {
			o.sent = append(o.sent, sent+delay/2)
		}
	}
	slices.Sort(o.sent)
	return o
}

// sentSince returns the number of requests that were sent after a time.
func (o outcome) sentSince(from time.Duration) (n int) {
	for i := len(o.sent) - 1; i >= 0 && o.sent[i] > from-holdTime; i-- {
		if o.sent[i] > from {
			n++
		}
	}
	return n
}

// mostInWindow returns the largest number of requests in any window.
func (o outcome) mostInWindow() (most int) {
	first := 0
	for i, at := range o.sent {
		for o.sent[first] <= at-bounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (l Limit) bound() float64 { return bounds.within(l)*(1+bounds.Overage) + bounds.Slack }

// Guards against a workspace that gets more than its quota over all gateways when it sends many times its usual, when its
// owner is replaced, or both, and against refusals and waits below the quota. The workspaces are as uneven as those of the
// heaviest deployment: a few large ones and many that send less than a request per second.
func TestQuotaOverAllGateways(t *testing.T) {
	for _, usual := range []float64{0.2, 1, 5, 25, 150} {
		limit := Limit{Rate: 1.6 * usual, Burst: 1.6 * usual}
		for name, l := range map[string]load{
			"calm":         {limit: limit, usual: usual, hot: 1},
			"hot":          {limit: limit, usual: usual, hot: 8, hotFrom: 10 * time.Second, hotUntil: 20 * time.Second},
			"owner lost":   {limit: limit, usual: usual, hot: 8, hotFrom: 10 * time.Second, hotUntil: 20 * time.Second, dead: 14 * time.Second},
			"without room": {limit: Limit{Rate: usual / 2}, usual: usual, hot: 1},
		} {
			t.Run(fmt.Sprintf("%s at %g per second", name, usual), func(t *testing.T) {
				var total outcome
				for seed := range uint64(5) {
					o := play(l, 30*time.Second, seed)
					if most := o.mostInWindow(); float64(most) > l.limit.bound() {
						t.Errorf("seed %d: %d requests in %s; the bound is %.0f", seed, most, bounds.Window, l.limit.bound())
					}
					total.asked, total.refused, total.belowQuota = total.asked+o.asked, total.refused+o.refused, total.belowQuota+o.belowQuota
					total.messages, total.waited = total.messages+o.messages, total.waited+o.waited
				}
				t.Logf("%d asked, %d refused, %d of them below the quota, %d waited, %d messages", total.asked, total.refused, total.belowQuota, total.waited, total.messages)
				if name == "calm" && float64(total.belowQuota) > 0.01*float64(total.asked) {
					t.Errorf("%d of %d requests were refused below the quota", total.belowQuota, total.asked)
				}
			})
		}
	}
}

// Guards against a burst that is spent twice, by giving tokens back or by taking many at once.
func TestBurstIsSpentOnce(t *testing.T) {
	limit, l := Limit{Rate: 1, Burst: 10}, NewLedger(bounds)
	now, within := time.Minute, 30 // in two windows
	if g := l.Take(now, 0, "w", limit, 1000); g.Tokens != within {
		t.Fatalf("%+v; want %d tokens", g, within)
	}
	for range 50 {
		l.Return(now, 0, "w", limit)
	}
	if g := l.Take(now, 0, "w", limit, 1000); g.Tokens != within {
		t.Errorf("%+v; want %d tokens and no more", g, within)
	}
}

// Guards against a quota that is given several times because its owner restarts again and again, at different levels of demand.
func TestOwnersInARowStayWithinTheBounds(t *testing.T) {
	for _, limit := range []Limit{{Rate: 0.3, Burst: 0.3}, {Rate: 1, Burst: 10}, {Rate: 5}, {Rate: 35, Burst: 35}, {Rate: 251, Burst: 251}, {Rate: 2, Burst: 2000}} {
		given, now, began := 0, time.Hour, time.Duration(0)
		for range ownersInWindow {
			l := NewLedger(bounds)
			for end := now + bounds.Window/ownersInWindow; now < end; now += 10 * time.Millisecond {
				given += l.Take(now, began, "w", limit, 1000).Tokens
			}
			began = now
		}
		if float64(given) > limit.bound() {
			t.Errorf("%+v: %d tokens in a window; the bound is %.0f", limit, given, limit.bound())
		}
	}
}

// Guards against refused requests that are all told to return at the same time, and against a time at which there is no room.
func TestRefusedRequestsReturnInTurn(t *testing.T) {
	limit, l := Limit{Rate: 10, Burst: 1}, NewLedger(bounds)
	now := time.Minute
	for l.Take(now, 0, "w", limit, 1).Tokens > 0 {
	}
	last := time.Duration(0)
	for range 30 {
		g := l.Take(now, 0, "w", limit, 1)
		if g.Tokens != 0 || g.RetryAfter < last || g.RetryAfter > MaxRetryAfter {
			t.Fatalf("%+v after %s", g, last)
		}
		last = g.RetryAfter
	}
	if last < 3*time.Second {
		t.Errorf("the 30th request at 10 per second may return after %s", last)
	}
}

// Guards against a lowered limit that leaves the tokens of the higher one.
func TestLowerLimitBindsAtOnce(t *testing.T) {
	l := NewLedger(bounds)
	l.Take(time.Minute, 0, "w", Limit{Rate: 100, Burst: 100}, 1)
	if g := l.Take(time.Minute, 0, "w", Limit{Rate: 1, Burst: 2}, 1000); g.Tokens > 14 {
		t.Errorf("%+v; want at most 14", g)
	}
}

// Guards against tokens that are spent after they have ended, for example by a gateway that was paused.
func TestTokensEnd(t *testing.T) {
	w := NewWallet(bounds)
	w.Deposit("w", 2, w.Expiry(time.Second, 0))
	if _, ok := w.Spend(time.Second+299*time.Millisecond, "w"); !ok {
		t.Error("a valid token was not spent")
	}
	if _, ok := w.Spend(time.Second+300*time.Millisecond, "w"); ok {
		t.Error("a token was spent after it had ended")
	}
}

// Guards against a decision that costs more than the rest of the request path, and against garbage for each request.
func TestSpendDoesNotAllocate(t *testing.T) {
	w := NewWallet(bounds)
	w.Deposit("w", 1<<30, time.Hour)
	if n := testing.AllocsPerRun(100, func() { w.Spend(time.Second, "w") }); n > 0 {
		t.Errorf("%.0f allocations; want none", n)
	}
}

func BenchmarkSpend(b *testing.B) {
	w := NewWallet(bounds)
	for i := range 1000 {
		w.Deposit(fmt.Sprint("w-", i), 1<<40, time.Hour)
	}
	for b.Loop() {
		w.Spend(time.Second, "w-500")
	}
}

func BenchmarkTake(b *testing.B) {
	l, now := NewLedger(bounds), time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		l.Take(now, 0, "w", Limit{Rate: 1000, Burst: 1000}, 1)
	}
}
