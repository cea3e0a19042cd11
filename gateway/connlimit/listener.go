// Package connlimit limits the open connections of callers, so that a crowd of them leaves descriptors for backend servers and
// control replicas. It may import the standard library only.
package connlimit

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// callerShare is the fraction of the descriptors of the process that callers may use.
const callerShare = 0.6

// FromDescriptors returns the number of connections for callers that the descriptor limit of the process leaves; 0 for no
// limit.
func FromDescriptors() int {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil || limit.Cur == 0 {
		return 0
	}
	return int(callerShare * float64(min(limit.Cur, 1<<20)))
}

// Listener accepts at most a number of connections at a time. Beyond it, a new connection takes the place of the one that has
// been idle longest; if none is idle, it is closed at once.
type Listener struct {
	net.Listener
	limit int
	// count is called with "evicted" or "refused".
	count func(event string)

	mu   sync.Mutex
	open int
	// idle holds the connections on which no request is being read or served, the one that has been idle longest first.
	idle list.List
}

// NewListener wraps a listener; limit 0 sets no limit.
func NewListener(inner net.Listener, limit int, count func(event string)) *Listener {
	return &Listener{Listener: inner, limit: limit, count: count}
}

// Accept waits for a connection that is within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		l.count("refused")
		_ = inner.Close() // nothing was read or written
	}
}

// admit returns the connection, or nil if it is beyond the limit.
func (l *Listener) admit(inner net.Conn) *Conn {
	l.mu.Lock()
	var evicted *Conn
	if l.limit > 0 && l.open >= l.limit {
		if evicted = l.longestIdle(); evicted == nil {
			l.mu.Unlock()
			return nil
		}
		l.remove(evicted)
	}
	l.open++
	c := &Conn{Conn: inner, listener: l}
	c.idle = l.idle.PushBack(c)
	l.mu.Unlock()
	if evicted != nil {
		l.count("evicted")
		_ = evicted.Conn.Close() // its reader notices
	}
	return c
}

// longestIdle returns the connection that has been idle longest; nil if there is none. The caller holds mu.
func (l *Listener) longestIdle() *Conn {
	for e := l.idle.Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if b, ok := c.outer.(interface{ Busy() bool }); !ok || !b.Busy() {
			return c
		}
	}
	return nil
}

// remove takes a connection out of the list and the count. The caller holds mu.
func (l *Listener) remove(c *Conn) {
	if c.closed {
		return
	}
	c.closed = true
	l.open--
	l.setIdle(c, false)
}

// setIdle moves a connection to or from the list. The caller holds mu.
func (l *Listener) setIdle(c *Conn, idle bool) {
	switch {
	case idle && c.idle == nil && !c.closed:
		c.idle = l.idle.PushBack(c)
	case !idle && c.idle != nil:
		l.idle.Remove(c.idle)
		c.idle = nil
	}
}

// ConnState is the hook of the http.Server that serves the connections.
func (l *Listener) ConnState(conn net.Conn, state http.ConnState) {
	c := unwrap(conn)
	if c == nil || c.listener != l {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.outer = conn
	l.setIdle(c, state == http.StateIdle || state == http.StateNew)
}

// unwrap returns the Conn below the wrappers of a connection; nil if there is none.
func unwrap(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case interface{ NetConn() net.Conn }:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// The fields below are guarded by the mutex of the listener.
	idle   *list.Element
	closed bool
	// outer is the connection that the server sees; nil before it has. If it has the method Busy, requests may be in progress
	// on it although the server takes it for idle.
	outer net.Conn
}

// NetConn returns the connection below, as tls.Conn does.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the writing side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and makes room for another one.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
