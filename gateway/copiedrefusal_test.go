package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherwall.example/balance"
)

const (
	testIDHeader        = "Test-Id"
	testSignatureHeader = "Test-Signature"
)

// echoDialect is a dialect whose callers give each request an identifier that servers echo.
var echoDialect = &Dialect{
	RequestID: testIDHeader, PassRequestID: true, Deadline: headerDeadline, Signature: testSignatureHeader,
	NotRun: func(r *http.Response) bool {
		return r.Header.Get(headerNotRun) != "" || r.StatusCode == http.StatusMisdirectedRequest
	},
	ParseReport: parseNativeReport,
}

func refusalText(status, id string, body string) string {
	echo := ""
	if id != "" {
		echo = testIDHeader + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %s\r\n%s%s: 1\r\n%s: 0/2\r\nContent-Length: %d\r\n\r\n%s", status, echo, headerNotRun, headerLoad, len(body), body)
}

// copyingServer refuses the first request or probe of each connection and runs the others. For each request that it runs
// it first writes a copy of a refusal once more.
type copyingServer struct {
	copy func(first, id string) string // the bytes to write; first is the identifier of the refused request
	wait time.Duration                 // before the copy

	mu    sync.Mutex
	first map[net.Conn]string
	runs  map[string]int
}

func (s *copyingServer) serve(c net.Conn, r *http.Request) {
	id := r.Header.Get(testIDHeader)
	s.mu.Lock()
	first, known := s.first[c]
	if !known {
		s.first[c] = id
	} else {
		s.runs[r.URL.Path+id]++
	}
	s.mu.Unlock()
	if !known {
		write(c, refusalText("503 Full", id, ""))
		return
	}
	time.Sleep(s.wait)
	write(c, s.copy(first, id))
	time.Sleep(30 * time.Millisecond)
	write(c, "HTTP/1.1 200 OK\r\n"+testIDHeader+": "+id+"\r\n"+testSignatureHeader+": s\r\nContent-Length: 2\r\n\r\nok")
}

func (s *copyingServer) count(request string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[request]
}

func newCopyingServer(t testing.TB, wait time.Duration, copy func(first, id string) string) (*copyingServer, string) {
	s := &copyingServer{copy: copy, wait: wait, first: map[net.Conn]string{}, runs: map[string]int{}}
	address, _ := rawServer(t, s.serve)
	return s, address
}

// copies are the copies of a refusal that a server writes before it answers a request.
var copies = map[string]func(first, id string) string{
	"echo of the earlier request": func(first, _ string) string { return refusalText("503 Full", first, "") },
	"no echo":                     func(string, string) string { return refusalText("503 Full", "", "") },
	"no echo, with a body":        func(string, string) string { return refusalText("503 Full", "", "full") },
	"no echo, 429":                func(string, string) string { return refusalText("429 Slow", "", "") },
	"no echo, 421":                func(string, string) string { return "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n" },
	"no echo, only the status":    func(string, string) string { return "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n" },
	"no echo, 408":                func(string, string) string { return "HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n" },
	"no echo, signed 503": func(string, string) string {
		return "HTTP/1.1 503 Full\r\n" + testSignatureHeader + ": s\r\nContent-Length: 0\r\n\r\n"
	},
	"after an interim answer": func(_, id string) string {
		return "HTTP/1.1 103 Early Hints\r\n" + testIDHeader + ": " + id + "\r\n\r\n" + refusalText("503 Full", "", "")
	},
	"two copies": func(string, string) string {
		return refusalText("503 Full", "", "") + refusalText("503 Full", "", "")
	},
}

// copyFixture is a request path to a copying server and a spare server.
type copyFixture struct {
	*pathFixture
	server, spare *copyingServer
}

func newCopyFixture(t testing.TB, wait time.Duration, copy func(first, id string) string) *copyFixture {
	server, address := newCopyingServer(t, wait, copy)
	spare, spareAddress := newCopyingServer(t, 0, func(string, string) string { return "" })
	f := &copyFixture{pathFixture: newPathFixture(t, address, spareAddress), server: server, spare: spare}
	f.dialect = echoDialect
	f.handleFirst(t)
	return f
}

// handleFirst makes both servers refuse the first request of a connection.
func (f *copyFixture) handleFirst(t testing.TB) {
	t.Helper()
	f.expect(t, f.request(t, "POST", "/free", "first", testIDHeader, "first"), 503)
}

// expectTruth sends a request and checks that it runs once at most if it is not idempotent, and that the caller is not
// told that it did not run after it has run.
func (f *copyFixture) expectTruth(t testing.TB, method, path, id string) {
	t.Helper()
	status, body, _ := f.do(t, f.request(t, method, path, "x", testIDHeader, id, headerDeadline, "2000"))
	time.Sleep(50 * time.Millisecond) // lets a second run begin
	runs := f.server.count(path+id) + f.spare.count(path+id)
	promise := status == 503 || status == 429 || status == 421 || status == 408
	if runs > 0 && promise {
		t.Errorf("%s ran %d times and the caller was told that it did not: %d %.120q", method, runs, status, body)
	}
	if method == "POST" && runs > 1 {
		t.Errorf("POST ran %d times", runs)
	}
	if method == "GET" && (status != 200 || body != "ok") {
		t.Errorf("GET: %d %.120q; want the answer of the spare server", status, body)
	}
}

// Guards against believing a copy of an earlier refusal that arrives right after a request or while it runs: the caller
// would be told that the request did not run, or it would run at a second server.
func TestCopiedRefusalIsNotBelieved(t *testing.T) {
	for name, copy := range copies {
		for _, wait := range []time.Duration{0, 20 * time.Millisecond} {
			t.Run(name+" "+wait.String(), func(t *testing.T) {
				f := newCopyFixture(t, wait, copy)
				f.expectTruth(t, "POST", "/free", "second")
				f = newCopyFixture(t, wait, copy)
				f.expectTruth(t, "GET", "/read", "third")
			})
		}
	}
}

// Guards against believing the copy of a refusal of an earlier try with the same identifier on the same connection.
func TestCopyWithTheSameIdentifierIsNotBelieved(t *testing.T) {
	for _, wait := range []time.Duration{0, 20 * time.Millisecond} {
		f := newCopyFixture(t, wait, func(_, id string) string { return refusalText("503 Full", id, "") })
		f.expectTruth(t, "POST", "/free", "first")
	}
}

// Guards against believing the copy of a refusal of a load probe, which has no identifier, on a connection that probes and
// requests share, and against a reading from a response to another request.
func TestCopiedRefusalOfAProbeIsNotBelieved(t *testing.T) {
	for _, wait := range []time.Duration{0, 20 * time.Millisecond} {
		server, address := newCopyingServer(t, wait, func(string, string) string { return refusalText("503 Full", "", "") })
		f := &copyFixture{pathFixture: newPathFixture(t, address), server: server, spare: &copyingServer{}}
		f.dialect = echoDialect
		p := newTestLoadProber(t)
		p.client.Transport, p.statements.dialect = f.transport, echoDialect
		target := newOneServerEngine(p, address).Current().ProbeTargets(&balance.Query{Now: p.clock.now(), Service: "labels", AnyRegion: true}, false)[0]
		p.probe("labels", "/healthz", target)
		f.expectTruth(t, "POST", "/free", "second")
	}
	stale, _ := rawServer(t, func(c net.Conn, _ *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\n"+testIDHeader+": other\r\n"+headerLoad+": 0/2\r\nContent-Length: 0\r\n\r\n")
	})
	p := newTestLoadProber(t)
	p.statements.dialect = echoDialect
	target := newOneServerEngine(p, stale).Current().ProbeTargets(&balance.Query{Now: p.clock.now(), Service: "labels", AnyRegion: true}, false)[0]
	if p.probe("labels", "/healthz", target) {
		t.Error("the response to another request counts as a reading")
	}
}

// Guards against reuse of a connection after a response that does not belong to its request: the true response would
// then arrive for another one.
func TestConnectionIsClosedAfterAForeignResponse(t *testing.T) {
	closed := make(chan struct{})
	address, _ := rawServer(t, func(c net.Conn, r *http.Request) {
		write(c, refusalText("503 Full", "other", ""))
		one := make([]byte, 1)
		if _, err := c.Read(one); err == nil {
			t.Error("another request was sent on the connection")
		}
		close(closed)
	})
	f := newPathFixture(t, address)
	f.dialect = echoDialect
	f.expect(t, f.request(t, "POST", "/free", "x", testIDHeader, "own"), 502, `"ran":"unknown"`)
	select {
	case <-closed:
	case <-time.After(2 * time.Second):
		t.Error("the connection stays open")
	}
}

// Guards against a copy that arrives before the next request is chosen or between its choice and its first byte, with many
// requests that wait for the same connection.
func TestCopyBeforeTheWriteIsNotBelieved(t *testing.T) {
	for name, copy := range copies {
		if strings.Contains(name, "interim") {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			ran := map[string]bool{}
			address, _ := rawServer(t, func(c net.Conn, r *http.Request) {
				id := r.Header.Get(testIDHeader)
				mu.Lock()
				ran[id] = true
				mu.Unlock()
				write(c, "HTTP/1.1 200 OK\r\n"+testIDHeader+": "+id+"\r\n"+testSignatureHeader+": s\r\nContent-Length: 2\r\n\r\nok"+copy("earlier", id))
			})
			f := newPathFixture(t, address)
			f.dialect = echoDialect
			f.transport.(*http.Transport).MaxConnsPerHost = 1
			var callers sync.WaitGroup
			for caller := range 4 {
				callers.Go(func() {
					for i := range 40 {
						id := fmt.Sprintf("%d-%d", caller, i)
						status, body, _ := f.do(t, f.request(t, "POST", "/free", id, testIDHeader, id))
						mu.Lock()
						if ran[id] && (status == 503 || status == 429 || status == 421 || status == 408) {
							t.Errorf("%s ran and the caller got %d %.120q", id, status, body)
						}
						mu.Unlock()
					}
				})
			}
			callers.Wait()
		})
	}
}

// Guards against ignoring a true refusal: on a new connection, and on a kept one with the identifier of the request.
func TestTrueRefusalIsBelieved(t *testing.T) {
	for _, echo := range []bool{true, false} {
		address, _ := rawServer(t, func(c net.Conn, r *http.Request) {
			id := r.Header.Get(testIDHeader)
			if !echo {
				id = ""
			}
			write(c, refusalText("503 Full", id, "full"))
		})
		f := newPathFixture(t, address)
		f.dialect = echoDialect
		f.expect(t, f.request(t, "POST", "/free", "x", testIDHeader, "one"), 503, `"ran":"no"`)
		if echo {
			f.expect(t, f.request(t, "POST", "/free", "x", testIDHeader, "two"), 503, `"ran":"no"`)
		}
	}
}
