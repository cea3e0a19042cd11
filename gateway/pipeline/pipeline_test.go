package pipeline

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// testTimeout limits each wait of a test.
	testTimeout = 20 * time.Second
	// idleTimeout is how long the server keeps an idle connection.
	idleTimeout = time.Second
)

// server is an http.Server behind a Listener.
type server struct {
	*http.Server
	listener *Listener

	mu     sync.Mutex
	events map[string]int
}

func startServer(t *testing.T, limits Limits, h http.HandlerFunc) *server {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{Server: &http.Server{Handler: h, ConnContext: ConnContext, ReadHeaderTimeout: time.Second, IdleTimeout: idleTimeout}, events: map[string]int{}}
	s.listener = NewListener(inner, limits, s.count)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Serve(s.Server, s.listener)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-ended
	})
	return s
}

func (s *server) count(event string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events[event]++
}

func (s *server) counted(event string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events[event]
}

// client is a client that sends requests without waiting for responses.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (s *server) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{t: t, Conn: c, r: bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *client) receive() (*http.Response, string, error) {
	r, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func (c *client) expect(body string) *http.Response {
	c.t.Helper()
	r, got, err := c.receive()
	if err != nil || got != body {
		c.t.Fatalf("got %q, %v; want %q", got, err, body)
	}
	return r
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n\r\n" }

func post(path, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nContent-Length: %d\r\n\r\n%s", path, len(body), body)
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

// barrier lets handlers wait for each other.
type barrier struct {
	open    atomic.Int64
	release chan struct{}
}

func (b *barrier) wait(r *http.Request) error {
	b.open.Add(1)
	defer b.open.Add(-1)
	select {
	case <-b.release:
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}

// Guards against requests of one connection that are served one after the other, and against responses out of order: all
// four handlers must run at once, and the last one answers first.
func TestRequestsSentAheadRunSideBySide(t *testing.T) {
	var running atomic.Int64
	all, last := make(chan struct{}), make(chan struct{})
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		if running.Add(1) == 4 {
			close(all)
		}
		select {
		case <-all:
		case <-r.Context().Done():
			return
		}
		if r.URL.Path == "/4" {
			defer close(last)
		} else {
			<-last
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	for _, pieces := range [][]string{
		{get("/1") + get("/2") + get("/3") + get("/4")},
		{get("/1"), get("/2"), get("/3") + get("/4")[:20], get("/4")[20:]},
	} {
		running.Store(0)
		all, last = make(chan struct{}), make(chan struct{})
		c := s.dial(t)
		for _, piece := range pieces {
			c.send(piece)
			time.Sleep(5 * time.Millisecond)
		}
		for _, path := range []string{"/1", "/2", "/3", "/4"} {
			c.expect(path)
		}
		c.send(get("/5"))
		c.expect("/5") // the connection serves further requests
	}
}

// Guards against requests that are not read while responses to earlier ones are written.
func TestReadsAheadWhileResponsesAreWritten(t *testing.T) {
	b := &barrier{release: make(chan struct{})}
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/1" && b.wait(r) != nil {
			return
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := s.dial(t)
	c.send(get("/1") + get("/2"))
	c.expect("/1")
	c.send(get("/3"))
	eventually(t, "the second and the third request run", func() bool { return b.open.Load() == 2 })
	close(b.release)
	c.expect("/2")
	c.expect("/3")
}

// Guards against a request that must not run ahead of earlier ones, and against the start of later work before its turn.
func TestAwaitTurn(t *testing.T) {
	var order []string
	var mu sync.Mutex
	first := make(chan struct{})
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-first
		}
		if r.URL.Path == "/3" {
			if err := AwaitTurn(r.Context()); err != nil {
				t.Error(err)
			}
		}
		mu.Lock()
		order = append(order, r.URL.Path)
		mu.Unlock()
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := s.dial(t)
	c.send(get("/1") + get("/2") + get("/3"))
	eventually(t, "the second request has run", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(order) == 1
	})
	time.Sleep(20 * time.Millisecond)
	close(first)
	for _, path := range []string{"/1", "/2", "/3"} {
		c.expect(path)
	}
	if got := strings.Join(order, ""); got != "/2/1/3" {
		t.Errorf("ran in the order %s, want /2/1/3", got)
	}
}

// Guards against a request in a body that is taken for a request of its own, and against bodies that lose bytes.
func TestBodiesAreNotRequests(t *testing.T) {
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	inner := get("/smuggled")
	long := strings.Repeat(inner, 400)
	c := s.dial(t)
	c.send(post("/1", inner) + get("/2") + post("/3", long) + get("/4"))
	chunked := "POST /5 HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n" +
		strconv.FormatInt(int64(len(inner)), 16) + "\r\n" + inner + "\r\n0\r\n\r\n"
	c.send(chunked + get("/6"))
	for _, want := range []string{"/1" + inner, "/2", "/3" + long, "/4", "/5" + inner, "/6"} {
		c.expect(want)
	}
}

// Guards against request smuggling: a request that two parsers may delimit differently is served by net/http as if there
// were no reading ahead, and nothing behind it becomes an exchange.
func TestAmbiguousRequestsAreNotReadAhead(t *testing.T) {
	for name, text := range map[string]string{
		"two lengths":         "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 5\r\n\r\nX" + get("/smuggled"),
		"length and chunks":   "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunks twice":        "POST /2 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n",
		"bare LF":             "GET /2 HTTP/1.1\nHost: a\n\n" + "GET /3 HTTP/1.1\nHost: a\n\n",
		"bare LF in the head": "GET /2 HTTP/1.1\r\nHost: a\nX: y\r\n\r\n",
		"bare CR":             "GET /2 HTTP/1.1\r\nHost: a\rX: y\r\n\r\n",
		"folded line":         "GET /2 HTTP/1.1\r\nHost: a\r\nX: y\r\n z\r\n\r\n",
		"space before colon":  "GET /2 HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nhello",
		"signed length":       "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\nX",
		"empty line first":    "\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"HTTP/1.0":            "GET /2 HTTP/1.0\r\nHost: a\r\n\r\n",
		"two spaces":          "GET  /2 HTTP/1.1\r\nHost: a\r\n\r\n",
		"upgrade":             "GET /2 HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
		"expectation":         "POST /2 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nX",
		"NUL":                 "GET /2 HTTP/1.1\r\nHost: a\r\nX: \x00\r\n\r\n",
		"long head":           "GET /2 HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			release := make(chan struct{})
			s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
				<-release
				if r.URL.Path == "/smuggled" {
					t.Error("a body was served as a request")
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(w, r.URL.Path)
			})
			c := s.dial(t)
			c.send(get("/1") + text)
			time.Sleep(20 * time.Millisecond)
			if n := s.counted("ahead"); n != 0 {
				t.Errorf("%d requests were read ahead", n)
			}
			close(release)
			c.expect("/1")
			for {
				if _, _, err := c.receive(); err != nil {
					break
				}
				_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			}
		})
	}
}

