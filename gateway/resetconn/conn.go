// Package resetconn keeps the reset of a connection apart from its proper end: for the reader of a connection that a peer resets,
// and for the peer of one that this process resets. It may import the standard library only.
package resetconn

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only if the peer has closed its sending side.
//
// The system reports a reset once for each connection. If it reports it to a Write, the next Read returns io.EOF as after a
// proper close, and a message that ends with its connection looks complete. Conn therefore remembers failures, and at the end
// of the stream waits for the result of a Write in progress. Create it with New.
type Conn struct {
	net.Conn

	mu      sync.Mutex
	changed *sync.Cond
	// writes is the number of calls of Write in progress.
	writes int
	// failure is the first error that shows that the stream from the peer did not end properly.
	failure error
}

// New returns a Conn on top of conn, whose writes must honour SetWriteDeadline.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// Read implements net.Conn. A reset that was reported to a Write is returned in place of io.EOF. At the end of the stream,
// Writes in progress end with os.ErrDeadlineExceeded.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch err {
	case nil:
		return n, nil
	case io.EOF:
		return n, c.endOfStream()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(err)
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()

	n, err := c.Conn.Write(p)

	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.record(err)
	c.changed.Broadcast()
	return n, err
}

// longAgo is a deadline that ends all writes.
var longAgo = time.Unix(1, 0)

// endOfStream returns the error of a Read at the end of the stream. A Write in progress may already hold the reset but not
// have returned yet; it is ended, so that its result is there at once.
func (c *Conn) endOfStream() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes > 0 {
		_ = c.SetWriteDeadline(longAgo) // fails only on a closed connection, which ends writes too
	}
	for c.writes > 0 {
		c.changed.Wait()
	}
	if c.failure != nil {
		return c.failure
	}
	return io.EOF
}

// record remembers the first error that shows that the stream from the peer did not end properly. The caller holds mu.
func (c *Conn) record(err error) {
	if c.failure == nil && breaksStream(err) {
		c.failure = err
	}
}

// breaksStream reports whether an error shows that the stream from the peer did not end properly. EPIPE shows the opposite:
// the system returns it for a reset that arrives after the peer has closed its sending side.
func breaksStream(err error) bool {
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
		return false
	}
	return true
}
