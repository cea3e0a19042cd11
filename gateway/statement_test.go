package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
)

// sayingServer is a backend server of the service "s" that may say something of itself.
type sayingServer struct {
	address string
	// arrivals counts requests and health checks.
	arrivals atomic.Int32
	// say handles requests, sayHealth health checks; nil answers as usual.
	say, sayHealth atomic.Pointer[http.HandlerFunc]
	said           atomic.Int32
}

func (s *sayingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrivals.Add(1)
	w.Header().Set(headerLoad, "0/8")
	w.Header().Set(headerState, stateReady)
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	handle := s.say.Load()
	if r.URL.Path == "/healthz" {
		handle = s.sayHealth.Load()
	}
	if handle == nil {
		_, _ = io.WriteString(w, s.address)
		return
	}
	s.said.Add(1)
	(*handle)(w, r)
}

func startSayingServers(t *testing.T, n int) ([]*sayingServer, []*controlpb.BackendServer) {
	t.Helper()
	var servers []*sayingServer
	var records []*controlpb.BackendServer
	for range n {
		s := &sayingServer{}
		h := httptest.NewServer(s)
		t.Cleanup(h.Close)
		s.address = h.Listener.Addr().String()
		servers = append(servers, s)
		records = append(records, &controlpb.BackendServer{Id: "i-" + s.address, Service: "s", Address: s.address, Region: "north", FailureDomain: "north-a", Incarnation: 1, Slots: 8, Changed: 1})
	}
	return servers, records
}

// sendMany sends requests, a few at a time, and returns how many got the status.
func (g *relayGateway) sendMany(t *testing.T, n, status int) int {
	t.Helper()
	var got atomic.Int32
	var done sync.WaitGroup
	for range 4 {
		done.Go(func() {
			for range n / 4 {
				if s, _, _ := g.send(t, http.MethodGet, "/read", ""); s == status {
					got.Add(1)
				}
			}
		})
	}
	done.Wait()
	return int(got.Load())
}

// draining says that the server leaves, in a response with the given status.
func draining(status int, notRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerState, stateDraining)
		if notRun {
			w.Header().Set(headerNotRun, "true")
		}
		w.WriteHeader(status)
	}
}

// drainingEndless sends a response header and never ends the body.
func drainingEndless(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerState, stateDraining)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	<-r.Context().Done()
}

// awaitSaid sends requests until the server has said something.
func (g *relayGateway) awaitSaid(t *testing.T, s *sayingServer) {
	t.Helper()
	eventually(t, "the server has said it", func() bool {
		go g.send(t, http.MethodGet, "/read", "")
		return s.said.Load() > 0
	})
	time.Sleep(50 * time.Millisecond) // lets what crossed arrive
}

// Guards against requests and probes to a server after it has said, in whatever response, that it leaves.
func TestLeavingServerGetsNothingMore(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"answer": draining(http.StatusOK, false), "failed": draining(http.StatusInternalServerError, false),
		"misdirected": draining(http.StatusMisdirectedRequest, true), "refused": draining(http.StatusServiceUnavailable, true),
		"endless body": drainingEndless, "health check": draining(http.StatusOK, false), "failed health check": draining(http.StatusServiceUnavailable, false),
	}
	for name, say := range cases {
		t.Run(name, func(t *testing.T) {
			servers, records := startSayingServers(t, 3)
			g := startRelayGateway(t, startCatalogueControl(t, records), "gw-1", "north-a")
			if name == "health check" || name == "failed health check" {
				servers[0].sayHealth.Store(&say)
			} else {
				servers[0].say.Store(&say)
			}
			g.awaitSaid(t, servers[0])
			before := servers[0].arrivals.Load()
			if n := g.sendMany(t, 60, http.StatusOK); n != 60 {
				t.Errorf("%d of 60 requests answered by the other servers", n)
			}
			if n := servers[0].arrivals.Load() - before; n != 0 {
				t.Errorf("%d requests and probes reached a server that leaves", n)
			}
		})
	}
}

// Guards against a service that sends to servers which all leave, and against callers that wait or are not told that nothing
// ran.
func TestLeavingOfAllServersRefusesAtOnce(t *testing.T) {
	servers, records := startSayingServers(t, 3)
	g := startRelayGateway(t, startCatalogueControl(t, records), "gw-1", "north-a")
	say := draining(http.StatusOK, false)
	for _, s := range servers {
		s.sayHealth.Store(&say)
		g.awaitSaid(t, s)
	}
	before := servers[0].arrivals.Load() + servers[1].arrivals.Load() + servers[2].arrivals.Load()
	start := time.Now()
	status, body, h := g.send(t, http.MethodGet, "/read", "")
	if status != http.StatusServiceUnavailable || reasonOf(body) != ReasonNoServer || h.Get("Retry-After") == "" || time.Since(start) > 300*time.Millisecond {
		t.Errorf("after %s: %d %s", time.Since(start), status, body)
	}
	if n := servers[0].arrivals.Load() + servers[1].arrivals.Load() + servers[2].arrivals.Load() - before; n != 0 {
		t.Errorf("%d requests and probes reached servers that leave", n)
	}
}

