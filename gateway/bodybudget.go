package gateway

import (
	"fmt"
	"io"
	"sync/atomic"
)

// bodyBudget limits the memory for request bodies. Bodies are buffered completely, because a request that was not run
// is retried. It is safe for concurrent use.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// BodyBudgetError reports that a body does not fit into the memory budget for request bodies.
type BodyBudgetError struct {
	Limit int64
}

func (e *BodyBudgetError) Error() string {
	return fmt.Sprintf("memory budget of %d bytes for request bodies is exhausted", e.Limit)
}

// reserve reserves n bytes and reports whether they fit into the budget.
func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// budgetedBody reads a body and reserves memory for every byte that it returns. release returns the memory to the
// budget.
type budgetedBody struct {
	budget   *bodyBudget
	body     io.Reader
	reserved int64
}

// Read implements io.Reader. It fails with *BodyBudgetError if the budget is exhausted.
func (h *budgetedBody) Read(p []byte) (int, error) {
	n, err := h.body.Read(p)
	if n > 0 && !h.budget.reserve(int64(n)) {
		return 0, &BodyBudgetError{Limit: h.budget.limit}
	}
	h.reserved += int64(n)
	return n, err
}

func (h *budgetedBody) release() {
	h.budget.used.Add(-h.reserved)
	h.reserved = 0
}
