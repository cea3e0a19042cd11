package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against callers that are not served because their gateway alone reaches no backend server, and against requests
// that run twice meanwhile.
func TestGatewayCutOffFromServersServesThroughAnother(t *testing.T) {
	for name, mode := range map[string]cutMode{"silent": cutSilent, "refused": cutRefuse, "reset": cutReset, "silent, load hidden": cutSilent} {
		t.Run(name, func(t *testing.T) {
			servers := startRelayServers(t)
			servers.hidesLoad = strings.Contains(name, "hidden")
			g := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "north-b")[0]
			if status, body, _ := g.send(t, http.MethodGet, "/before", ""); status != http.StatusOK {
				t.Fatalf("before the cut: %d %s", status, body)
			}
			if mode == cutRefuse {
				g.path.transport.(*http.Transport).CloseIdleConnections()
			}
			g.cut.set(mode)
			const enough = 50 // reads in a row
			begin := time.Now()
			for i, served := 0, 0; served < enough; i++ {
				path := fmt.Sprintf("/read/%d", i)
				status, body, _ := g.send(t, http.MethodGet, path, "")
				if served++; status != http.StatusOK {
					served = 0
				}
				if time.Since(begin) > testTimeout {
					t.Fatalf("%s after the cut: %d %s", time.Since(begin), status, body)
				}
				path = fmt.Sprintf("/write/%d", i)
				status, body, _ = g.send(t, http.MethodPost, path, "x")
				if runs := servers.runsOf(path); runs > 1 || (status == http.StatusOK && runs != 1) || (status == http.StatusServiceUnavailable && runs != 0) {
					t.Fatalf("%s: ran %d times, status %d %s", path, runs, status, body)
				}
			}
		})
	}
}

// awaitCutOff cuts the gateway off and waits until it has noticed.
func (g *relayGateway) awaitCutOff(t *testing.T) {
	t.Helper()
	g.cut.set(cutSilent)
	eventually(t, "the gateway is cut off", func() bool {
		g.send(t, http.MethodGet, "/", "", headerDeadline, "50")
		return g.path.serverPath().isCutOff()
	})
}

func (g *relayGateway) relayedHere() int64 {
	return g.counters.UnlabeledCounter("requests_relayed_here").Count()
}

// Guards against a gateway that goes on passing requests on after its servers answer again, and against one that is not
// ready although it serves.
func TestGatewayServesDirectlyAfterTheCut(t *testing.T) {
	servers := startRelayServers(t)
	control := startCatalogueControl(t, servers.records)
	list := startRelayGateways(t, control, "north-a", "north-b")
	g := list[0]
	g.awaitCutOff(t)
	eventually(t, "the state is reported", func() bool { return control.status("gw-1").GetServersUnreachable() })
	if status := g.get(t, "/readyz"); status != http.StatusOK {
		t.Errorf("/readyz: %d", status)
	}
	g.cut.set(cutNone)
	eventually(t, "the servers are reached again", func() bool { return g.path.serverPath().reach.DirectShare(g.clock.now()) == 1 })
	before := list[1].relayedHere()
	for i := range 20 {
		if status, body, _ := g.send(t, http.MethodGet, fmt.Sprintf("/after/%d", i), ""); status != http.StatusOK {
			t.Errorf("after the cut: %d %s", status, body)
		}
	}
	if n := list[1].relayedHere() - before; n != 0 {
		t.Errorf("%d requests were passed on after the return", n)
	}
}

func (g *relayGateway) get(t *testing.T, path string) int {
	t.Helper()
	r, err := g.client.Get("http://" + g.Admin + path)
	must(t, err)
	defer r.Body.Close()
	return r.StatusCode
}

// Guards against requests that fail because the first relay is cut off as well.
func TestRelayThatIsCutOffIsSkipped(t *testing.T) {
	servers := startRelayServers(t)
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "north-b")
	list[0].awaitCutOff(t)
	list[1].cut.set(cutSilent)
	for i := range 20 {
		if status, body, _ := list[0].send(t, http.MethodPost, fmt.Sprintf("/write/%d", i), "x"); status != http.StatusOK {
			t.Fatalf("request %d: %d %s", i, status, body)
		}
	}
	if list[2].relayedHere() < 20 {
		t.Errorf("%d requests at the gateway that reaches servers", list[2].relayedHere())
	}
}

