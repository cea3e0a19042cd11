package gateway

import (
	"net"
	"net/http"
	"testing"
)

// Guards against a caller that loses its connection, and with it the requests sent ahead on it, because a server cut off a
// short body: an idempotent request is sent to another server, any other gets a whole refusal that says it may have run.
func TestCutShortBody(t *testing.T) {
	cut, _ := rawServer(t, func(c net.Conn, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole")
		_ = c.Close()
	})
	whole, _ := rawServer(t, func(c net.Conn, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer")
	})
	f := newPathFixture(t, cut, whole)
	f.expect(t, f.request(t, "GET", "/read/a", ""), http.StatusOK, "whole answer")
	f.expect(t, f.request(t, "POST", "/free/a", ""), http.StatusBadGateway, `"ran":"unknown"`)
}
