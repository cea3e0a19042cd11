package gateway

import (
	"io"
	"net"
	"testing"
)

// brokenConn takes some bytes of a write and fails.
type brokenConn struct {
	net.Conn
	takes int
}

func (c *brokenConn) Write([]byte) (int, error) { return c.takes, io.ErrClosedPipe }

// Guards against a request that counts as possibly run although its connection took no byte of it, and against one that
// counts as not run, or is written elsewhere, after a part of it was taken.
func TestFirstWriteThatFails(t *testing.T) {
	for _, tt := range []struct {
		takes int
		wrote bool
	}{{0, false}, {1, true}} {
		local, remote := net.Pipe()
		defer local.Close()
		defer remote.Close()
		conn, other := newBackendConn(&brokenConn{Conn: local, takes: tt.takes}), newBackendConn(local)
		go func() { _, _ = conn.Read(make([]byte, 1)) }()
		gate := &sendGate{check: func() error { return nil }}
		conn.gate.Store(gate)
		if _, err := conn.Write([]byte("GET")); err == nil {
			t.Fatal("the write did not fail")
		}
		if err := gate.enter(other); err == nil {
			t.Errorf("%d bytes taken: the attempt may be written to another connection", tt.takes)
		}
		if wrote, _ := gate.stop(); wrote != tt.wrote {
			t.Errorf("%d bytes taken: written %v, want %v", tt.takes, wrote, tt.wrote)
		}
	}
}
