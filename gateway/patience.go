package gateway

import (
	"sync"
	"time"

	"heatherwall.example/routes"
)

const (
	// returningShare is the part of the usual patience of a route below which a caller seems to have tried before: callers
	// say how long they still wait, and those who come back have waited already.
	returningShare = 0.8
	// patienceStep moves the estimate of the usual patience, which is the third quartile: callers who come back may be
	// half of all in an overload.
	patienceStep = 0.01
)

// patienceMeter learns how long the callers of each route usually wait. The zero value is ready; it is safe for use by
// several goroutines.
type patienceMeter struct {
	mu    sync.Mutex
	table *routes.Table
	usual map[*routes.Route]time.Duration
}

// isReturning takes the patience of a request and tells whether its caller seems to have tried before. What was learnt
// lasts as long as the route table.
func (m *patienceMeter) isReturning(t *routes.Table, r *routes.Route, patience time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table != t {
		m.table, m.usual = t, map[*routes.Route]time.Duration{}
	}
	usual, known := m.usual[r]
	switch {
	case !known:
		usual = patience
	case patience > usual:
		usual += time.Duration(3 * patienceStep * float64(usual))
	case patience < usual:
		usual -= time.Duration(patienceStep * float64(usual))
	}
	m.usual[r] = usual
	return patience < time.Duration(returningShare*float64(usual))
}
