package gateway

import (
	"errors"
	"io"
	"net"
	"testing"
)

// brokenConn accepts some bytes of each write and then fails.
type brokenConn struct {
	net.Conn
	accepts int
}

func (c *brokenConn) Write([]byte) (int, error) { return c.accepts, io.ErrClosedPipe }

// Guards against treating a request as possibly run if its connection accepted no byte of it, and against treating it
// as not run, or writing it to another connection, after a part of it was accepted.
func TestFailedFirstWrite(t *testing.T) {
	for _, tt := range []struct {
		accepts int
		wrote   bool
	}{{0, false}, {1, true}} {
		local, remote := net.Pipe()
		defer local.Close()
		defer remote.Close()
		conn, other := newBackendConn(&brokenConn{Conn: local, accepts: tt.accepts}), newBackendConn(local)
		go func() { _, _ = conn.Read(make([]byte, 1)) }()
		gate := &sendGate{check: func() error { return nil }}
		conn.gate.Store(gate)
		if _, err := conn.Write([]byte("GET")); err == nil {
			t.Fatal("the write did not fail")
		}
		if err := gate.permitWrite(other); err == nil {
			t.Errorf("%d bytes accepted: the attempt may be written to another connection", tt.accepts)
		}
		if wrote, _ := gate.stop(); wrote != tt.wrote {
			t.Errorf("%d bytes accepted: written %v, want %v", tt.accepts, wrote, tt.wrote)
		}
	}
}

// Guards against a response that arrives before its request is written, between the wait for the reader and the first write, and
// that is taken unchecked for the response to the request.
func TestInputBeforeTheFirstWriteForbidsIt(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	conn := newBackendConn(local)
	gate := &sendGate{check: func() error { return nil }}
	conn.gate.Store(gate)
	go func() { _, _ = io.WriteString(remote, "HTTP/1.1 200 OK\r\n") }()
	if _, err := conn.Read(make([]byte, 64)); err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = conn.Read(make([]byte, 64)) }()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	var forbidden *SendForbiddenError
	if _, err := conn.Write([]byte("GET")); !errors.As(err, &forbidden) {
		t.Errorf("the write returned %v, want a SendForbiddenError", err)
	}
}
