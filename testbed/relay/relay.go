// Package relay is a TCP relay for tests that can silently drop the traffic of one or both directions: connections stay
// open, bytes vanish, and no reset is sent, as in a silent partition.
package relay

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Direction tells which bytes a relay drops.
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

// Relay forwards connections from one address to another.
type Relay struct {
	listener net.Listener
	target   string
	identify IdentifyFunc
	all      path
	bytes    atomic.Int64
	// delay is how long each piece of a stream is held back, in ns.
	delay atomic.Int64

	mu sync.Mutex
	// connections holds the open connections with the name of the process that made them.
	connections map[net.Conn]string
	paths       map[string]*path
}

// IdentifyFunc names the process at the other end of an accepted connection; an empty name is unknown.
type IdentifyFunc func(net.Conn) string

// path is the state of the traffic from one process.
type path struct {
	forward  atomic.Bool
	backward atomic.Bool
}

func (p *path) cut(d Direction) {
	p.forward.Store(d == Forward || d == Both)
	p.backward.Store(d == Backward || d == Both)
}

func (p *path) isCut() bool { return p.forward.Load() || p.backward.Load() }

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
		paths:       map[string]*path{},
	}
	go r.accept()
	return r, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Bytes is the number of bytes passed on so far, both directions together.
func (r *Relay) Bytes() int64 { return r.bytes.Load() }

// Cut starts to drop the bytes of a direction, on open and new connections; None ends the cut. A connection that lost
// bytes must not carry later ones, so ending a cut closes the connections that were open.
func (r *Relay) Cut(d Direction) error {
	if err := d.check(); err != nil {
		return err
	}
	if d == None && r.all.isCut() {
		r.closeConnections(func(string) bool { return true })
	}
	r.all.cut(d)
	return nil
}

// CutFrom is Cut for the connections that one process makes.
func (r *Relay) CutFrom(source string, d Direction) error {
	if err := d.check(); err != nil {
		return err
	}
	p := r.path(source)
	if d == None && p.isCut() {
		r.closeConnections(func(from string) bool { return from == source })
	}
	p.cut(d)
	return nil
}

// SetDelay holds each piece of every stream back for d from now on.
func (r *Relay) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Reset resets all open connections; new ones are not affected.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0) // a failure leaves an ordinary close, which is a fault as well
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

func (r *Relay) path(source string) *path {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paths[source] == nil {
		r.paths[source] = &path{}
	}
	return r.paths[source]
}

// Close ends the relay and all its connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.closeConnections(func(string) bool { return true })
	return err
}

func (r *Relay) closeConnections(chosen func(source string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, source := range r.connections {
		if chosen(source) {
			c.Close()
			delete(r.connections, c)
		}
	}
}

func (r *Relay) accept() {
	for {
		from, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.connect(from)
	}
}

func (r *Relay) connect(from net.Conn) {
	to, err := net.Dial("tcp", r.target)
	if err != nil {
		from.Close()
		return
	}
	source := ""
	if r.identify != nil {
		source = r.identify(from)
	}
	p := r.path(source)
	r.mu.Lock()
	r.connections[from] = source
	r.connections[to] = source
	r.mu.Unlock()
	go r.copy(to, from, func() bool { return r.all.forward.Load() || p.forward.Load() })
	r.copy(from, to, func() bool { return r.all.backward.Load() || p.backward.Load() })
}

// copy passes bytes on while the direction is not cut. The end of a stream is passed on as well, but not during a cut.
func (r *Relay) copy(to, from net.Conn, cut func() bool) {
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if cut() {
			n = 0
		}
		if d := time.Duration(r.delay.Load()); d > 0 {
			time.Sleep(d)
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
		r.end(to, from)
	}
}

func (r *Relay) end(connections ...net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range connections {
		c.Close()
		delete(r.connections, c)
	}
}

var _ io.Closer = (*Relay)(nil)
