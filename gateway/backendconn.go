package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherwall.example/gateway/headscan"
	"heatherwall.example/gateway/resetconn"
)

// Limits of connections to backend servers.
const (
	dialTimeout           = time.Second
	idleConnectionTimeout = 30 * time.Second
	maxIdlePerServer      = 32
	// maxResponseHeaderBytes includes interim responses. A header of many short lines takes about twenty times its size in
	// memory, in each request that waits.
	maxResponseHeaderBytes   = 16 << 10
	backendKeepAliveInterval = 15 * time.Second
)

// connectionLimits are the limits of one connection to a backend server.
type connectionLimits struct {
	// writeBuffer is the size of the write buffer in bytes.
	writeBuffer int
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout time.Duration
}

var (
	defaultConnectionLimits = connectionLimits{writeBuffer: 16 << 10, idleTimeout: idleConnectionTimeout}
	// catalogueConnectionLimits suit many servers with few requests each. Servers of a catalogue close idle connections
	// after 10 s or more; the gateway closes them earlier, so that no request is sent on a connection that the server is
	// closing.
	catalogueConnectionLimits = connectionLimits{writeBuffer: 2 << 10, idleTimeout: 8 * time.Second}
)

// SendForbiddenError reports a write that the sendGate of an attempt rejected.
type SendForbiddenError struct {
	Reason string
}

func (e *SendForbiddenError) Error() string { return "sending was stopped: " + e.Reason }

// sendGate controls the writes of one attempt. It checks before the first byte whether the request may still be sent,
// binds the attempt to one connection, and records whether anything was written. It outlives the attempt, so that
// writes which the transport tries later on another connection are rejected.
type sendGate struct {
	mu    sync.Mutex
	check func() error // called before the first byte; an error forbids it
	// requestID is the identifier that the server echoes; empty for probes.
	requestID string
	// history is what the connection had carried before the request.
	history connHistory
	// allowsReconnect permits writes to another connection after the first one; it is set for probes only.
	allowsReconnect bool
	conn            *backendConn
	stopped         bool
	denied          error // why the check forbade the first byte
	// scanner checks the response; refused is the error if it is invalid.
	scanner headscan.Scanner
	refused error
	wrote   atomic.Bool
	// wroteAll is set once the system has taken the whole request, as far as is known; a failed write clears it.
	wroteAll atomic.Bool
}

// permitWrite is called before every write of the attempt. Only the first connection that was permitted to write may
// write again, so that net/http cannot send a request twice.
func (g *sendGate) permitWrite(c *backendConn) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == c {
		return nil
	}
	if g.conn != nil && !g.allowsReconnect {
		return &SendForbiddenError{Reason: "the request was already written to another connection"}
	}
	if g.stopped {
		return &SendForbiddenError{Reason: forbiddenAttemptEnded}
	}
	if g.denied = g.check(); g.denied != nil {
		g.stopped = true
		return g.denied
	}
	g.conn, g.scanner = c, headscan.Scanner{}
	g.history = c.recordRequest(g.requestID)
	g.wrote.Store(true)
	return nil
}

// responseStarted stops the gate if input arrives before the first byte was written, because that input belongs to
// another request.
func (g *sendGate) responseStarted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == nil {
		g.stopped = true
	}
}

// scan checks bytes that arrive. If the request was not written yet, they belong to another one, and the gate stops. Bytes that
// are no valid response end the attempt at once, because more of them may dribble in until the deadline.
func (g *sendGate) scan(c *backendConn, p []byte) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == nil {
		g.stopped = true
	}
	if g.conn != c || g.refused != nil {
		return g.refused
	}
	g.refused = g.scanner.Scan(p)
	return g.refused
}

// undoFirstWrite resets the gate after a first write that failed before the kernel accepted a byte. The request then
// cannot have run. Writes of this attempt to other connections stay forbidden.
func (g *sendGate) undoFirstWrite() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conn = nil
	g.stopped = true
	g.wrote.Store(false)
}

// stop forbids the first byte from now on. It reports whether one was written before, and returns the error of
// the check of the first byte or of the response if it failed. Both explain more than the error of net/http.
func (g *sendGate) stop() (wrote bool, cause error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopped = true
	if g.refused != nil {
		return g.wrote.Load(), g.refused
	}
	return g.wrote.Load(), g.denied
}

// connHistory is what a connection had carried before a request. A server that sends a response once more sends it on the
// same connection, so a response on a new one belongs to its request.
type connHistory struct {
	// used is set if the connection had carried another request or a probe.
	used bool
	// sameID is set if one of the newest requests before had the same identifier.
	sameID bool
}

// connectionHistory returns what the connection of the attempt had carried before.
func (g *sendGate) connectionHistory() connHistory {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.history
}

// closeConnection closes the connection of the attempt after a response that does not belong to it. Later responses on
// the connection would be those to earlier requests.
func (g *sendGate) closeConnection() {
	g.mu.Lock()
	conn := g.conn
	g.mu.Unlock()
	if conn != nil {
		_ = conn.Close() // net/http notices that it is closed
	}
}

