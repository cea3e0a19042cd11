package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherwall.example/settings"
)

// Guards against requests that come late in the grace time of a planned stop, are passed on, and are cut without an answer
// when the grace time ends, among them requests that may not be repeated: a request that may last longer than the gateway
// runs is refused at once, and one that can end in time is served.
func TestStopTakesNoRequestThatItWouldCut(t *testing.T) {
	c := newCertificates(t)
	g := startGatewayWith(t, c, "gw-1", func(s *settings.Gateway) { s.GraceSeconds = 4 }, startControl(t, c, "control-1", testSections(t)))
	var reached atomic.Int64
	release := make(chan struct{})
	answer := sync.OnceFunc(func() { close(release) })
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reached.Add(1)
		if r.URL.Path == "/read/slow" {
			<-release
		}
		_, _ = io.WriteString(w, "whole answer")
	}))
	defer backend.Close()
	defer answer()
	g.announce(t, "announce", serverAnnouncement(backend.Listener.Addr().String()))
	g.stop()
	eventually(t, "/readyz fails", func() bool { return g.get(t, "/readyz") == http.StatusServiceUnavailable })
	for _, r := range []struct{ method, path string }{{"GET", "/read/slow"}, {"POST", "/free/slow"}} {
		started := time.Now()
		if got, body := g.call(t, r.method, r.path, ""); reasonOf(body) != ReasonDraining || got.Header.Get("Retry-After") == "" {
			t.Errorf("%s %s with a deadline of 5 s: %d %s, want a refusal with a time to come back", r.method, r.path, got.StatusCode, body)
		}
		if held := time.Since(started); held > time.Second {
			t.Errorf("%s %s was held for %v", r.method, r.path, held)
		}
	}
	if n := reached.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
	if got, body := g.call(t, "GET", "/read/fast", "", headerDeadline, "500"); got.StatusCode != http.StatusOK || body != "whole answer" {
		t.Errorf("a request with a deadline of 500 ms: %d %q", got.StatusCode, body)
	}
}
