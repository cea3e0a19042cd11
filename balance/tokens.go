package balance

import "sync/atomic"

// Token counts are in thousandths.
const (
	milliPerToken = 1000
	// hedgeBurst is the number of tokens for hedges that can be saved. It exceeds DefaultRetryBurst: while a neighbour is
	// noisy, many requests need a hedge within the same second.
	hedgeBurst = 60
	// initialTokens is the number of tokens at the start.
	initialTokens = 5
)

// tokenBudget is a budget that first attempts fill and extra attempts spend.
type tokenBudget struct {
	// spent counts down from the start, so that the zero value holds tokenStart tokens.
	spent atomic.Int64
}

func (t *tokenBudget) deposit(share float64, burst int64) {
	lowest := (initialTokens - burst) * milliPerToken
	for {
		old := t.spent.Load()
		v := max(old-int64(share*milliPerToken), lowest)
		if v == old || t.spent.CompareAndSwap(old, v) {
			return
		}
	}
}

func (t *tokenBudget) spend() bool {
	for {
		old := t.spent.Load()
		if old+milliPerToken > initialTokens*milliPerToken {
			return false
		}
		if t.spent.CompareAndSwap(old, old+milliPerToken) {
			return true
		}
	}
}

func (t *tokenBudget) refund() { t.spent.Add(-milliPerToken) }
