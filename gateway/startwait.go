package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// maxStartWait is how long a request waits at a gateway that has no configuration yet. Where all processes were restarted
	// together, an election and a first renewal take about that long.
	maxStartWait = 600 * time.Millisecond
	// startWaitDivisor is the part of the caller's time, as a divisor, that the wait may take.
	startWaitDivisor = 3
)

// latch is opened once and stays open. The zero value is closed. It is safe for use by several goroutines.
type latch struct {
	mu     sync.Mutex
	opened chan struct{}
	isOpen bool
}

// channel is closed when the latch is open.
func (l *latch) channel() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.channelLocked()
}

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

// awaitConfiguration lets a request wait while the gateway fetches its first configuration. It answers restarts of all
// processes, after which a refusal would send every caller away for longer than the wait takes. Whether the gateway
// serves is decided by the steps that follow.
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
