package gateway

import (
	"sync"
	"time"

	"heatherwall.example/routes"
)

const (
	// retryTimeoutShare is the part of the usual patience of a route below which a caller seems to have tried before: callers
	// say how long they still wait, and those who come back have waited already.
	retryTimeoutShare = 0.8
	// usualTimeoutStep moves the estimate of the usual patience, which is the third quartile: callers who come back may be
	// half of all in an overload.
	usualTimeoutStep = 0.01
)

// callerRetryDetector learns how long the callers of each route usually wait. The zero value is ready; it is safe for use by
// several goroutines.
type callerRetryDetector struct {
	mu           sync.Mutex
	table        *routes.Table
	usualTimeout map[*routes.Route]time.Duration
}

// isLikelyRetry takes the patience of a request and tells whether its caller seems to have tried before. What was learnt
// lasts as long as the route table.
func (m *callerRetryDetector) isLikelyRetry(t *routes.Table, r *routes.Route, timeout time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table != t {
		m.table, m.usualTimeout = t, map[*routes.Route]time.Duration{}
	}
	usualTimeout, known := m.usualTimeout[r]
	switch {
	case !known:
		usualTimeout = timeout
	case timeout > usualTimeout:
		usualTimeout += time.Duration(3 * usualTimeoutStep * float64(usualTimeout))
	case timeout < usualTimeout:
		usualTimeout -= time.Duration(usualTimeoutStep * float64(usualTimeout))
	}
	m.usualTimeout[r] = usualTimeout
	return timeout < time.Duration(retryTimeoutShare*float64(usualTimeout))
}
