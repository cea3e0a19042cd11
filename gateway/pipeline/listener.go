package pipeline

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits limits how far connections read ahead. Behind a limit, a connection stops reading until earlier requests have
// been answered.
type Limits struct {
	// PerConnection is the number of requests of one connection that wait behind its first one or are worked on.
	PerConnection int
	// Total is the same for all connections together.
	Total int
	// ResponseBytes is the number of bytes of a response that are held until its turn to be written.
	ResponseBytes int
}

// DefaultLimits are limits for an instance with a few hundred megabytes of memory.
var DefaultLimits = Limits{PerConnection: 16, Total: 512, ResponseBytes: 16 << 10}

// Listener returns connections that read ahead. The http.Server must serve the Listener itself and Exchanges(), with
// ConnContext as its ConnContext. Use it below no TLS: the connections must carry plain HTTP.
type Listener struct {
	net.Listener
	limits Limits
	// count is called for each request that is read ahead ("ahead"), and for each time that a limit ends reading ahead.
	count     func(event string)
	exchanges chan *exchange
	closed    chan struct{}
	closeOnce sync.Once

	mu sync.Mutex
	// open is the number of exchanges; idle is signalled when it drops to 0.
	open    int
	idle    *sync.Cond
	stopped bool
}

// NewListener wraps a listener. count receives the names of events for counters; it may be nil.
func NewListener(inner net.Listener, limits Limits, count func(event string)) *Listener {
	if count == nil {
		count = func(string) {}
	}
	l := &Listener{Listener: inner, limits: limits, count: count, exchanges: make(chan *exchange), closed: make(chan struct{})}
	l.idle = sync.NewCond(&l.mu)
	return l
}

// Accept waits for the next connection of a client.
func (l *Listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(inner, l), nil
}

// Close closes the listener. No request is read ahead afterwards.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// Stop ends reading ahead on all connections. Requests that were read ahead are still served.
func (l *Listener) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
}

// Wait waits until every request that was read ahead has been answered, or ctx ends.
func (l *Listener) Wait(ctx context.Context) {
	unblock := context.AfterFunc(ctx, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.idle.Broadcast()
	})
	defer unblock()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.open > 0 && ctx.Err() == nil {
		l.idle.Wait()
	}
}

// Exchanges returns the listener of the requests that are read ahead.
func (l *Listener) Exchanges() net.Listener { return exchangeListener{l} }

// acquire reserves an exchange, which release returns. The result names the limit that forbids it, or is empty.
func (l *Listener) acquire() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.stopped:
		return "stopped"
	case l.open >= l.limits.Total:
		return "limit_total"
	}
	l.open++
	return ""
}

func (l *Listener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open--; l.open == 0 {
		l.idle.Broadcast()
	}
}

// handOver passes an exchange to the server. It reports false if the listener is closed.
func (l *Listener) handOver(e *exchange) bool {
	select {
	case l.exchanges <- e:
		return true
	case <-l.closed:
		return false
	}
}

// exchangeListener accepts the exchanges of a Listener.
type exchangeListener struct{ l *Listener }

func (x exchangeListener) Accept() (net.Conn, error) {
	select {
	case e := <-x.l.exchanges:
		return e, nil
	case <-x.l.closed:
		return nil, net.ErrClosed
	}
}

func (x exchangeListener) Close() error   { return x.l.Close() }
func (x exchangeListener) Addr() net.Addr { return x.l.Addr() }

// Serve serves a listener and its exchanges until the server is closed.
func Serve(s *http.Server, l *Listener) {
	var ended sync.WaitGroup
	ended.Go(func() { _ = s.Serve(l.Exchanges()) })
	_ = s.Serve(l)
	_ = l.Close()
	ended.Wait()
}

// orderedConn is a connection whose responses have an order: *conn or *exchange.
type orderedConn interface {
	awaitTurn(ctx context.Context) error
	mayClose() bool
}

type contextKey struct{}

// ConnContext adds a connection to the context of its requests; it is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	if o, ok := c.(orderedConn); ok {
		return context.WithValue(ctx, contextKey{}, o)
	}
	return ctx
}

// AwaitTurn waits until every earlier request of the connection has been answered. The error is that of ctx, or
// net.ErrClosed if the connection ended first.
func AwaitTurn(ctx context.Context) error {
	if o, ok := ctx.Value(contextKey{}).(orderedConn); ok {
		return o.awaitTurn(ctx)
	}
	return nil
}

// MayClose reports whether the response to a request may close its connection, because no later request of the
// connection is worked on. If so, none will be until the response is complete.
func MayClose(ctx context.Context) bool {
	o, ok := ctx.Value(contextKey{}).(orderedConn)
	return !ok || o.mayClose()
}

// isPast reports whether a deadline is set and has passed.
func isPast(deadline time.Time) bool {
	return !deadline.IsZero() && !time.Now().Before(deadline)
}
