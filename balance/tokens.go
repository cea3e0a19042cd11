package balance

import "sync/atomic"

// Token counts are in thousandths.
const (
	wholeToken = 1000
	// retryBurst and hedgeBurst are the numbers of tokens that can be saved. Hedges need more: while a neighbour is noisy,
	// many requests need one within the same second.
	retryBurst = 20
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