// Guards against bodies that are sent to gateways outside the home regions, and against runs there.
func TestRelayLiesInTheHomeRegions(t *testing.T) {
	servers := startRelayServers(t)
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "south-a")
	list[0].awaitCutOff(t)
	near := list[1].relayedHere()
	if status, body, _ := list[0].send(t, http.MethodPut, "/home/1", "secret"); status != http.StatusOK || body != "ran secret" {
		t.Errorf("%d %s", status, body)
	}
	if list[1].relayedHere() != near || list[2].relayedHere() == 0 {
		t.Error("the request went through a gateway outside its home regions")
	}
	if in := servers.regionsOf("/home/1"); len(in) != 1 || in[0] != "south" {
		t.Errorf("ran in %v", in)
	}
	list[2].awaitCutOff(t)
	eventually(t, "the requests that awaited the cut have ended", func() bool { return list[2].path.inFlight.Load() == 0 && list[1].path.inFlight.Load() == 0 })
	near = list[1].relayedHere() // they may have been relayed there
	status, body, header := list[0].send(t, http.MethodPut, "/home/2", "secret")
	if status != http.StatusServiceUnavailable || !strings.Contains(body, `"ran":"no"`) || header.Get("Retry-After") == "" {
		t.Errorf("without a relay in the home regions: %d %s", status, body)
	}
	if list[1].relayedHere() != near {
		t.Error("the body was sent to a gateway outside the home regions")
	}
}

// passOn sends a request to the relay listener like another gateway; the status is 0 without a response.
func (g *relayGateway) passOn(t *testing.T, method, path, body string, c relayedCall) (int, http.Header) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+g.Relay+path, strings.NewReader(body))
	must(t, err)
	r.Host = "a.example"
	c.requestID = strings.ReplaceAll(path, "/", "-") // servers echo it, which proves that a response belongs to the request
	c.write(r.Header)
	answer, err := g.client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, answer.Header
}

// Guards against requests that go round in circles between gateways that are all cut off.
func TestRelayedRequestIsNotPassedOnAgain(t *testing.T) {
	servers := startRelayServers(t)
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "north-b")
	list[0].awaitCutOff(t)
	list[1].awaitCutOff(t)
	before := list[2].relayedHere()
	status, header := list[1].passOn(t, http.MethodGet, "/read", "", relayedCall{service: "s", deadline: time.Second})
	if status != http.StatusServiceUnavailable || header.Get(headerRelayOutcome) != relayNotRun || header.Get(headerRelayReason) != string(ReasonServersUnreachable) {
		t.Errorf("%d %v", status, header)
	}
	if list[2].relayedHere() != before {
		t.Error("a request that was passed on was passed on again")
	}
	list[2].awaitCutOff(t)
	begin := time.Now()
	if status, body, _ := list[0].send(t, http.MethodGet, "/read", ""); status != http.StatusServiceUnavailable || !strings.Contains(body, `"ran":"no"`) {
		t.Errorf("without any relay: %d %s", status, body)
	}
	if took := time.Since(begin); took > 500*time.Millisecond {
		t.Errorf("the refusal took %s", took)
	}
}

