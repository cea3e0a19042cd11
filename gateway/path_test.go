package gateway

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/gateway/body"
	"heatherwall.example/telemetry"
)

// fixedOrderSelector selects the first address that was not tried.
type fixedOrderSelector struct {
	addresses []string
	hedge     time.Duration
	onPick    func()

	mu      sync.Mutex
	results []result
	open    int
}

func (s *fixedOrderSelector) Pick(_ context.Context, q *query) (selection, *Refusal) {
	if s.onPick != nil {
		s.onPick()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.addresses {
		if !slices.Contains(q.tried, a) {
			s.open++
			return &fixedOrderSelection{selector: s, address: a}, nil
		}
	}
	return nil, refuse(ReasonNoServer, "no more servers")
}

func (s *fixedOrderSelector) HedgeAfter(string) (time.Duration, bool) { return s.hedge, s.hedge > 0 }

type fixedOrderSelection struct {
	selector *fixedOrderSelector
	address  string
}

func (s *fixedOrderSelection) Server() backendServer {
	return backendServer{service: "labels", address: s.address, region: "north", domain: "north-a"}
}

func (s *fixedOrderSelection) Done(r result) {
	s.selector.mu.Lock()
	defer s.selector.mu.Unlock()
	s.selector.open--
	s.selector.results = append(s.selector.results, r)
}

// fixedConfiguration is a configuration with a fixed lease that is valid until expired is set.
type fixedConfiguration struct {
	lease   *lease
	expired atomic.Bool
}

func (f *fixedConfiguration) Current() *lease { return f.lease }

func (f *fixedConfiguration) Configured() <-chan struct{} {
	open := make(chan struct{})
	close(open)
	return open
}

func (f *fixedConfiguration) Valid() (*lease, bool) { return f.lease, !f.expired.Load() }

// claimGroupStub is a claimer that calls a controlStub directly, or fails if failure is set.
type claimGroupStub struct {
	controlStub
	failure error
	lost    bool
}

func (s *claimGroupStub) Claim(ctx context.Context, r *controlpb.ClaimRequest) (*controlpb.ClaimAnswer, bool, error) {
	if s.failure != nil {
		return nil, s.lost, s.failure
	}
	a, err := s.controlStub.Claim(ctx, r)
	return a, false, err
}

func (s *claimGroupStub) Complete(ctx context.Context, r *controlpb.CompleteRequest) error {
	_, err := s.controlStub.Complete(ctx, r)
	return err
}

// pathFixture is a request path that listens on url and forwards to fake backend servers.
type pathFixture struct {
	*requestPath
	url           string
	servers       *fixedOrderSelector
	claims        *claimGroupStub
	configuration *fixedConfiguration
}

func newPathFixture(t testing.TB, addresses ...string) *pathFixture {
	t.Helper()
	config, err := compileSections(testSections(t))
	must(t, err)
	f := &pathFixture{servers: &fixedOrderSelector{addresses: addresses}, configuration: &fixedConfiguration{lease: &lease{config: config}}}
	f.claims = &claimGroupStub{controlStub: controlStub{completions: map[string]*controlpb.CompleteRequest{}, granted: map[string]*controlpb.ClaimRequest{}}}
	transport := newTransport(defaultConnectionLimits)
	f.requestPath = &requestPath{
		bodies:     body.NewBudget(maxBufferedBodyBytes),
		logLimiter: telemetry.NewLineLimiter(maxRequestLogLines, telemetry.NewMetrics()),
		dialect:    nativeDialect, steps: documentSteps,
		region: "north", maxRequests: 100, clock: newClock(), configuration: f.configuration, selector: f.servers, claims: f.claims,
		claimHolders: newClaimHolderIDs("gw-1", 1), crashMarks: newCrashMarkTable("gw-1"), publishCrashMarks: func() {}, transport: transport,
		log: telemetry.NewLogger(io.Discard, telemetry.Info), counters: telemetry.NewMetrics(),
	}
	server := httptest.NewServer(f.requestPath)
	f.url = server.URL
	t.Cleanup(func() {
		server.Close()
		f.background.Wait()
		transport.CloseIdleConnections()
		f.servers.mu.Lock()
		defer f.servers.mu.Unlock()
		if f.servers.open != 0 {
			t.Errorf("%d attempts were never reported as done", f.servers.open)
		}
	})
	return f
}

func (f *pathFixture) request(t testing.TB, method, path, body string, header ...string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	must(t, err)
	r.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// do sends a request and returns status, body and header of the response. If the response fails or is incomplete, the
// error is returned in place of the body.
func (f *pathFixture) do(t testing.TB, r *http.Request) (int, string, http.Header) {
	t.Helper()
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return answer.StatusCode, "broken: " + err.Error(), answer.Header
	}
	return answer.StatusCode, string(text), answer.Header
}

func newKey(t testing.TB) string {
	t.Helper()
	key, err := uuid.NewV7()
	must(t, err)
	return key.String()
}

func (f *pathFixture) expect(t testing.TB, r *http.Request, status int, parts ...string) {
	t.Helper()
	got, body, _ := f.do(t, r)
	for _, part := range parts {
		if !strings.Contains(body, part) {
			t.Errorf("%s %s: body %q lacks %q", r.Method, r.URL.Path, body, part)
		}
	}
	if got != status {
		t.Errorf("%s %s: status %d, want %d: %s", r.Method, r.URL.Path, got, status, body)
	}
}

// rawServer starts a TCP server that reads requests, counts them and calls f for each. It returns its address and the
// counter.
func rawServer(t testing.TB, f func(c net.Conn, r *http.Request)) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { _ = l.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for reader := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					requests.Add(1)
					f(c, r)
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

// reset closes the connection with a TCP reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

func write(c net.Conn, text string) { _, _ = io.WriteString(c, text) }

// startBackend starts an HTTP server with the handler f and returns its address.
func startBackend(t testing.TB, f func(w http.ResponseWriter, r *http.Request)) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(f))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against refusals with a wrong status, reason or value of ran, and against refusals that are not counted.
func TestRefusalsBeforeAnyAttempt(t *testing.T) {
	f := newPathFixture(t)
	old, _ := uuid.NewRandom()
	tests := []struct {
		method, path, body string
		header             []string
		status             int
		reason             Reason
	}{
		{"GET", "/read", "", []string{"Authorization", "Basic x"}, 401, ReasonUnauthenticated},
		{"GET", "/read", "", []string{"Authorization", "Bearer wrong"}, 401, ReasonUnauthenticated},
		{"GET", "/other", "", nil, 404, ReasonNoRule},
		{"GET", "/read/%2e%2e/issue", "", nil, 404, ReasonNoRule},
		{"POST", "/issue", "", []string{"Authorization", "Bearer " + southToken}, 403, ReasonNotAllowed},
		{"GET", "/read", "", []string{"Authorization", "Bearer " + southToken}, 421, ReasonHomeRegion},
		{"PUT", "/read", strings.Repeat("x", 65<<10), nil, 413, ReasonRequestTooLarge},
		{"GET", "/read", "", []string{headerDepth, "8"}, 400, ReasonTooDeep},
		{"GET", "/read", "", []string{headerDepth, "-1"}, 400, ReasonBadRequest},
		{"GET", "/read", "", []string{headerDeadline, "0"}, 503, ReasonDeadlineTooShort},
		{"POST", "/issue", "", nil, 400, ReasonKeyRequired},
		{"POST", "/issue", "", []string{headerIdempotencyKey, old.String()}, 400, ReasonKeyInvalid},
		{"GET", "/read", "", nil, 503, ReasonNoServer},
	}
	for _, tt := range tests {
		f.expect(t, f.request(t, tt.method, tt.path, tt.body, tt.header...), tt.status, `"reason":"`+string(tt.reason)+`"`, `"ran":"no"`)
		if f.counters.Counter("refusals", "reason", string(tt.reason)).Count() == 0 {
			t.Errorf("%s: not counted", tt.reason)
		}
	}
	f.configuration.expired.Store(true)
	f.expect(t, f.request(t, "GET", "/read", ""), 503, string(ReasonConfigurationStale))
}

// Guards against reading the body of a request whose home regions do not include that of the gateway.
func TestHomeRegionIsCheckedBeforeReadingBody(t *testing.T) {
	f := newPathFixture(t)
	c, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	must(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	write(c, "PUT /read HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+southToken+"\r\nContent-Length: 10\r\n\r\n")
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	must(t, err)
	body, _ := io.ReadAll(answer.Body)
	if answer.StatusCode != 421 || !strings.Contains(string(body), `"regions":["south"]`) || !answer.Close {
		t.Fatalf("response: %v %s", answer, body)
	}
}

// Guards against net/http or the gateway retrying a request that is not idempotent after the server has read it and
// reset the connection, both on a new and on a keep-alive connection.
func TestNonIdempotentRequestArrivesOnce(t *testing.T) {
	var fail atomic.Bool
	address, count := rawServer(t, func(c net.Conn, r *http.Request) {
		if fail.Load() {
			reset(c)
			return
		}
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	spare, spareCount := rawServer(t, func(c net.Conn, r *http.Request) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
	for _, body := range []string{"", "label"} {
		f := newPathFixture(t, address, spare)
		fail.Store(false)
		f.expect(t, f.request(t, "POST", "/issue", body+"1", headerIdempotencyKey, newKey(t)), 200, "ok")
		fail.Store(true)
		before := count.Load()
		f.expect(t, f.request(t, "POST", "/issue", body, headerIdempotencyKey, newKey(t)), 502, `"reason":"backend_failed"`, `"ran":"unknown"`)
		if got := count.Load() - before; got != 1 || spareCount.Load() != 0 {
			t.Errorf("body %q: arrived %d times, and %d times at the spare server", body, got, spareCount.Load())
		}
		fail.Store(false)
		f.expect(t, f.request(t, "GET", "/read", ""), 200, "ok")
		fail.Store(true)
		before = count.Load()
		f.expect(t, f.request(t, "GET", "/read", "", headerRetriesLeft, "0"), 502)
		if got := count.Load() - before; got != 1 {
			t.Errorf("GET without retries left arrived %d times", got)
		}
	}
}

// Guards against idempotent requests that are not retried, or are retried by net/http outside the retry budget.
func TestIdempotentRequestIsRetriedElsewhere(t *testing.T) {
	broken, count := rawServer(t, func(c net.Conn, r *http.Request) { reset(c) })
	f := newPathFixture(t, broken, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Header.Get(headerRetriesLeft)+" "+r.Header.Get(headerDepth))
	}))
	f.expect(t, f.request(t, "GET", "/read", "", headerDepth, "3"), 200, "1 4")
	if count.Load() != 1 || f.counters.Counter("retries", "reason", "broken").Count() != 1 {
		t.Errorf("arrived %d times", count.Load())
	}
	f.expect(t, f.request(t, "GET", "/read", "", headerRetriesLeft, "0"), 502, `"ran":"unknown"`)
}

// Guards against a request that is not retried, or runs twice, after a server shed it or could not be reached.
func TestNotRunIsRetriedEvenIfNotIdempotent(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	_ = closed.Close()
	shed := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(headerNotRun, "true")
		w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
		w.WriteHeader(503)
	})
	var ran atomic.Int64
	f := newPathFixture(t, closed.Addr().String(), shed, startBackend(t, func(w http.ResponseWriter, r *http.Request) { ran.Add(1) }))
	f.expect(t, f.request(t, "POST", "/issue", "x", headerIdempotencyKey, newKey(t)), 200)
	if ran.Load() != 1 {
		t.Errorf("ran %d times", ran.Load())
	}
	f.servers.addresses = []string{closed.Addr().String(), shed}
	key := newKey(t)
	f.expect(t, f.request(t, "POST", "/issue", "x", headerIdempotencyKey, key), 503, `"ran":"no"`)
	eventually(t, "claim is given back", func() bool { f.background.Wait(); return f.claims.completed() == 2 })
	f.servers.addresses = []string{startBackend(t, func(w http.ResponseWriter, r *http.Request) {})}
	f.expect(t, f.request(t, "POST", "/issue", "x", headerIdempotencyKey, key), 200)
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a truncated response that the caller takes for a complete one, and against responses to other
// requests.
func TestIncompleteAndMismatchedResponses(t *testing.T) {
	tests := map[string]string{
		"truncated body":      "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\npart",
		"truncated chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"foreign response":    "HTTP/1.1 200 OK\r\nHeatherwall-Request-Id: other\r\nContent-Length: 4\r\n\r\npart",
		"switching protocols": "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := rawServer(t, func(c net.Conn, r *http.Request) { write(c, text); _ = c.Close() })
			f := newPathFixture(t, address)
			status, body, _ := f.do(t, f.request(t, "POST", "/issue", "x", headerIdempotencyKey, newKey(t)))
			if status == 200 && !strings.HasPrefix(body, "broken: ") {
				t.Errorf("the caller got %d %q as a complete response", status, body)
			}
		})
	}
	unwritten := newPathFixture(t, "127.0.0.1:1")
	unwritten.transport = roundTrip(func(*http.Request) (*http.Response, error) {
		return &http.Response{StatusCode: 200, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("foreign"))}, nil
	})
	unwritten.expect(t, unwritten.request(t, "GET", "/read", ""), 503, `"ran":"no"`)
}

