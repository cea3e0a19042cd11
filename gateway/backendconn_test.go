package gateway

import (
	"io"
	"net"
	"testing"
)

// brokenConn takes some bytes of a write and fails.
type brokenConn struct {
	net.Conn
	accepts int
}

func (c *brokenConn) Write([]byte) (int, error) { return c.accepts, io.ErrClosedPipe }

// Guards against a request that counts as possibly run although its connection took no byte of it, and against one that
// counts as not run, or is written elsewhere, after a part of it was taken.
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
			t.Errorf("%d bytes taken: the attempt may be written to another connection", tt.accepts)
		}
		if wrote, _ := gate.stop(); wrote != tt.wrote {
			t.Errorf("%d bytes taken: written %v, want %v", tt.accepts, wrote, tt.wrote)
		}
	}
}
