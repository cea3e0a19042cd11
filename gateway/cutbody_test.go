package gateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
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

// Guards against a cut answer that looks complete to a caller of HTTP/1.0, whose answers without a length end with the
// connection.
func TestCutAnswerResetsHTTP10(t *testing.T) {
	const chunk = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	for name, whole := range map[string]bool{"cut": false, "whole": true} {
		t.Run(name, func(t *testing.T) {
			servers := startRelayServers(t)
			servers.handle = func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer c.Close()
				write(c, chunk)
				if whole {
					write(c, "0\r\n\r\n")
				}
			}
			g := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a")[0]
			c, err := net.Dial("tcp", g.Callers)
			must(t, err)
			defer c.Close()
			must(t, c.SetDeadline(time.Now().Add(testTimeout)))
			write(c, "GET /read/1 HTTP/1.0\r\nHost: a.example\r\n\r\n")
			answer, err := io.ReadAll(c)
			if complete := err == nil && strings.HasSuffix(string(answer), "part"); complete != whole {
				t.Errorf("got %q, %v", answer, err)
			}
		})
	}
}
