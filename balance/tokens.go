package balance

import "sync/atomic"

// Constants of token budgets. Tokens are counted in thousandths.
const (
	milliPerToken = 1000
	// hedgeBurst is the maximum number of tokens that a hedge budget can accumulate. It exceeds DefaultRetryBurst,
	// because many requests need a hedge within the same second while a neighbour is noisy.
	hedgeBurst = 60
	// initialTokens is the number of tokens in a new budget.
	initialTokens = 5
)

// tokenBudget is a budget of retries or hedges. Each first attempt adds a share of a token, each extra attempt spends
// one.
type tokenBudget struct {
	// spent is the number of tokens spent less those deposited, so that the zero value holds initialTokens tokens.
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
