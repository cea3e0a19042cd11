package gateway

import (
	"sync"
	"time"

	"heatherwall.example/routes"
)

const (
	// retryTimeoutShare is the fraction of the usual timeout of a route below which a request counts as a likely retry.
	// Callers send their remaining time, and a caller that retries has already used part of it.
	retryTimeoutShare = 0.8
	// usualTimeoutStep is the step of the estimate of the usual timeout. The estimate is the third quartile, because up to
	// half of the requests may be retries during an overload.
	usualTimeoutStep = 0.01
)

// callerRetryDetector estimates the usual timeout of the callers of each route, to detect retries. The zero value is
// ready to use. It is safe for concurrent use.
type callerRetryDetector struct {
	mu           sync.Mutex
	table        *routes.Table
	usualTimeout map[*routes.Route]time.Duration
}

// isLikelyRetry updates the estimate with the timeout of a request and reports whether the request is probably a retry
// by its caller. A new route table resets all estimates.
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
