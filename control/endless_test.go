package control

import (
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// pipeListener accepts the connections of its channel.
type pipeListener struct{ connections chan net.Conn }

func (l *pipeListener) Accept() (net.Conn, error) {
	c, ok := <-l.connections
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}
func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against a call whose header or body dribbles without end and keeps its connection and a goroutine for ever, both
// while the handler reads the body and after it has answered without reading it.
func TestDribbledCallsEnd(t *testing.T) {
	const head = "POST /heatherwall HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n"
	for name, start := range map[string]string{"header": head, "body": head + "\r\n", "unread body": head + "X-Unread: 1\r\n\r\n"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if open := dribbleCall(start); open > time.Minute {
					t.Errorf("the connection was open for %s", open)
				}
			})
		})
	}
}

// dribbleCall sends a call and then a byte per second. It returns how long the server kept the connection open, at most
// an hour.
func dribbleCall(start string) time.Duration {
	server := newCallServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Unread") == "" {
			_, _ = io.ReadAll(r.Body)
		}
	}))
	l := &pipeListener{connections: make(chan net.Conn)}
	go func() { _ = server.Serve(l) }()
	defer server.Close()
	client, accepted := net.Pipe()
	l.connections <- accepted
	defer close(l.connections)
	defer client.Close()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	began := time.Now()
	_, err := io.WriteString(client, start)
	for err == nil && time.Since(began) < time.Hour {
		_, err = client.Write([]byte("a"))
		time.Sleep(time.Second)
	}
	return time.Since(began)
}
