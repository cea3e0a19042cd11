// Package relay is a TCP relay for tests that can silently drop the traffic of one or both directions, as in a network
// partition: connections stay open, bytes are lost, and no reset is sent.
package relay

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction is the direction of the traffic that a relay drops.
type Direction string

// Directions of a cut. Forward is from the connecting side to the target.
const (
	None     Direction = "none"
	Forward  Direction = "forward"
	Backward Direction = "backward"
	Both     Direction = "both"
)

// DirectionError reports an unknown direction.
type DirectionError struct {
	Text string
}

func (e *DirectionError) Error() string {
	return fmt.Sprintf("%q: expected none, forward, backward or both", e.Text)
}

// ListenError reports an address that could not be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Sizes of the chunks that are read at once, without and with a limited bandwidth.
const (
	bufferBytes       = 32 << 10
	limitedChunkBytes = 1 << 10
)

// Relay accepts connections on one address and forwards them to another.
type Relay struct {
	listener   net.Listener
	target     string
	identify   IdentifyFunc
	allSources cutState
	bytes      atomic.Int64
	// delay is how long each chunk of a stream is held back, in ns.
	delay atomic.Int64
	// rate is the bandwidth of each direction of each connection in bytes per second; 0 for no limit.
	rate atomic.Int64

	mu sync.Mutex
	// connections maps both ends of each open connection to the name of the process that opened it.
	connections map[net.Conn]string
	sourceCuts  map[string]*cutState
}

// IdentifyFunc returns the name of the process at the other end of an accepted connection, or an empty string if it is
// unknown.
type IdentifyFunc func(net.Conn) string

// cutState holds the directions that are cut, for all connections or for those of one process.
type cutState struct {
	forward  atomic.Bool
	backward atomic.Bool
}

func (c *cutState) cut(d Direction) {
	c.forward.Store(d == Forward || d == Both)
	c.backward.Store(d == Backward || d == Both)
}

func (c *cutState) isCut() bool { return c.forward.Load() || c.backward.Load() }

// Start listens on address and forwards to target until Close. Without identify, CutFrom has no effect.
func Start(address, target string, identify IdentifyFunc) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	r := &Relay{
		listener:    listener,
		target:      target,
		identify:    identify,
		connections: map[net.Conn]string{},
		sourceCuts:  map[string]*cutState{},
	}
	go r.acceptConnections()
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Bytes returns the number of bytes forwarded so far in both directions.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Cut drops the bytes of a direction from now on, on open and new connections; None ends the cut. A connection that lost
// bytes must not carry later ones, so the end of a cut closes all open connections.
func (r *Relay) Cut(d Direction) error {
	if err := d.check(); err != nil {
		return err
	}
	if d == None && r.allSources.isCut() {
		r.closeConnections(func(string) bool { return true })
	}
	r.allSources.cut(d)
	return nil
}

// CutFrom is like Cut, for the connections that the process named source opens.
func (r *Relay) CutFrom(source string, d Direction) error {
	if err := d.check(); err != nil {
		return err
	}
	state := r.sourceCut(source)
	if d == None && state.isCut() {
		r.closeConnections(func(from string) bool { return from == source })
	}
	state.cut(d)
	return nil
}

// SetDelay delays each chunk of every stream by d from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// SetRate limits each direction of every connection to a bandwidth in bytes per second from now on; 0 ends the limit.
func (r *Relay) SetRate(bytesPerSecond int) { r.rate.Store(int64(bytesPerSecond)) }

// Reset resets all open connections. Later connections are not affected.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // if this fails, the connection is closed without a reset, which is a fault as well
		}
		c.Close()
		delete(r.connections, c)
	}
}

func (d Direction) check() error {
	switch d {
	case None, Forward, Backward, Both:
		return nil
	}
	return &DirectionError{Text: string(d)}
}

func (r *Relay) sourceCut(source string) *cutState {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sourceCuts[source] == nil {
		r.sourceCuts[source] = &cutState{}
	}
	return r.sourceCuts[source]
}

// Close stops the relay and closes all its connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.closeConnections(func(string) bool { return true })
	return err
}

func (r *Relay) closeConnections(match func(source string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, source := range r.connections {
		if match(source) {
			c.Close()
			delete(r.connections, c)
		}
	}
}

func (r *Relay) acceptConnections() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.relayConnection(from)
	}
}

func (r *Relay) relayConnection(from net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		from.Close()
		return
	}
	source := ""
	if r.identify != nil {
		source = r.identify(from)
	}
	state := r.sourceCut(source)
	r.mu.Lock()
	r.connections[from] = source
	r.connections[to] = source
	r.mu.Unlock()
	go r.copy(to, from, func() bool { return r.allSources.forward.Load() || state.forward.Load() })
	r.copy(from, to, func() bool { return r.allSources.backward.Load() || state.backward.Load() })
}

// copy forwards bytes while the direction is not cut, and drops them otherwise. It also forwards the end of the stream by
// closing both connections, but not during a cut.
func (r *Relay) copy(to, from net.Conn, cut func() bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer[:r.chunkBytes()])
		if cut() {
			n = 0
		}
		if d := time.Duration(r.delay.Load()); d > 0 {
			time.Sleep(d)
		}
		if rate := r.rate.Load(); rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
			r.bytes.Add(int64(n))
		}
		if err != nil {
			break
		}
	}
	if !cut() {
		r.closeAll(to, from)
	}
}

// chunkBytes returns how many bytes are read at once. With a limited bandwidth, chunks are small, so that bytes arrive
// evenly.
func (r *Relay) chunkBytes() int {
	if r.rate.Load() > 0 {
		return limitedChunkBytes
	}
	return bufferBytes
}

func (r *Relay) closeAll(connections ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range connections {
		c.Close()
		delete(r.connections, c)
	}
}

var _ io.Closer = (*Relay)(nil)
