package pipeline

import (
	"context"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// responseWriteTimeout limits the writing of a part of a response to the client after the server has written all of it.
const responseWriteTimeout = 10 * time.Second

// exchange is the connection on which the server reads one request that was read ahead. Its response is held until the
// responses to all earlier requests have been written.
type exchange struct {
	conn *conn
	// turn is closed when the response is next to be written.
	turn chan struct{}
	// canceled is closed when the response is not wanted any more.
	canceled   chan struct{}
	cancelOnce sync.Once

	mu      sync.Mutex
	changed *sync.Cond
	request []byte // what the server has not read yet
	// response is what the server has written and the client has not got.
	response      []byte
	readDeadline  time.Time
	writeDeadline time.Time
	writeTimer    *time.Timer
	// complete is set when the server waits for the next request, so that the response is complete and leaves the
	// connection open.
	complete bool
	closed   bool
}

func newExchange(c *conn, request []byte) *exchange {
	e := &exchange{conn: c, turn: make(chan struct{}), canceled: make(chan struct{}), request: slices.Clone(request)}
	e.changed = sync.NewCond(&e.mu)
	return e
}

// Read returns the request. Afterwards, a read of one byte waits until the exchange is cancelled, and any other read means
// that the server has written the whole response; see conn.
func (e *exchange) Read(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.request) > 0 {
		n := copy(p, e.request)
		e.request = e.request[n:]
		return n, nil
	}
	if len(p) > 1 {
		e.complete = true
		e.changed.Broadcast()
		return 0, io.EOF
	}
	for !e.closed && !e.isCanceled() {
		if isPast(e.readDeadline) {
			return 0, os.ErrDeadlineExceeded
		}
		e.changed.Wait()
	}
	return 0, io.EOF
}

// Write holds bytes of the response. Beyond the limit it waits until the client gets some.
func (e *exchange) Write(p []byte) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	written := 0
	for written < len(p) {
		switch room := e.conn.listener.limits.ResponseBytes - len(e.response); {
		case e.closed || e.isCanceled():
			return written, net.ErrClosed
		case isPast(e.writeDeadline):
			return written, os.ErrDeadlineExceeded
		case room <= 0:
			e.changed.Wait()
		default:
			n := min(room, len(p)-written)
			e.response = append(e.response, p[written:written+n]...)
			written += n
			e.changed.Broadcast()
		}
	}
	return written, nil
}

// writeResponse writes the response to the client as it comes. It returns an error if the connection must be closed.
func (e *exchange) writeResponse() error {
	close(e.turn)
	for {
		part, deadline, ended := e.next()
		if len(part) > 0 {
			if err := e.conn.Conn.SetWriteDeadline(deadline); err != nil {
				return err
			}
			if _, err := e.conn.Conn.Write(part); err != nil {
				return err
			}
			continue
		}
		if ended {
			_ = e.conn.Conn.SetWriteDeadline(time.Time{}) // the next write reports an error of the connection
			return e.verdict()
		}
	}
}

// next waits for a part of the response. ended is set if there is none left.
func (e *exchange) next() (part []byte, deadline time.Time, ended bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.response) == 0 && !e.complete && !e.closed && !e.isCanceled() {
		e.changed.Wait()
	}
	part, e.response = e.response, nil
	e.changed.Broadcast()
	deadline = e.writeDeadline
	if deadline.IsZero() {
		deadline = time.Now().Add(responseWriteTimeout)
	}
	return part, deadline, len(part) == 0
}

// verdict returns nil if the connection stays open after the response.
func (e *exchange) verdict() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.complete && !e.isCanceled() {
		return nil
	}
	return net.ErrClosed
}

func (e *exchange) isCanceled() bool {
	select {
	case <-e.canceled:
		return true
	default:
		return false
	}
}

// cancel ends the exchange because its response is not wanted any more.
func (e *exchange) cancel() {
	e.cancelOnce.Do(func() { close(e.canceled) })
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed.Broadcast()
}

// Close is called by the server. A response that was not complete before closes the connection of the client.
func (e *exchange) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.writeTimer != nil {
		e.writeTimer.Stop()
	}
	e.changed.Broadcast()
	return nil
}

// SetReadDeadline sets the deadline of reads. Only one that has passed already has an effect: the request is there, and
// net/http ends its wait for the client to leave that way.
func (e *exchange) SetReadDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.readDeadline = t
	e.changed.Broadcast()
	return nil
}

// SetWriteDeadline sets the deadline of writes, to the server's buffer and to the client.
func (e *exchange) SetWriteDeadline(t time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writeDeadline = t
	if e.writeTimer != nil {
		e.writeTimer.Stop()
	}
	if !t.IsZero() && !e.closed {
		e.writeTimer = time.AfterFunc(time.Until(t), e.wake)
	}
	e.changed.Broadcast()
	return nil
}

func (e *exchange) wake() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changed.Broadcast()
}

// SetDeadline sets the deadlines of reads and writes.
func (e *exchange) SetDeadline(t time.Time) error {
	_ = e.SetReadDeadline(t) // neither fails
	return e.SetWriteDeadline(t)
}

// LocalAddr returns the address of the server.
func (e *exchange) LocalAddr() net.Addr { return e.conn.LocalAddr() }

// RemoteAddr returns the address of the client.
func (e *exchange) RemoteAddr() net.Addr { return e.conn.RemoteAddr() }

func (e *exchange) awaitTurn(ctx context.Context) error {
	select {
	case <-e.turn:
		return nil
	case <-e.canceled:
		return net.ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *exchange) mayClose() bool {
	c := e.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.queue) > 0 && c.queue[len(c.queue)-1] != e {
		return false
	}
	c.lastResponse = true
	return true
}
