package gateway

import (
	"bytes"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherwall.example/telemetry"
)

const (
	// endlessDeadlineMs is the deadline of requests to a server that sends bytes without end.
	endlessDeadlineMs = "400"
	// endlessTimeLimit is the longest time from such a request to its end and the close of the server's connection.
	endlessTimeLimit = 3 * time.Second
	// maxUnreadBytes bounds what the server of a rejected head or of a refusal sends: what the gateway reads, and the
	// buffers of the kernel.
	maxUnreadBytes = 4 << 20
)

// endlessServer answers each request with start and then repeats part until the gateway closes the connection.
type endlessServer struct {
	address  string
	requests *atomic.Int64
	sent     atomic.Int64
	ended    chan struct{}
}

func newEndlessServer(t testing.TB, start, part string, pause time.Duration) *endlessServer {
	s := &endlessServer{ended: make(chan struct{}, 16)}
	s.address, s.requests = rawServer(t, func(c net.Conn, _ *http.Request) {
		_ = c.(*net.TCPConn).SetWriteBuffer(64 << 10)
		defer func() { _ = c.Close(); s.ended <- struct{}{} }()
		for text := start; ; text = part {
			n, err := c.Write([]byte(text))
			s.sent.Add(int64(n))
			if err != nil {
				return
			}
			time.Sleep(pause)
		}
	})
	return s
}

// awaitClose fails the test if the gateway does not close the connection of the server's last request.
func (s *endlessServer) awaitClose(t *testing.T) {
	t.Helper()
	select {
	case <-s.ended:
	case <-time.After(endlessTimeLimit):
		t.Error("the connection was not closed")
	}
}

// lockedBuffer collects log lines of several goroutines.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) count(part string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.text.String(), part)
}

const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// endlessHeads are bytes without end that never complete the header of a response.
var endlessHeads = map[string][2]string{
	"header line":     {"HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("a", 4096)},
	"header lines":    {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-More: b\r\n", 400)},
	"interim answers": {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 100)},
	"no HTTP":         {"", strings.Repeat("z", 4096)},
}

// endlessBodies are bytes without end after a complete header.
var endlessBodies = map[string][2]string{
	"no length":        {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("a", 4096)},
	"huge length":      {"HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\n", strings.Repeat("a", 4096)},
	"chunks":           {chunkedHead, "4\r\nabcd\r\n"},
	"chunk extensions": {chunkedHead + "4;", strings.Repeat("x=y;", 1000)},
	"many extensions":  {chunkedHead, "1;" + strings.Repeat("x", 4000) + "\r\na\r\n"},
	"trailer line":     {chunkedHead + "0\r\nX-Long: ", strings.Repeat("a", 4096)},
	"trailer lines":    {chunkedHead + "0\r\n", strings.Repeat("X-More: b\r\n", 400)},
}

// endlessRefusals are bytes without end after the header of a response that says that the request did not run.
var endlessRefusals = map[string][2]string{
	"no length":    {"HTTP/1.1 503 Full\r\nHeatherwall-Not-Run: true\r\n\r\n", strings.Repeat("a", 4096)},
	"chunks":       {"HTTP/1.1 503 Full\r\nHeatherwall-Not-Run: true\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
	"extensions":   {"HTTP/1.1 503 Full\r\nHeatherwall-Not-Run: true\r\nTransfer-Encoding: chunked\r\n\r\n4;", strings.Repeat("x=y;", 1000)},
	"long length":  {"HTTP/1.1 503 Full\r\nHeatherwall-Not-Run: true\r\nContent-Length: 1099511627776\r\n\r\n", "a"},
	"surplus":      {"HTTP/1.1 503 Full\r\nHeatherwall-Not-Run: true\r\nContent-Length: 2\r\n\r\nno", strings.Repeat("a", 4096)},
	"trailers":     {"HTTP/1.1 503 Full\r\nHeatherwall-Not-Run: true\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("X-More: b\r\n", 400)},
	"empty answer": {"HTTP/1.1 503 Full\r\nHeatherwall-Not-Run: true\r\nContent-Length: 0\r\n\r\n", strings.Repeat("a", 4096)},
}

// endlessFixture is a request path whose first server sends bytes without end and whose second one answers.
type endlessFixture struct {
	*pathFixture
	endless *endlessServer
	spare   *atomic.Int64
	lines   lockedBuffer
}

func newEndlessFixture(t testing.TB, text [2]string, pause time.Duration) *endlessFixture {
	f := &endlessFixture{endless: newEndlessServer(t, text[0], text[1], pause)}
	address, count := rawServer(t, func(c net.Conn, _ *http.Request) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") })
	f.spare = count
	f.pathFixture = newPathFixture(t, f.endless.address, address)
	f.log = telemetry.NewLogger(&f.lines, telemetry.Info)
	return f
}

// send sends a request with a deadline and checks that it ends in time.
func (f *endlessFixture) send(t *testing.T, method, path string, header ...string) (int, string) {
	t.Helper()
	start := time.Now()
	status, body, _ := f.do(t, f.request(t, method, path, "x", append(header, headerDeadline, endlessDeadlineMs)...))
	if took := time.Since(start); took > endlessTimeLimit {
		t.Errorf("%s ended after %s", method, took)
	}
	return status, body
}

// expectMaybeRun sends the same request, which is not idempotent, more often than a request may crash servers. It checks
// that each arrives once and is not refused as one that crashes servers, and that the caller is neither told that it did
// not run nor gets a complete answer.
func (f *endlessFixture) expectMaybeRun(t *testing.T) {
	t.Helper()
	for i := range int64(poisonThreshold + 1) {
		status, body := f.send(t, "POST", "/free")
		f.endless.awaitClose(t)
		whole := status == 200 && !strings.HasPrefix(body, "broken: ")
		if whole || status == 503 || status == 429 || status == 408 || status == 421 || strings.Contains(body, `"ran":"no"`) {
			t.Errorf("the caller got %d %.160q", status, body)
		}
		if f.endless.requests.Load() != i+1 || f.spare.Load() != 0 {
			t.Errorf("%d requests arrived %d times, and %d times at the spare server", i+1, f.endless.requests.Load(), f.spare.Load())
		}
	}
	if n := f.lines.count(`"attempt_ended"`); n != poisonThreshold+1 {
		t.Errorf("%d log lines", n)
	}
}

// Guards against a gateway that reads a response header without end, sends a request twice after it, or takes it for a
// crash of the server.
func TestEndlessHeads(t *testing.T) {
	for name, text := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			f := newEndlessFixture(t, text, 0)
			if status, body := f.send(t, "GET", "/read"); status != 200 || body != "ok" {
				t.Errorf("GET: %d %.80q; want the answer of the spare server", status, body)
			}
			f.endless.awaitClose(t)
			f = newEndlessFixture(t, text, 0)
			f.expectMaybeRun(t)
			if n := f.endless.sent.Load(); n > maxUnreadBytes {
				t.Errorf("the server could send %d bytes", n)
			}
		})
	}
}

// Guards against a dribbled header that holds a request beyond its deadline, or is taken for an answer.
func TestDribbledHeads(t *testing.T) {
	for name, text := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newEndlessFixture(t, [2]string{text[0], text[1][:1]}, 5*time.Millisecond)
			if name == "interim answers" {
				f = newEndlessFixture(t, [2]string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, 5*time.Millisecond)
			}
			f.expectMaybeRun(t)
		})
	}
}