// Guards against a relay that gives servers more time or attempts than are left, or accepts requests without the headers.
func TestRelayKeepsLimits(t *testing.T) {
	servers := startRelayServers(t)
	var left atomic.Value
	servers.handle = func(w http.ResponseWriter, r *http.Request) {
		left.Store(r.Header.Get(headerDeadline))
		w.Header().Set(headerNotRun, "true")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	g := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a")[0]
	status, header := g.passOn(t, http.MethodPost, "/write/1", "x", relayedCall{service: "s", deadline: 700 * time.Millisecond})
	if status != http.StatusServiceUnavailable || header.Get(headerRelayOutcome) != relayNotRun || servers.runsOf("/write/1") != 1 {
		t.Errorf("without attempts left: %d %v, %d attempts", status, header, servers.runsOf("/write/1"))
	}
	if ms, _ := left.Load().(string); len(ms) != 3 || ms > "700" {
		t.Errorf("the server got %q ms of 700", ms)
	}
	g.passOn(t, http.MethodPost, "/write/2", "x", relayedCall{service: "s", deadline: time.Second, left: 9})
	if n := servers.runsOf("/write/2"); n != 2 {
		t.Errorf("%d attempts; want those of the route", n)
	}
	status, header = g.passOn(t, http.MethodPost, "/write/3", "x", relayedCall{service: "s", deadline: time.Second, routes: 2})
	if header.Get(headerRelayOutcome) != relayNotRun || header.Get(headerRelayReason) != string(ReasonNotReady) || servers.runsOf("/write/3") != 0 {
		t.Errorf("with a newer route table at the other gateway: %d %v", status, header)
	}
	r, err := g.client.Get("http://" + g.Relay + "/read")
	must(t, err)
	defer r.Body.Close()
	if r.StatusCode != http.StatusBadRequest {
		t.Errorf("without headers: %d", r.StatusCode)
	}
}

// Guards against internal headers of callers or servers that are obeyed or passed on.
func TestForgedRelayHeadersAreIgnored(t *testing.T) {
	servers := startRelayServers(t)
	var seen atomic.Value
	servers.handle = func(w http.ResponseWriter, r *http.Request) {
		seen.Store(r.Header.Clone())
		w.Header().Set(headerRelayOutcome, relayNotRun)
		_, _ = io.WriteString(w, "ran")
	}
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a")
	forged := []string{headerRelayDeadline, "1", headerRelayService, "x", headerRelayLeft, "9", headerRelayArrivals, "9", headerRelayRequestID, "other", headerRequestID, "own"}
	for _, cut := range []bool{false, true} {
		if cut {
			list[0].awaitCutOff(t)
		}
		status, body, header := list[0].send(t, http.MethodPost, "/write/1", "x", forged...)
		if status != http.StatusOK || body != "ran" || header.Get(headerRelayOutcome) != "" {
			t.Errorf("cut off %v: %d %s %v", cut, status, body, header)
		}
		at, _ := seen.Load().(http.Header)
		for name := range at {
			if strings.HasPrefix(name, relayHeaderPrefix) {
				t.Errorf("cut off %v: the server got %s", cut, name)
			}
		}
		if at.Get(headerRequestID) != "own" {
			t.Errorf("cut off %v: the server got the request ID %q", cut, at.Get(headerRequestID))
		}
	}
}

// Guards against a request that is not idempotent and runs again, or is reported as not run, after the connection to the
// relay broke.
func TestBrokenRelayConnectionRunsNothingTwice(t *testing.T) {
	servers := startRelayServers(t)
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "north-b")
	list[0].awaitCutOff(t)
	var once atomic.Bool
	servers.handle = func(w http.ResponseWriter, r *http.Request) {
		if once.CompareAndSwap(false, true) {
			_ = list[1].servers["relay"].Close()
		}
		_, _ = io.WriteString(w, "ran")
	}
	status, body, _ := list[0].send(t, http.MethodPost, "/write/1", "x")
	if status != http.StatusBadGateway || !strings.Contains(body, `"ran":"unknown"`) || servers.runsOf("/write/1") != 1 {
		t.Errorf("%d %s, ran %d times", status, body, servers.runsOf("/write/1"))
	}
	if status, body, _ := list[0].send(t, http.MethodPost, "/write/2", "x"); status != http.StatusOK {
		t.Errorf("through the other gateway: %d %s", status, body)
	}
	if list[2].relayedHere() == 0 {
		t.Error("the other gateway was not used")
	}
}

// Guards against an idempotent request that is not sent again after the connection to the relay broke.
func TestIdempotentRequestIsRelayedAgain(t *testing.T) {
	servers := startRelayServers(t)
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "north-b")
	list[0].awaitCutOff(t)
	var once atomic.Bool
	servers.handle = func(w http.ResponseWriter, r *http.Request) {
		if once.CompareAndSwap(false, true) {
			_ = list[1].servers["relay"].Close()
		}
		_, _ = io.WriteString(w, "ran")
	}
	if status, body, _ := list[0].send(t, http.MethodGet, "/read/1", ""); status != http.StatusOK || servers.runsOf("/read/1") != 2 {
		t.Errorf("%d %s, ran %d times", status, body, servers.runsOf("/read/1"))
	}
}