// Guards against a gateway that passes on an answer of a server that leaves, which came through another gateway, and sends to
// that server when it reaches servers again.
func TestLeavingIsLearnedThroughARelay(t *testing.T) {
	servers, records := startSayingServers(t, 3)
	g := startRelayGateways(t, startCatalogueControl(t, records), "north-a", "north-a")[0]
	g.awaitCutOff(t)
	say := draining(http.StatusOK, false)
	servers[0].say.Store(&say)
	g.awaitSaid(t, servers[0])
	before := servers[0].arrivals.Load()
	g.cut.set(cutNone)
	eventually(t, "the gateway serves directly", func() bool { return !g.path.serverPath().isDoubtful() && !g.path.serverPath().isCutOff() })
	time.Sleep(1200 * time.Millisecond)
	g.sendMany(t, 80, http.StatusOK)
	if n := servers[0].arrivals.Load() - before; n != 0 {
		t.Errorf("%d requests and probes reached a server that leaves", n)
	}
}

// shedding turns requests away with the given status and Retry-After.
func shedding(status int, retryAfter ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerNotRun, "true")
		w.Header()["Retry-After"] = retryAfter
		w.WriteHeader(status)
	}
}

// Guards against requests and probes to a server during the time for which it has asked for nothing, and against a gateway that
// does not return afterwards.
func TestRetryAfterOfServerIsKeptInFull(t *testing.T) {
	for _, health := range []bool{false, true} {
		t.Run(fmt.Sprint("health check ", health), func(t *testing.T) {
			servers, records := startSayingServers(t, 2)
			g := startRelayGateway(t, startCatalogueControl(t, records), "gw-1", "north-a")
			say := shedding(http.StatusServiceUnavailable, "1")
			where := &servers[0].say
			if health {
				where = &servers[0].sayHealth
			}
			where.Store(&say)
			g.awaitSaid(t, servers[0])
			start, before := time.Now(), servers[0].arrivals.Load()
			where.Store(nil)
			for time.Since(start) < 800*time.Millisecond {
				g.sendMany(t, 4, http.StatusOK)
			}
			if n := servers[0].arrivals.Load() - before; n != 0 {
				t.Errorf("%d requests and probes reached a paused server", n)
			}
			eventually(t, "the server gets requests again", func() bool {
				g.sendMany(t, 4, http.StatusOK)
				return servers[0].arrivals.Load() > before
			})
		})
	}
}

// Guards against callers that wait for, or requests that reach, servers that have all asked for a pause.
func TestRetryAfterOfAllServersRefusesAtOnce(t *testing.T) {
	servers, records := startSayingServers(t, 2)
	g := startRelayGateways(t, startCatalogueControl(t, records), "north-a", "north-a")[0]
	say := shedding(http.StatusServiceUnavailable, "3")
	for _, s := range servers {
		s.say.Store(&say)
		g.awaitSaid(t, s)
	}
	before := servers[0].arrivals.Load() + servers[1].arrivals.Load()
	start := time.Now()
	status, body, h := g.send(t, http.MethodGet, "/read", "")
	after, _ := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if status != http.StatusServiceUnavailable || reasonOf(body) != "servers_paused" || after < 1 || after > 4 || time.Since(start) > 300*time.Millisecond {
		t.Errorf("after %s: %d %s, Retry-After %s", time.Since(start), status, body, h.Get("Retry-After"))
	}
	if n := servers[0].arrivals.Load() + servers[1].arrivals.Load() - before; n != 0 {
		t.Errorf("%d requests and probes reached paused servers", n)
	}
}

// Guards against a server that is paused by a value that means nothing, or by another status than 503.
func TestRetryAfterWithoutMeaningPausesNothing(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"10^30": shedding(503, "1"+fmt.Sprintf("%030d", 0)), "exponent": shedding(503, "1e30"), "negative": shedding(503, "-5"), "NaN": shedding(503, "NaN"),
		"infinite": shedding(503, "Inf"), "text": shedding(503, "soon"), "above an hour": shedding(503, "3601"), "past date": shedding(503, "Sun, 06 Nov 1994 08:49:37 GMT"),
		"status 429": shedding(429, "30"), "status 200": func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Retry-After", "30") },
	}
	for name, say := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			servers, records := startSayingServers(t, 1)
			g := startRelayGateway(t, startCatalogueControl(t, records), "gw-1", "north-a")
			servers[0].say.Store(&say)
			g.awaitSaid(t, servers[0])
			servers[0].say.Store(nil)
			start := time.Now()
			eventually(t, "the server gets requests again", func() bool {
				status, _, _ := g.send(t, http.MethodGet, "/read", "")
				return status == http.StatusOK
			})
			if d := time.Since(start); d > 5*time.Second {
				t.Errorf("the server was paused for %s", d)
			}
			usable := strings.HasPrefix(name, "status") || name == "past date"
			if n := g.counters.Counter("server_statements_ignored", "cause", "malformed").Count(); (n == 0) != usable {
				t.Errorf("%d statements ignored as malformed", n)
			}
		})
	}
}

// Guards against a server that is connected to, and found unreachable, because it has ended after it said that it leaves.
func TestLeavingServersThatEndAreNoCut(t *testing.T) {
	servers, records := startSayingServers(t, 6)
	g := startRelayGateway(t, startCatalogueControl(t, records), "gw-1", "north-a")
	say := draining(http.StatusOK, false)
	for _, s := range servers[:5] {
		s.sayHealth.Store(&say)
		g.awaitSaid(t, s)
	}
	path := g.path.serverPath()
	for _, s := range servers[:5] {
		path.asked(s.address)
		path.ended(s.address, &UnreachableError{Address: s.address, Err: net.ErrClosed})
	}
	time.Sleep(100 * time.Millisecond)
	if path.isDoubtful() {
		t.Error("servers that have left make the gateway suspect a cut")
	}
	if n := len(path.targets()); n != 1 {
		t.Errorf("%d servers are probed for the path; want the one that does not leave", n)
	}
}