// Guards against net/http taking surplus bytes after an earlier response for the response to the next request.
func TestSurplusBytesNeverBecomeAnotherResponse(t *testing.T) {
	log.SetOutput(io.Discard) // net/http logs surplus bytes
	defer log.SetOutput(os.Stderr)
	early, _ := rawServer(t, func(c net.Conn, r *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"+r.URL.Path[6:]+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n!!")
	})
	f := newPathFixture(t, early)
	f.transport.(*http.Transport).MaxConnsPerHost = 1 // the connection is assigned to the next request at once
	var callers sync.WaitGroup
	for _, path := range []string{"/read/aa", "/read/bb", "/read/cc", "/read/dd"} {
		callers.Go(func() {
			for range 100 {
				if status, body, _ := f.do(t, f.request(t, "GET", path, "")); status == 200 && body != path[6:] {
					t.Errorf("request for %s got the response %q", path, body)
					return
				}
			}
		})
	}
	callers.Wait()
}

// Guards against interim responses, trailers or Host that get lost, and against hop-by-hop and internal headers that
// leak.
func TestForwardingPreservesMessage(t *testing.T) {
	f := newPathFixture(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("Trailer", "Sum")
		w.Header().Set(headerState, stateReady)
		w.Header().Set("X-Seen", r.Host+"|"+r.Header.Get("X-Hop")+r.Header.Get("Authorization")+"|"+r.Header.Get("X-End"))
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
		w.Header().Set("Sum", "42")
	}))
	r := f.request(t, "PUT", "/read", "hello", "Connection", "X-Hop", "X-Hop", "1", "X-End", "2", "Expect", "100-continue")
	r.Host = "labels.example"
	answer, err := http.DefaultTransport.RoundTrip(r)
	must(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	must(t, err)
	if string(body) != "hello" || answer.Trailer.Get("Sum") != "42" || answer.Header.Get("X-Seen") != "labels.example||2" || answer.Header.Get(headerState) != "" {
		t.Errorf("got %q, header %v, trailer %v", body, answer.Header, answer.Trailer)
	}
}