// Guards against a request that was written on a connection that hangs, and that waits for its deadline although it may run
// again, against one that may not and runs again, and against crash marks after connections to all servers broke.
func TestRequestsInFlightWhenTheCutBegins(t *testing.T) {
	servers := startRelayServers(t)
	g := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a")[0]
	reached, release := make(chan struct{}, 4), make(chan struct{})
	var hold atomic.Int32
	servers.handle = func(w http.ResponseWriter, r *http.Request) {
		if hold.Add(1) <= 2 {
			reached <- struct{}{}
			<-release
		}
		_, _ = io.WriteString(w, "ran")
	}
	type result struct {
		status int
		body   string
	}
	read, write := make(chan result, 1), make(chan result, 1)
	go func() { s, b, _ := g.send(t, http.MethodGet, "/read/1", ""); read <- result{s, b} }()
	<-reached
	go func() { s, b, _ := g.send(t, http.MethodPost, "/write/1", "x"); write <- result{s, b} }()
	<-reached
	g.awaitCutOff(t)
	if r := <-read; r.status != http.StatusOK {
		t.Errorf("idempotent: %d %s", r.status, r.body)
	}
	// It ends with its deadline and not sooner, because the server may still answer.
	if r := <-write; r.status != 0 && r.status != http.StatusGatewayTimeout || servers.runsOf("/write/1") != 1 {
		t.Errorf("not idempotent: %d %s, ran %d times", r.status, r.body, servers.runsOf("/write/1"))
	}
	close(release)
}

// crashes returns the number of requests with crash marks.
func (g *relayGateway) crashes() int {
	g.path.crashMarks.mu.Lock()
	defer g.path.crashMarks.mu.Unlock()
	return len(g.path.crashMarks.marks)
}

// Guards against a relay whose server broke the connection and that reports the request as not run, and against a second run.
func TestUnknownOutcomeAtRelayStaysUnknown(t *testing.T) {
	servers := startRelayServers(t)
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "north-b")
	list[0].awaitCutOff(t)
	servers.handle = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	status, body, _ := list[0].send(t, http.MethodPost, "/write/1", "x")
	if status != http.StatusBadGateway || !strings.Contains(body, `"ran":"unknown"`) || servers.runsOf("/write/1") != 1 {
		t.Errorf("%d %s, ran %d times", status, body, servers.runsOf("/write/1"))
	}
	for _, g := range list {
		g.path.background.Wait()
	}
	if list[0].crashes() != 0 || list[1].crashes()+list[2].crashes() != 1 {
		t.Errorf("crash marks: %d, %d, %d; want one at a relay", list[0].crashes(), list[1].crashes(), list[2].crashes())
	}
}

// Guards against crash marks for connections that broke because the path to all servers did, so that a common request is
// refused afterwards, and against none for a server that breaks alone.
func TestOnlyASingleServerProvesACrash(t *testing.T) {
	const minInFlight, maxInFlight = 8, 40
	servers := startRelayServers(t)
	g := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a")[0]
	reached, release := make(chan string, maxInFlight), make(chan struct{})
	servers.handle = func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/crash" {
			panic(http.ErrAbortHandler)
		}
		reached <- r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		<-release
	}
	g.send(t, http.MethodPost, "/crash", "x")
	eventually(t, "a server that breaks alone leaves a mark", func() bool { return g.crashes() == 1 })
	var ended sync.WaitGroup
	// Up to maxBrokenTogether servers may break by their own fault, so that requests at fewer prove nothing.
	inUse := map[string]bool{}
	for sent := 0; sent < minInFlight || len(inUse) <= maxBrokenTogether; sent++ {
		if sent == maxInFlight {
			t.Fatalf("%d requests reached %d servers", sent, len(inUse))
		}
		ended.Go(func() { g.send(t, http.MethodPost, "/common", "x") })
		inUse[<-reached] = true
	}
	g.cut.set(cutReset)
	ended.Wait()
	close(release)
	g.path.background.Wait()
	if n := g.crashes(); n != 1 {
		t.Errorf("%d requests with crash marks after connections to several servers broke; want the one before", n)
	}
}

