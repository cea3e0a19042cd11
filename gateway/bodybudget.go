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
	held  atomic.Int64
}

// BodyBudgetError reports that the gateway holds as many bytes of request bodies as it may.
type BodyBudgetError struct {
	Limit int64
}

func (e *BodyBudgetError) Error() string {
	return fmt.Sprintf("request bodies of %d bytes are held already", e.Limit)
}

// take reserves bytes and reports whether they fit.
func (b *bodyBudget) take(n int64) bool {
	if b.held.Add(n) <= b.limit {
		return true
	}
	b.held.Add(-n)
	return false
}

// heldBody reads a body and reserves what it has read. Its bytes are given back by release.
type heldBody struct {
	budget *bodyBudget
	body   io.Reader
	taken  int64
}

// Read implements io.Reader; it fails with *BodyBudgetError.
func (h *heldBody) Read(p []byte) (int, error) {
	n, err := h.body.Read(p)
	if n > 0 && !h.budget.take(int64(n)) {
		return 0, &BodyBudgetError{Limit: h.budget.limit}
	}
	h.taken += int64(n)
	return n, err
}

func (h *heldBody) release() {
	h.budget.held.Add(-h.taken)
	h.taken = 0
}