// Guards against forwarding the later response of two hedged attempts, and against an attempt that is not cancelled.
func TestFirstHedgedResponseCancelsOtherAttempt(t *testing.T) {
	received, canceled := make(chan struct{}), make(chan struct{})
	await := func(what string, c <-chan struct{}) {
		select {
		case <-c:
		case <-time.After(testTimeout):
			t.Errorf("not reached: %s", what)
		}
	}
	slow := startBackend(t, func(w http.ResponseWriter, r *http.Request) { close(received); <-r.Context().Done(); close(canceled) })
	f := newPathFixture(t, slow, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "fast")
		_ = http.NewResponseController(w).Flush()
		await("the other attempt is cancelled", canceled) // the response ends only after that
	}))
	f.servers.hedge = time.Millisecond
	picks := 0
	f.servers.onPick = func() {
		if picks++; picks == 2 { // the hedge; the first attempt could otherwise be cancelled before it is sent
			await("the first attempt reaches its server", received)
		}
	}
	f.expect(t, f.request(t, "GET", "/hedged", ""), 200, "fast")
}

// Guards against a cancellation or deadline of the caller that does not reach the backend server.
func TestCancelAndDeadlineReachTheBackend(t *testing.T) {
	started, ended := make(chan string, 2), make(chan struct{}, 2)
	f := newPathFixture(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		started <- r.Header.Get(headerDeadline)
		<-r.Context().Done()
		ended <- struct{}{}
	}))
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-started; cancel() }()
	if _, err := http.DefaultTransport.RoundTrip(f.request(t, "GET", "/read", "").WithContext(ctx)); !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
	<-ended
	f.expect(t, f.request(t, "GET", "/read", "", headerDeadline, "80"), 504, `"reason":"deadline_exceeded"`, `"ran":"unknown"`)
	if ms := <-started; len(ms) > 2 || ms > "80" {
		t.Errorf("deadline at the backend server: %s ms", ms)
	}
	<-ended
}

