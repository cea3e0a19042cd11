package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// maxStartWait limits the wait of a request for the first configuration of the gateway. After a restart of all
	// processes, an election and the first renewal of the lease take about that long.
	maxStartWait = 600 * time.Millisecond
	// startWaitDivisor limits the wait to the caller's remaining time divided by this number.
	startWaitDivisor = 3
)

// latch is an event that can be set once, by open. The zero value is not open. It is safe for concurrent use.
type latch struct {
	mu     sync.Mutex
	opened chan struct{}
	isOpen bool
}

// channel returns a channel that is closed when the latch is opened.
func (l *latch) channel() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.channelLocked()
}

// channelLocked returns the channel and creates it if needed. The caller must hold mu.
func (l *latch) channelLocked() chan struct{} {
	if l.opened == nil {
		l.opened = make(chan struct{})
	}
	return l.opened
}

func (l *latch) open() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOpen {
		l.isOpen = true
		close(l.channelLocked())
	}
}

// awaitConfiguration delays a request while the gateway fetches its first configuration. After a restart of all
// processes, a refusal would make every caller wait longer than that. It never refuses; the following steps decide
// whether the gateway may serve the request.
func (p *requestPath) awaitConfiguration(c *call) *Refusal {
	if p.configuration.Current().isConfigured() || p.draining.Load() {
		return nil
	}
	limit := maxStartWait
	if ms, ok := parseHeaderNumber(c.r.Header, p.dialect.Deadline, 0); ok && ms > 0 {
		limit = min(limit, time.Duration(ms)*time.Millisecond/startWaitDivisor)
	}
	ctx, cancel := context.WithTimeout(c.r.Context(), limit)
	defer cancel()
	p.counters.UnlabeledCounter("requests_awaiting_configuration").Inc(1)
	select {
	case <-p.configuration.Configured():
	case <-ctx.Done():
	}
	return nil
}
