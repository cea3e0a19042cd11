package pipeline

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// aheadChunkBytes is the size of one read ahead. A connection holds at most so many bytes and an incomplete head.
	aheadChunkBytes = 4 << 10
	// lingerTimeout limits how long a closed connection reads what the client had sent ahead. Closing with unread bytes
	// would reset the connection and could destroy the last response on its way.
	lingerTimeout = 500 * time.Millisecond
)

// conn is a connection of a client. net/http reads its requests from it, except those that become exchanges.
//
// net/http reads from one goroutine at a time. It reads single bytes only to notice that the client leaves, while a
// handler runs and the request has been read completely; all its other reads use larger buffers. Therefore a read of one
// byte at the boundary between two requests tells that what follows may be read ahead.
type conn struct {
	net.Conn
	listener *Listener
	framer   framer
	// ahead holds bytes that were read but not passed to net/http. Only the reading goroutine uses it.
	ahead []byte
	// readErr is the error that ended reading ahead, returned once ahead is empty.
	readErr error

	mu sync.Mutex
	// queue holds the exchanges in the order of their requests.
	queue []*exchange
	// hasReadAhead is set once bytes arrived behind a request that was not answered.
	hasReadAhead bool
	// lastResponse is set when a response that closes the connection is being written.
	lastResponse bool
	closed       bool
	readDeadline time.Time
}

func newConn(inner net.Conn, l *Listener) *conn { return &conn{Conn: inner, listener: l} }

// NetConn returns the connection below, as tls.Conn does.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read passes bytes to net/http, at most up to the end of a request, after the responses to all exchanges were written.
func (c *conn) Read(p []byte) (int, error) {
	if len(p) == 1 && c.framer.state != lost {
		return c.readInBackground(p)
	}
	if err := c.writeResponses(); err != nil {
		return 0, err
	}
	if len(c.ahead) > 0 && !c.isClosed() {
		n := copy(p, c.ahead)
		n = c.framer.advance(p[:n])
		c.ahead = c.ahead[n:]
		return n, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if c.isClosed() { // the connection may still be open for a moment, see closeAfterReading
		return 0, net.ErrClosed
	}
	taken := c.framer.advance(p[:n])
	if taken < n {
		c.ahead = append(c.ahead[:0], p[taken:n]...)
		c.markReadAhead()
	}
	return taken, err
}

// readInBackground serves the read of one byte with which net/http waits for the client to leave. It reads ahead, and
// returns the next byte only if that belongs to a request that net/http has to serve itself.
func (c *conn) readInBackground(p []byte) (int, error) {
	if c.framer.state != atBoundary {
		c.framer.state = lost // net/http takes the request for complete and the framer does not
		return c.Read(p)
	}
	if err := c.readAhead(p); err != nil {
		return 0, err
	}
	p[0] = c.ahead[0]
	c.ahead = c.ahead[1:]
	return c.framer.advance(p), nil
}

// readAhead reads requests and turns them into exchanges, until one comes that cannot become one. It returns the error of
// the connection; at its end, all exchanges are cancelled. The first read uses the given buffer, because most clients send
// nothing ahead and a larger buffer for each request would cost memory.
func (c *conn) readAhead(buffer []byte) error {
	for {
		if ready := c.startExchanges(); ready {
			return nil
		}
		if c.readErr != nil {
			return c.readErr
		}
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			c.ahead = append(c.ahead, buffer[:n]...)
			c.markReadAhead()
			if len(buffer) == 1 {
				buffer = make([]byte, aheadChunkBytes)
			}
			continue
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		c.readErr = err
		c.cancelExchanges()
	}
}

func (c *conn) markReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hasReadAhead = true
}

// startExchanges turns the complete requests in ahead into exchanges. It reports true if the next request must be left to
// net/http.
func (c *conn) startExchanges() bool {
	for len(c.ahead) > 0 {
		h, result := parseHead(c.ahead)
		if result == headIncomplete {
			return false
		}
		if result == headUnusual || h.contentLength > 0 {
			return true
		}
		if limit := c.startExchange(c.ahead[:h.length]); limit != "" {
			c.listener.count(limit)
			return true
		}
		c.ahead = c.ahead[h.length:]
	}
	return false
}

