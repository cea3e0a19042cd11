// Package relay is a TCP relay for tests that can silently drop the traffic of one or both directions: connections stay
// open, bytes vanish, and no reset is sent, as in a silent partition.
package relay

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
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
	forward  atomic.Bool
	backward atomic.Bool
	bytes    atomic.Int64

	mu          sync.Mutex
	connections map[net.Conn]bool
}

// Start listens on address and forwards to target until Close.
func Start(address, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	r := &Relay{listener: listener, target: target, connections: map[net.Conn]bool{}}
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
	switch d {
	case None, Forward, Backward, Both:
	default:
		return &DirectionError{Text: string(d)}
	}
	if d == None && (r.forward.Load() || r.backward.Load()) {
		r.closeConnections()
	}
	r.forward.Store(d == Forward || d == Both)
	r.backward.Store(d == Backward || d == Both)
	return nil
}

// Close ends the relay and all its connections.
func (r *Relay) Close() error {
	err := r.listener.Close()
	r.closeConnections()
	return err
}

func (r *Relay) closeConnections() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.connections {
		c.Close()
	}
	clear(r.connections)
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
	r.mu.Lock()
	r.connections[from] = true
	r.connections[to] = true
	r.mu.Unlock()
	go r.copy(to, from, &r.forward)
	r.copy(from, to, &r.backward)
}

// copy passes bytes on while the direction is not cut. The end of a stream is passed on as well, but not during a cut.
func (r *Relay) copy(to, from net.Conn, cut *atomic.Bool) {
	const bufferBytes = 32 << 10
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if cut.Load() {
			n = 0
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
	if !cut.Load() {
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
