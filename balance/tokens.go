package balance

import "sync/atomic"

// Token counts are in thousandths.
const (
	wholeToken = 1000
	// hedgeBurst is the number of tokens for hedges that can be saved. It exceeds DefaultRetryBurst: while a neighbour is
	// noisy, many requests need a hedge within the same second.
	hedgeBurst = 60
	// tokenStart is the number of tokens at the start.
	tokenStart = 5
)

// tokens is a budget that first attempts fill and extra attempts spend.
type tokens struct {
	// spent counts down from the start, so that the zero value holds tokenStart tokens.
	spent atomic.Int64
}

func (t *tokens) earn(share float64, burst int64) {
	lowest := (tokenStart - burst) * wholeToken
	for {
		old := t.spent.Load()
		v := max(old-int64(share*wholeToken), lowest)
		if v == old || t.spent.CompareAndSwap(old, v) {
			return
		}
	}
}

func (t *tokens) take() bool {
	for {
		old := t.spent.Load()
		if old+wholeToken > tokenStart*wholeToken {
			return false
		}
		if t.spent.CompareAndSwap(old, old+wholeToken) {
			return true
		}
	}
}

func (t *tokens) giveBack() { t.spent.Add(-wholeToken) }
