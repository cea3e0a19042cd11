package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against idempotent requests sent ahead on one connection that wait for each other, and against one that is not
// idempotent and reaches a server before the earlier requests of its connection have been answered.
func TestRequestsSentAhead(t *testing.T) {
	c := newCertificates(t)
	g := startGateway(t, c, "gw-1", startControl(t, c, "control-1", testSections(t)))
	var mu sync.Mutex
	var arrived []string
	count := func(path string) int {
		mu.Lock()
		defer mu.Unlock()
		if path != "" {
			arrived = append(arrived, path)
		}
		return len(arrived)
	}
	release := make(chan struct{})
	answer := sync.OnceFunc(func() { close(release) })
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		count(r.URL.Path)
		if r.Method == http.MethodGet {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}))
	defer backend.Close()
	defer answer()
	g.announce(t, "announce", serverAnnouncement(backend.Listener.Addr().String()))

	conn, err := net.Dial("tcp", g.Callers)
	must(t, err)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	var text strings.Builder
	for _, request := range []string{"GET /read/1", "GET /read/2", "POST /issue/3", "GET /read/4"} {
		fmt.Fprintf(&text, "%s HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n", request, testToken)
		if strings.HasPrefix(request, "POST") {
			fmt.Fprintf(&text, "Idempotency-Key: %s\r\n", newKey(t))
		}
		text.WriteString("\r\n")
	}
	_, err = io.WriteString(conn, text.String())
	must(t, err)
	eventually(t, "the idempotent requests run side by side", func() bool { return count("") == 3 })
	time.Sleep(50 * time.Millisecond)
	if got := count(""); got != 3 {
		t.Errorf("%d requests arrived before the first response, want 3: %v", got, arrived)
	}
	answer()
	r := bufio.NewReader(conn)
	for _, want := range []string{"/read/1", "/read/2", "/issue/3", "/read/4"} {
		response, err := http.ReadResponse(r, nil)
		must(t, err)
		body, err := io.ReadAll(response.Body)
		must(t, err)
		if response.StatusCode != http.StatusOK || string(body) != want {
			t.Errorf("response %d %q, want %q", response.StatusCode, body, want)
		}
	}
}