// startExchange starts an exchange for a request. The result names the limit that forbids it, or is empty.
func (c *conn) startExchange(request []byte) string {
	e := newExchange(c, request)
	if limit := c.enqueue(e); limit != "" {
		return limit
	}
	if c.listener.handOver(e) {
		c.listener.count("ahead")
		return ""
	}
	c.withdraw(e)
	return "stopped"
}

// withdraw removes an exchange from the end of the queue, unless the connection was closed meanwhile.
func (c *conn) withdraw(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if last := len(c.queue) - 1; last >= 0 && c.queue[last] == e {
		c.queue = c.queue[:last]
		c.listener.release()
	}
}

func (c *conn) enqueue(e *exchange) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.lastResponse || c.closed:
		return "stopped"
	case len(c.queue) >= c.listener.limits.PerConnection:
		return "limit_connection"
	}
	if limit := c.listener.acquire(); limit != "" {
		return limit
	}
	c.queue = append(c.queue, e)
	return ""
}

// writeResponses writes the responses to all exchanges. Meanwhile it reads ahead.
func (c *conn) writeResponses() error {
	for c.firstExchange() != nil {
		started := time.Now()
		stop := c.readAheadMeanwhile()
		err := c.writeQueued()
		stop()
		if err != nil {
			c.cancelExchanges()
			return err
		}
		c.postponeReadDeadline(time.Since(started))
	}
	return nil
}

// readAheadMeanwhile reads ahead in another goroutine until stop is called.
func (c *conn) readAheadMeanwhile() (stop func()) {
	if c.framer.state != atBoundary || c.readErr != nil {
		return func() {}
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = c.readAhead(make([]byte, 1)) // an error other than the deadline is kept in readErr
	}()
	return func() {
		_ = c.Conn.SetReadDeadline(time.Now())
		<-ended
		_ = c.Conn.SetReadDeadline(c.currentReadDeadline())
	}
}

// writeQueued writes the responses to the exchanges in the queue, and those that join it meanwhile.
func (c *conn) writeQueued() error {
	for e := c.firstExchange(); e != nil; e = c.firstExchange() {
		err := e.writeResponse()
		c.remove(e)
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *conn) firstExchange() *exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) == 0 {
		return nil
	}
	return c.queue[0]
}

// Busy reports whether requests that were read ahead have not been answered.
func (c *conn) Busy() bool { return c.firstExchange() != nil }

// remove removes an exchange from the front of the queue, unless the connection was closed meanwhile.
func (c *conn) remove(e *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 && c.queue[0] == e {
		c.queue = c.queue[1:]
		c.listener.release()
	}
}

// cancelExchanges ends the work on all exchanges.
func (c *conn) cancelExchanges() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.queue {
		e.cancel()
	}
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.readDeadline = t
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the deadlines of reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.Conn.SetWriteDeadline(t))
}

func (c *conn) currentReadDeadline() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readDeadline
}

// postponeReadDeadline extends the idle time of the client by the time that responses were written to it.
func (c *conn) postponeReadDeadline(by time.Duration) {
	if d := c.currentReadDeadline(); !d.IsZero() {
		_ = c.SetReadDeadline(d.Add(by))
	}
}

// Close closes the connection and cancels the exchanges.
func (c *conn) Close() error {
	c.mu.Lock()
	first, linger := !c.closed, c.hasReadAhead
	c.closed = true
	abandoned := c.queue
	c.queue = nil
	c.mu.Unlock()
	for _, e := range abandoned {
		e.cancel()
		c.listener.release()
	}
	if !first {
		return net.ErrClosed
	}
	if linger {
		_ = c.Conn.SetReadDeadline(time.Now()) // ends a pending read
		go c.closeAfterReading()
		return nil
	}
	return c.Conn.Close()
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// closeAfterReading closes the connection after the client has read the last response, or after lingerTimeout.
func (c *conn) closeAfterReading() {
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.Conn) // what comes now counts as not read
	_ = c.Conn.Close()
}

// CloseWrite closes the writing side.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// awaitTurn returns at once: net/http serves a request of the connection itself only after all earlier ones.
func (c *conn) awaitTurn(context.Context) error { return nil }

func (c *conn) mayClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 {
		return false
	}
	c.lastResponse = true
	return true
}
