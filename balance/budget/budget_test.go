package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// rounding is the tolerated rounding error in bytes.
const rounding = 1e-6

// Guards against spending more than the budget for any sequence of calls, including calls whose time goes backwards.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(0, 20000).Draw(t, "rate")
		l := New(Rates{WithinRegion: rate, AcrossRegions: rate / 2})
		now, start, newest := time.Hour, time.Hour, time.Hour
		l.Take(start, WithinRegion, 0)
		l.Take(start, AcrossRegions, 0)
		for range rapid.IntRange(1, 200).Draw(t, "calls") {
			now += time.Duration(rapid.IntRange(-3, 40).Draw(t, "ms")) * time.Millisecond
			use := rapid.SampledFrom([]func(time.Duration, Scope, int) bool{
				l.Take, l.Take, l.TakeLowPriority, l.TryCharge, func(now time.Duration, s Scope, bytes int) bool { l.Charge(now, s, bytes); return true },
			}).Draw(t, "use")
			before := []Totals{l.Totals(WithinRegion), l.Totals(AcrossRegions)}
			scope, bytes := Scope(rapid.IntRange(0, 1).Draw(t, "scope")), rapid.IntRange(-10, 3000).Draw(t, "bytes")
			if !use(now, scope, bytes) && l.Totals(scope).Spent != before[scope].Spent {
				t.Fatal("refused bytes were counted as spent")
			}
			newest = max(newest, now)
			passed := newest - start
			for s, r := range []int64{rate, rate / 2} {
				totals := l.Totals(Scope(s))
				debt := l.buckets[s].debt
				if spent := float64(totals.Spent-totals.OverBudget) - debt; spent > float64(r)*passed.Seconds()+rounding {
					t.Fatalf("%v bytes in %v at %d bytes/s, debt %v", spent, passed, r, debt)
				}
				if debt > float64(r)*BurstTime.Seconds() {
					t.Fatalf("debt of %v bytes at %d bytes/s", debt, r)
				}
			}
		}
	})
}

// Guards against buckets that do not fill.
func TestBucketFills(t *testing.T) {
	l := New(Rates{WithinRegion: 1000})
	if l.Take(0, WithinRegion, 1) {
		t.Fatal("one byte was taken from an empty bucket")
	}
	if !l.Take(time.Second, WithinRegion, 1000) || l.Take(time.Second, WithinRegion, 1) {
		t.Fatal("one second must permit exactly the budget of one second")
	}
	if got := l.Totals(WithinRegion); got != (Totals{Spent: 1000, Denied: 2}) {
		t.Fatalf("totals %+v", got)
	}
}

// Guards against charges that leave no budget for exchanges, and against a debt that is never paid off.
func TestDebtLeavesHalfOfTheBudget(t *testing.T) {
	l := New(Rates{WithinRegion: 1000})
	l.Charge(0, WithinRegion, 1500)
	if got := l.Totals(WithinRegion); got != (Totals{Spent: 1500, OverBudget: 500}) {
		t.Fatalf("totals %+v", got)
	}
	if l.TryCharge(0, WithinRegion, 1) {
		t.Error("TryCharge charged although the debt is at its maximum")
	}
	if !l.Take(time.Second, WithinRegion, 500) || l.Take(time.Second, WithinRegion, 1) {
		t.Error("half of the budget must be left")
	}
	if !l.TryCharge(2*time.Second, WithinRegion, 500) || l.TryCharge(2*time.Second, WithinRegion, 1) {
		t.Error("the debt must be paid off after 2 s")
	}
}

// Guards against frequent small messages that leave no budget for larger ones.
func TestLowPriorityLeavesHalfOfTheBudget(t *testing.T) {
	l := New(Rates{WithinRegion: 1000})
	l.Take(0, WithinRegion, 0)
	for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
		l.TakeLowPriority(now, WithinRegion, 100)
	}
	if spent := l.Totals(WithinRegion).Spent; spent < 2300 {
		t.Errorf("%d bytes in 3 s, want all but the reserve and one message", spent)
	}
	if !l.Take(3*time.Second, WithinRegion, 500) {
		t.Error("half of the budget of one second must be left")
	}
	if !l.Take(4*time.Second, WithinRegion, 1400) {
		t.Error("a message above the budget of one second must pass")
	}
}