// Guards against a body without end that is buffered, forwarded beyond the deadline or taken for a complete answer.
func TestEndlessBodies(t *testing.T) {
	for name, text := range endlessBodies {
		for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
			t.Run(name+" "+pause.String(), func(t *testing.T) {
				t.Parallel()
				f := newEndlessFixture(t, text, pause)
				f.expectMaybeRun(t)
			})
		}
	}
}

// Guards against reading the body of a refusal, which may have no end, before the request goes to another server, and
// against reusing the connection.
func TestEndlessRefusals(t *testing.T) {
	for name, text := range endlessRefusals {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(name+" "+pause.String(), func(t *testing.T) {
				f := newEndlessFixture(t, text, pause)
				start := time.Now()
				status, body := f.send(t, "POST", "/issue", headerIdempotencyKey, newKey(t))
				if status != 200 || body != "ok" || f.spare.Load() != 1 || time.Since(start) > 300*time.Millisecond {
					t.Errorf("%d %.80q after %s; want the answer of the spare server at once", status, body, time.Since(start))
				}
				f.endless.awaitClose(t)
				if n := f.endless.sent.Load(); n > maxUnreadBytes || f.endless.requests.Load() != 1 {
					t.Errorf("the server sent %d bytes for %d requests", n, f.endless.requests.Load())
				}
			})
		}
	}
}

// Guards against surplus bytes without end after a complete answer: the answer holds, and the connection is closed.
func TestEndlessSurplus(t *testing.T) {
	for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
		f := newEndlessFixture(t, [2]string{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", strings.Repeat("a", 4096)}, pause)
		if status, body := f.send(t, "POST", "/issue", headerIdempotencyKey, newKey(t)); status != 200 || body != "ok" {
			t.Errorf("%d %.80q", status, body)
		}
		f.endless.awaitClose(t)
		if n := f.endless.sent.Load(); n > maxUnreadBytes {
			t.Errorf("the server could send %d bytes", n)
		}
	}
}