// Guards against relays that are avoided because a server behind them shed a request, and against a healthy gateway that
// passes on a request that servers have rejected.
func TestShedRequestsNeitherPauseRelaysNorGoRound(t *testing.T) {
	servers := startRelayServers(t)
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "north-b")
	list[0].awaitCutOff(t)
	shed := func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/shed") {
			w.Header().Set(headerNotRun, "true")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ran")
	}
	servers.handle = shed
	for i := range 20 {
		path := fmt.Sprintf("/shed/%d", i)
		list[0].send(t, http.MethodPost, path, "x")
		if n := servers.runsOf(path); n > 2 {
			t.Errorf("%d arrivals of a request that may be sent to 2 servers", n)
		}
		if status, body, _ := list[0].send(t, http.MethodPost, fmt.Sprintf("/write/%d", i), "x"); status != http.StatusOK {
			t.Fatalf("a relay was avoided after servers shed a request: %d %s", status, body)
		}
	}
	before := list[2].relayedHere()
	for i := range 20 {
		path := fmt.Sprintf("/shed/direct/%d", i)
		list[1].send(t, http.MethodPost, path, "x")
		if n := servers.runsOf(path); n > 2 {
			t.Errorf("%d arrivals of a request that may be sent to 2 servers", n)
		}
	}
	if n := list[2].relayedHere() - before; n != 0 {
		t.Errorf("a gateway that reaches its servers passed on %d rejected requests", n)
	}
}

// Guards against more runs of an idempotent request than its route permits when servers break behind several relays.
func TestRelaysKeepAttemptsOfTheRoute(t *testing.T) {
	servers := startRelayServers(t)
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "north-b")
	list[0].awaitCutOff(t)
	servers.handle = func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for i := range 5 {
		path := fmt.Sprintf("/read/%d", i)
		list[0].send(t, http.MethodGet, path, "")
		if n := servers.runsOf(path); n > 2 {
			t.Errorf("%d runs of a request that may be sent to 2 servers", n)
		}
	}
}

// Guards against a cancellation that does not reach the server through the relay, and against a response that ends early and
// looks complete.
func TestRelayPassesOnCancellationAndTruncation(t *testing.T) {
	servers := startRelayServers(t)
	list := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-b")
	g := list[0]
	g.awaitCutOff(t)
	started, ended := make(chan struct{}), make(chan struct{})
	servers.handle = func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/truncated" {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		close(started)
		<-r.Context().Done()
		close(ended)
	}
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.Callers+"/canceled", nil)
	must(t, err)
	r.Host = "a.example"
	go func() {
		<-started
		cancel()
	}()
	if answer, err := g.client.Do(r); err == nil {
		_ = answer.Body.Close()
		t.Error("a response to a request that was canceled")
	}
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Error("the server did not notice the cancellation")
	}
	if status, body, _ := g.send(t, http.MethodPost, "/truncated", ""); status == http.StatusOK {
		t.Errorf("a response that ended early looks complete: %q", body)
	}
	for _, gateway := range list {
		gateway.path.background.Wait()
	}
	if g.crashes() != 0 || list[1].crashes() != 1 {
		t.Errorf("crash marks: %d here, %d at the relay; want one there", g.crashes(), list[1].crashes())
	}
}

// Guards against a planned stop that interrupts a request of another gateway.
func TestDrainFinishesRelayedRequests(t *testing.T) {
	servers := startRelayServers(t)
	control := startCatalogueControl(t, servers.records)
	first := startRelayGateway(t, control, "gw-1", "north-a")
	started, release := make(chan struct{}), make(chan struct{})
	servers.handle = func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		_, _ = io.WriteString(w, "whole answer")
	}
	status := make(chan int, 1)
	go func() {
		s, _ := first.passOn(t, http.MethodPost, "/write/1", "x", relayedCall{service: "s", deadline: 2 * time.Second})
		status <- s
	}()
	<-started
	first.stop()
	time.Sleep(100 * time.Millisecond)
	close(release)
	if s := <-status; s != http.StatusOK {
		t.Errorf("status %d", s)
	}
}