// Guards against sending a request if the lease expired between the admission of the request and the first byte.
func TestLeaseIsCheckedAgainBeforeTheFirstByte(t *testing.T) {
	address, count := rawServer(t, func(c net.Conn, r *http.Request) { write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
	f := newPathFixture(t, address)
	f.expect(t, f.request(t, "GET", "/read", ""), 200)
	f.servers.onPick = func() { f.configuration.expired.Store(true) }
	f.expect(t, f.request(t, "GET", "/read", ""), 503, `"reason":"configuration_stale"`, `"ran":"no"`)
	if count.Load() != 1 {
		t.Errorf("the server got %d requests", count.Load())
	}
}

// Guards against a slow dial after which a request is sent although the evidence for its server has expired.
func TestOutdatedSelectionIsNotSent(t *testing.T) {
	f := newPathFixture(t)
	if now := f.clock.now(); f.checkSend(backendServer{}, now) != nil || f.checkSend(backendServer{}, now-maxSelectionAge) == nil {
		t.Error("checkSend ignores the age of the selection")
	}
}

// Guards against running a request with the same key twice, against a stored response that is not replayed, and against
// accepting a key that was used for a different request.
func TestClaimPreventsSecondRun(t *testing.T) {
	var ran atomic.Int64
	f := newPathFixture(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		ran.Add(1)
		w.Header().Set("Location", "/labels/1")
		w.WriteHeader(201)
		_, _ = io.WriteString(w, strings.Repeat("x", len(r.URL.RawQuery)*1000))
	}))
	key, long := newKey(t), newKey(t)
	f.expect(t, f.request(t, "POST", "/issue?a", "x", headerIdempotencyKey, key), 201)
	f.expect(t, f.request(t, "POST", "/issue?aaaaa", "x", headerIdempotencyKey, long), 201)
	eventually(t, "claims are completed", func() bool { return f.claims.completed() == 2 })
	status, body, header := f.do(t, f.request(t, "POST", "/issue?a", "x", headerIdempotencyKey, key))
	if status != 201 || len(body) != 1000 || header.Get(headerKeptAnswer) != "true" || header.Get("Location") != "/labels/1" {
		t.Errorf("kept answer: %d, %d bytes, %v", status, len(body), header)
	}
	f.expect(t, f.request(t, "POST", "/issue?aaaaa", "x", headerIdempotencyKey, long), 409, `"reason":"already_run"`, `"ran":"yes"`)
	f.expect(t, f.request(t, "POST", "/issue?a", "y", headerIdempotencyKey, key), 422, `"reason":"key_reused"`, `"ran":"no"`)
	f.claims.failure = &ClaimGroupError{Region: "north"}
	f.expect(t, f.request(t, "POST", "/issue", "z", headerIdempotencyKey, newKey(t)), 503, string(ReasonClaimsUnavailable), `"ran":"no"`)
	f.claims.lost = true
	f.expect(t, f.request(t, "POST", "/issue", "z", headerIdempotencyKey, newKey(t)), 503, string(ReasonClaimsUnavailable), `"ran":"unknown"`)
	if ran.Load() != 2 {
		t.Errorf("ran %d times", ran.Load())
	}
}

