package gateway

import (
	"fmt"
	"io"
	"sync/atomic"
)

// bodyBudget bounds the bytes of request bodies that the gateway holds at a time. Bodies are held whole, because a request
// that was not run is sent again. It is safe for use by several goroutines.
type bodyBudget struct {
	limit int64
	used  atomic.Int64
}

// BodyBudgetError reports that the gateway holds as many bytes of request bodies as it may.
type BodyBudgetError struct {
	Limit int64
}

func (e *BodyBudgetError) Error() string {
	return fmt.Sprintf("request bodies of %d bytes are held already", e.Limit)
}

// reserve reserves bytes and reports whether they fit.
func (b *bodyBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// budgetedBody reads a body and reserves what it has read. Its bytes are given back by release.
type budgetedBody struct {
	budget   *bodyBudget
	body     io.Reader
	reserved int64
}

// Read implements io.Reader; it fails with *BodyBudgetError.
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
