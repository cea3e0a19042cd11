package connlimit

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// startServer starts a server whose handler waits for the path /wait until the test ends, and returns its address. events
// receives the events of the listener, and "waiting" for each request that waits.
func startServer(t *testing.T, limit int) (address string, events chan string) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	events = make(chan string, 1000)
	l := NewListener(inner, limit, func(event string) { events <- event })
	end := make(chan struct{})
	server := &http.Server{ConnState: l.ConnState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			events <- "waiting"
			<-end
		}
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() {
		close(end)
		_ = server.Close()
	})
	return inner.Addr().String(), events
}

// open opens a connection and sends a text.
func open(t *testing.T, address, text string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	return conn
}

func request(path string) string { return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: x\r\n\r\n", path) }

// isAnswered reports whether a response arrives on the connection, and not its end.
func isAnswered(t *testing.T, conn net.Conn) bool {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := conn.Read(make([]byte, 1))
	if err != nil && n == 0 {
		if e, ok := err.(net.Error); ok && e.Timeout() {
			t.Fatal("neither a response nor the end of the connection")
		}
	}
	return n == 1
}

// Guards against a caller who is not served because of connections on which nothing happens.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	address, events := startServer(t, 3)
	silent := open(t, address, "")
	idle := open(t, address, request("/"))
	if !isAnswered(t, idle) {
		t.Fatal("the first request was not answered")
	}
	for range 10 {
		if !isAnswered(t, open(t, address, request("/"))) {
			t.Fatal("a request was not answered beside idle connections")
		}
	}
	if isAnswered(t, silent) {
		t.Error("the silent connection is still open")
	}
	if event := <-events; event != "evicted" {
		t.Errorf("first event %q; want an eviction", event)
	}
}

// Guards against requests in progress that are broken off for new connections, and against more connections than permitted.
func TestBusyConnectionsStay(t *testing.T) {
	address, events := startServer(t, 2)
	first, second := open(t, address, request("/wait")), open(t, address, request("/wait"))
	for range 2 {
		if event := <-events; event != "waiting" {
			t.Fatalf("event %q; want both requests in progress", event)
		}
	}
	for range 5 {
		if isAnswered(t, open(t, address, request("/"))) {
			t.Fatal("a connection beyond the limit was served")
		}
		if event := <-events; event != "refused" {
			t.Fatalf("event %q; want a refusal", event)
		}
	}
	for _, conn := range []net.Conn{first, second} {
		_ = conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		if _, err := conn.Read(make([]byte, 1)); err == nil || err == io.EOF {
			t.Errorf("a connection with a request in progress: %v; want it to stay", err)
		}
	}
}

// Guards against room that is not given back.
func TestClosedConnectionsMakeRoom(t *testing.T) {
	address, _ := startServer(t, 2)
	for range 20 {
		conn := open(t, address, request("/"))
		if !isAnswered(t, conn) {
			t.Fatal("a request was not answered")
		}
		conn.Close()
	}
}