// Guards against a request that crashes one server after another.
func TestPoisonAfterTwoCrashes(t *testing.T) {
	address, count := rawServer(t, func(c net.Conn, r *http.Request) { reset(c) })
	f := newPathFixture(t, address)
	for range 2 {
		f.expect(t, f.request(t, "POST", "/free", "crash"), 502, `"ran":"unknown"`)
	}
	f.expect(t, f.request(t, "POST", "/free", "crash"), 503, `"reason":"poison"`, `"ran":"no"`)
	f.expect(t, f.request(t, "POST", "/free", "other"), 502)
	if count.Load() != 3 {
		t.Errorf("arrived %d times", count.Load())
	}
}

// Guards against retrying a request on more servers after it has crashed two.
func TestRetriesStopAtPoison(t *testing.T) {
	var addresses []string
	var arrived []*atomic.Int64
	for range 3 {
		address, count := rawServer(t, func(c net.Conn, _ *http.Request) { reset(c) })
		addresses, arrived = append(addresses, address), append(arrived, count)
	}
	f := newPathFixture(t, addresses...)
	f.expect(t, f.request(t, "GET", "/read", ""), 502, `"ran":"unknown"`)
	total := int64(0)
	for _, count := range arrived {
		total += count.Load()
	}
	if total != poisonThreshold {
		t.Errorf("the request arrived at %d servers, want %d", total, poisonThreshold)
	}
}

// Guards against counting a missed deadline as a crash. Servers receive the deadline in whole milliseconds, so they may
// close the connection shortly before the deadline of the gateway.
func TestMissedDeadlineIsNotACrash(t *testing.T) {
	address, _ := rawServer(t, func(c net.Conn, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get(headerDeadline))
		if err == nil {
			time.Sleep(time.Duration(left) * time.Millisecond)
		}
		reset(c)
	})
	f := newPathFixture(t, address)
	for range 2 * poisonThreshold {
		f.expect(t, f.request(t, "POST", "/free", "slow", headerDeadline, "60"), 504, `"ran":"unknown"`)
	}
}
