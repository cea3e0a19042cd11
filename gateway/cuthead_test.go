package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// Guards against a response whose head a server cuts off, by a close or a reset at any byte, that reaches the caller as a
// complete response with an empty or a short body.
func TestCutResponseHeadIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nContent-Length: 12\r\nX-Last: z\r\n\r\n"
	for name, end := range map[string]func(net.Conn){"closed": func(c net.Conn) { _ = c.Close() }, "reset": reset} {
		t.Run(name, func(t *testing.T) {
			cut := 0
			address, _ := rawServer(t, func(c net.Conn, _ *http.Request) {
				write(c, head[:cut])
				end(c)
			})
			f := newPathFixture(t, address)
			for cut = range len(head) {
				for _, r := range []*http.Request{f.request(t, "GET", "/read/a", ""), f.request(t, "POST", "/free/a", strings.Repeat("x", cut))} {
					if status, body, _ := f.do(t, r); status != http.StatusBadGateway && reasonOf(body) != ReasonPoison {
						t.Fatalf("%s, cut after %q: status %d, %q", r.Method, head[:cut], status, body)
					}
				}
				f.crashMarks = newCrashMarkTable("gw-1")
			}
		})
	}
}
