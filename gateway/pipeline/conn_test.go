package pipeline

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against bytes that are passed to net/http after it has closed the connection, which stays open for a moment so that
// the client can read the last response: a request in them would be served and its response lost.
func TestReadEndsWithClose(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	inner, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := newConn(inner, NewListener(l, DefaultLimits, nil))
	c.markReadAhead()
	type result struct {
		n   int
		err error
	}
	ended := make(chan result, 1)
	go func() {
		n, err := c.Read(make([]byte, 4096))
		ended <- result{n, err}
	}()
	time.Sleep(20 * time.Millisecond) // lets the read begin
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(peer, get("/late"))
	if r := <-ended; r.n != 0 || r.err == nil {
		t.Errorf("a read that was pending at the close returned %d bytes, %v", r.n, r.err)
	}
	if n, err := c.Read(make([]byte, 4096)); n != 0 || err == nil {
		t.Errorf("a read after the close returned %d bytes, %v", n, err)
	}
	if _, err := io.ReadAll(peer); err != nil {
		t.Errorf("the peer got %v, want a regular end of the connection", err)
	}
}