// Guards against a thousand requests at once that all run or are lost.
func TestManyRequestsAtOnce(t *testing.T) {
	const n = 1000
	var running, most atomic.Int64
	limits := Limits{PerConnection: 5, Total: 8, ResponseBytes: 1 << 10}
	s := startServer(t, limits, func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	var clients sync.WaitGroup
	for range 3 {
		c := s.dial(t)
		go func() {
			var text strings.Builder
			for i := range n {
				text.WriteString(get("/" + strconv.Itoa(i)))
			}
			_, _ = io.WriteString(c, text.String())
		}()
		clients.Go(func() {
			for i := range n {
				if _, body, err := c.receive(); err != nil || body != "/"+strconv.Itoa(i) {
					t.Errorf("response %d: %q, %v", i, body, err)
					return
				}
			}
		})
	}
	clients.Wait()
	if got := most.Load(); got > int64(limits.Total+3) {
		t.Errorf("%d requests ran at once, want at most %d read ahead and one of each connection", got, limits.Total)
	}
}

// Guards against a half request that holds a connection for ever, alone and behind a request that was answered.
func TestHalfRequestAndSilence(t *testing.T) {
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
	alone := s.dial(t)
	alone.send(get("/1")[:20])
	behind := s.dial(t)
	behind.send(get("/1") + get("/2")[:20])
	behind.expect("/1")
	for _, c := range []*client{alone, behind} {
		if r, _, err := c.receive(); err == nil && r.StatusCode != http.StatusRequestTimeout && r.StatusCode != http.StatusBadRequest {
			t.Errorf("got status %d; want 400, 408 or the end of the connection", r.StatusCode)
		}
		if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) && !isReset(err) {
			t.Errorf("got %v; want the end of the connection", err)
		}
	}
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

// Guards against work for a client that has left: the contexts of all its requests must end.
func TestClientLeaves(t *testing.T) {
	b := &barrier{release: make(chan struct{})}
	var cancelled atomic.Int64
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		if b.wait(r) != nil {
			cancelled.Add(1)
		}
	})
	c := s.dial(t)
	c.send(get("/1") + get("/2") + get("/3"))
	eventually(t, "three requests run", func() bool { return b.open.Load() == 3 })
	_ = c.Close()
	eventually(t, "all are cancelled", func() bool { return cancelled.Load() == 3 })
	s.listener.Wait(t.Context())
}