// showsCrash reports whether the connection of the attempt ended before the gateway closed it, and after the whole request was
// written. A server that breaks it sooner has not run the request; it may have rejected an upload.
func (g *sendGate) showsCrash() bool {
	g.mu.Lock()
	conn := g.conn
	g.mu.Unlock()
	return conn != nil && g.wroteAll.Load() && conn.isBroken()
}

// backendConn is a connection to a backend server whose writes are controlled by the sendGate of the current attempt.
//
// A server may send more bytes than the Content-Length of its response. If the next request is assigned to the
// connection before net/http notices the surplus, net/http takes it for the response to that request. Therefore the
// first write of a request waits until net/http is blocked in Read with an empty buffer; surplus bytes then reach the
// gate as a response that started before the first byte.
type backendConn struct {
	net.Conn
	gate atomic.Pointer[sendGate]

	mu      sync.Mutex
	changed *sync.Cond
	reading bool // a Read is pending
	closed  bool
	broken  bool // see isBroken
	used    bool // see connHistory
	// newestIDs holds hashes of the identifiers of the newest requests.
	newestIDs []uint64
}

// maxNewestIDs is the number of requests whose identifiers a connection remembers.
const maxNewestIDs = 16

// recordRequest records a request with an identifier, or a probe without, and returns what the connection carried before.
func (c *backendConn) recordRequest(id string) connHistory {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := connHistory{used: c.used}
	c.used = true
	if id == "" {
		return before
	}
	hash := xxhash.Sum64String(id)
	before.sameID = slices.Contains(c.newestIDs, hash)
	if len(c.newestIDs) == maxNewestIDs {
		c.newestIDs = slices.Delete(c.newestIDs, 0, 1)
	}
	c.newestIDs = append(c.newestIDs, hash)
	return before
}

func newBackendConn(c net.Conn) *backendConn {
	b := &backendConn{Conn: resetconn.New(c)}
	b.changed = sync.NewCond(&b.mu)
	return b
}

func (c *backendConn) Read(p []byte) (int, error) {
	c.setReading(true)
	defer c.setReading(false)
	n, err := c.Conn.Read(p)
	c.recordError(err)
	if g := c.gate.Load(); g != nil && n > 0 {
		if err := g.scan(c, p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// recordError marks the connection as broken if it failed before the gateway closed it.
func (c *backendConn) recordError(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.broken = c.broken || (err != nil && !c.closed)
}

// isBroken reports whether the connection ended before the gateway closed it. Bytes that the gateway cannot use make it
// close the connection; they do not show that the server crashed.
func (c *backendConn) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken
}

func (c *backendConn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
	c.changed.Broadcast()
}

func (c *backendConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// awaitReader waits until a Read is pending, that is, all earlier input has been consumed, or the connection is closed.
func (c *backendConn) awaitReader() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.changed.Wait()
	}
}

// NoGateError reports a write on a connection without a gate, which is a programming error.
type NoGateError struct{}

func (e *NoGateError) Error() string { return "write to a backend server without an attempt" }

func (c *backendConn) Write(p []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, &NoGateError{}
	}
	first := !g.wrote.Load()
	if first {
		c.awaitReader()
	}
	if err := g.permitWrite(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.recordError(err)
	if err != nil {
		g.wroteAll.Store(false) // net/http reports the request as written before it flushes its buffer
	}
	if first && n == 0 && err != nil {
		g.undoFirstWrite()
	}
	return n, err
}

// newTransport returns the transport for requests to backend servers. Every request must carry a gate, see withGate.
func newTransport(limits connectionLimits) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: backendKeepAliveInterval}
	return &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, &UnreachableError{Address: address, Err: err}
			}
			return newBackendConn(conn), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerServer,
		IdleConnTimeout:        limits.idleTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		WriteBufferSize:        limits.writeBuffer,
		ForceAttemptHTTP2:      false,
	}
}

// UnreachableError reports that no connection to a backend server could be opened.
type UnreachableError struct {
	Address string
	Err     error
}

func (e *UnreachableError) Error() string { return fmt.Sprintf("connect to %s: %v", e.Address, e.Err) }
func (e *UnreachableError) Unwrap() error { return e.Err }

// withProbeGate permits a probe to use the connections of requests. The request that follows the probe then gets a
// connection that was used recently, which the server has neither closed nor dropped. check is called before the first byte.
func withProbeGate(ctx context.Context, check func() error) (context.Context, *sendGate) {
	g := &sendGate{check: check, allowsReconnect: true}
	return withGate(ctx, g), g
}

// withGate assigns the gate to the connection that the transport chooses for the request.
func withGate(ctx context.Context, g *sendGate) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*backendConn); ok {
				c.gate.Store(g)
			}
		},
		GotFirstResponseByte: g.responseStarted,
		WroteRequest:         func(info httptrace.WroteRequestInfo) { g.wroteAll.Store(info.Err == nil) },
	})
}