// Guards against a client that never reads and so holds memory and work: responses are held up to the limit, and its
// connection ends at the write deadline.
func TestClientNeverReads(t *testing.T) {
	const callers, ahead = 100, 100
	large := strings.Repeat("x", 1<<20)
	var running atomic.Int64
	s := startServer(t, Limits{PerConnection: 16, Total: 200, ResponseBytes: 16 << 10}, func(w http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = io.WriteString(w, large)
	})
	before := heapBytes()
	var clients []*client
	for range callers {
		c := s.dial(t)
		clients = append(clients, c)
		_ = c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		_, _ = io.WriteString(c, strings.Repeat(get("/"), ahead))
	}
	eventually(t, "the limit is reached", func() bool { return s.counted("limit_total") > 0 })
	if grown := heapBytes() - before; grown > 32<<20 {
		t.Errorf("%d bytes are in use for %d clients", grown, callers)
	}
	eventually(t, "all handlers have ended", func() bool { return running.Load() == 0 })
	for _, c := range clients {
		_ = c.Close()
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a large response that is held in memory as a whole or is cut, when it waits for its turn.
func TestLargeResponseWaitsForItsTurn(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 1<<16)
	first := make(chan struct{})
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-first
			return
		}
		_, _ = io.WriteString(w, large)
	})
	c := s.dial(t)
	c.send(get("/1") + get("/2") + get("/3"))
	eventually(t, "two requests are ahead", func() bool { return s.counted("ahead") == 2 })
	close(first)
	c.expect("")
	c.expect(large)
	c.expect(large)
}

// Guards against a response that is cut and taken for a whole one, and against requests that run behind a response that
// closed the connection.
func TestAbortedResponseEndsTheConnection(t *testing.T) {
	cancelled := make(chan struct{})
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/2":
			w.Header().Set("Content-Length", "100")
			_, _ = io.WriteString(w, "half")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		case "/3":
			<-r.Context().Done()
			close(cancelled)
		}
	})
	c := s.dial(t)
	c.send(get("/1") + get("/2") + get("/3"))
	c.expect("")
	if _, body, err := c.receive(); !errors.Is(err, io.ErrUnexpectedEOF) || body != "half" {
		t.Errorf("got %q, %v; want a response that ends early", body, err)
	}
	select {
	case <-cancelled:
	case <-time.After(testTimeout):
		t.Error("the request behind the aborted response still runs")
	}
}

// Guards against requests that were read and are cut by a planned stop: after Stop, what was read ahead is answered, only
// the last response closes the connection, and what comes later is not read.
func TestStopAnswersWhatWasRead(t *testing.T) {
	b := &barrier{release: make(chan struct{})}
	var stopping atomic.Bool
	var served atomic.Int64
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		served.Add(1)
		if b.wait(r) != nil {
			return
		}
		if stopping.Load() && MayClose(r.Context()) {
			w.Header().Set("Connection", "close")
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := s.dial(t)
	c.send(get("/1") + get("/2") + get("/3"))
	eventually(t, "three requests run", func() bool { return b.open.Load() == 3 })
	stopping.Store(true)
	s.listener.Stop()
	c.send(get("/4"))
	time.Sleep(20 * time.Millisecond)
	waited := make(chan struct{})
	go func() {
		defer close(waited)
		s.listener.Wait(t.Context())
		_ = s.Shutdown(t.Context())
	}()
	close(b.release)
	for _, path := range []string{"/1", "/2", "/3"} {
		if r := c.expect(path); r.Close != (path == "/3") {
			t.Errorf("the response to %s closes the connection: %v", path, r.Close)
		}
	}
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v; want the end of the connection", err)
	}
	<-waited
	if got := served.Load(); got != 3 {
		t.Errorf("%d requests were served, want 3", got)
	}
}

// Guards against a wait for requests that outlasts its context.
func TestWaitEndsWithItsContext(t *testing.T) {
	b := &barrier{release: make(chan struct{})}
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) { _ = b.wait(r) })
	s.dial(t).send(get("/1") + get("/2"))
	eventually(t, "two requests run", func() bool { return b.open.Load() == 2 })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	s.listener.Wait(ctx)
	close(b.release)
}

// Guards against idle connections that close too early because responses to requests read ahead took long.
func TestIdleTimeStartsAfterTheLastResponse(t *testing.T) {
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/2" {
			time.Sleep(idleTimeout * 4 / 3)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	c := s.dial(t)
	c.send(get("/1") + get("/2"))
	c.expect("/1")
	c.expect("/2")
	time.Sleep(idleTimeout / 2)
	c.send(get("/3"))
	c.expect("/3")
	if _, err := c.r.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("got %v; want the end of an idle connection", err)
	}
}

// Guards against other parsers of HTTP on a kept connection: a plain client of net/http works as before.
func TestPlainClient(t *testing.T) {
	s := startServer(t, DefaultLimits, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		_, _ = w.Write(body)
	})
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for i := range 50 {
		body := strings.Repeat("x", i*97)
		r, err := (&http.Client{Transport: transport}).Post("http://"+s.listener.Addr().String(), "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil || string(got) != body {
			t.Fatalf("request %d: got %d bytes, %v", i, len(got), err)
		}
	}
	if n := s.counted("ahead"); n != 0 {
		t.Errorf("%d requests were read ahead, want none", n)
	}
}
