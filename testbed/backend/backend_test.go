package backend

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// fakeGateway accepts announcements unless it is set to unavailable.
type fakeGateway struct {
	*httptest.Server
	mu           sync.Mutex
	unavailable  bool
	grant        uint64
	calls        []string
	echoedGrants []uint64
	lastCall     time.Time
}

func newFakeGateway(t *testing.T) *fakeGateway {
	g := &fakeGateway{}
	g.Server = httptest.NewServer(g)
	t.Cleanup(g.Close)
	return g
}

func (g *fakeGateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a announcement
	json.NewDecoder(r.Body).Decode(&a)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.grant++
	g.calls = append(g.calls, r.URL.Path+" "+a.State)
	g.echoedGrants = append(g.echoedGrants, a.Grant)
	g.lastCall = time.Now()
	json.NewEncoder(w).Encode(announceResponse{Grant: g.grant, RenewMs: 20, SwitchMs: 300})
}

func (g *fakeGateway) received() ([]string, []uint64, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.calls, g.echoedGrants, g.lastCall
}

func start(t *testing.T, o Options) (*Server, context.CancelFunc, chan error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o.Address = l.Addr().String()
	l.Close()
	s := New(o, &atomic.Uint64{})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx) }()
	t.Cleanup(cancel)
	return s, cancel, ended
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not within 20 s: %s", what)
}

// Guards against two owners at once: the owner may change only after the switch time without a response. Also checks that
// the server echoes grants to the gateway that issued them only, and that it announces its leave.
func TestOwnerChangesAfterSwitchTime(t *testing.T) {
	first, second := newFakeGateway(t), newFakeGateway(t)
	s, stop, ended := start(t, Options{Slots: 1, Gateways: []string{first.Listener.Addr().String(), second.Listener.Addr().String()}})
	waitUntil(t, "registration", func() bool { return s.announcer.ownerAddress() != "" })
	if s.announcer.ownerAddress() != first.Listener.Addr().String() {
		first, second = second, first
	}
	waitUntil(t, "echoed grant", func() bool { _, grants, _ := first.received(); return grants[len(grants)-1] > 1 })
	first.mu.Lock()
	first.unavailable = true
	lastResponse := first.lastCall
	first.mu.Unlock()
	waitUntil(t, "registration with the second gateway", func() bool { calls, _, _ := second.received(); return len(calls) > 0 })
	if waited := time.Since(lastResponse); waited < 300*time.Millisecond {
		t.Errorf("the owner changed %s after its last response", waited)
	}
	if _, grants, _ := second.received(); grants[0] != 0 {
		t.Errorf("grant %d of the former owner was sent to the new one", grants[0])
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if calls, _, _ := second.received(); calls[len(calls)-1] != "/v1/servers/leave draining" {
		t.Errorf("expected a leave, got %v", calls)
	}
}

// Guards against a cold server that withstands full load, which would hide gateways that send it too much.
func TestColdServerCollapsesUnderFullLoad(t *testing.T) {
	s, _, _ := start(t, Options{Slots: 2, Queue: 2, ColdDuration: time.Hour, ServiceTime: 50 * time.Millisecond, RestartDelay: 10 * time.Millisecond})
	url := "http://" + s.options.Address + "/x"
	waitUntil(t, "response to a single request", func() bool { return get(url) == http.StatusOK })
	if s.Counts().Collapses != 0 {
		t.Fatal("the server collapsed under one request")
	}
	for range 2 {
		go get(url)
	}
	waitUntil(t, "collapse under two requests", func() bool { return s.Counts().Collapses == 1 })
	waitUntil(t, "response after the restart", func() bool { return get(url) == http.StatusOK })
}

func get(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against cold servers whose capacity differs from the model of the policy bench: one request, and one more for
// each ColdStep completed runs, up to the slots.
func TestColdStepCapacityGrowsWithCompletedRuns(t *testing.T) {
	c := coldStart{maxDuration: time.Hour, step: 4, grace: time.Second}
	start := time.Now()
	c.begin(start)
	if c.recordArrival(start, 5, 3); c.peakLoad != 0 {
		t.Errorf("peak %.1f counted within the grace time", c.peakLoad)
	}
	for completed, capacity := range []int{0: 1, 3: 1, 4: 2, 8: 3, 40: 3} {
		if capacity == 0 {
			continue
		}
		c.completedRuns = completed
		later := start.Add(2 * time.Second)
		if excess := c.recordArrival(later, capacity, 3); excess != "" {
			t.Errorf("after %d runs: %s", completed, excess)
		}
		if c.recordArrival(later, capacity+1, 3) == "" {
			t.Errorf("after %d runs: %d requests count as within the capacity", completed, capacity+1)
		}
	}
}

// Guards against in-flight runs that ignore a change of the slowdown: a short slowdown would have no effect on them or
// last for their whole duration.
func TestSlowdownAffectsRunsInFlight(t *testing.T) {
	s, _, _ := start(t, Options{Slots: 1, ServiceTime: 20 * time.Millisecond})
	waitUntil(t, "response", func() bool { return get("http://"+s.options.Address+"/x") == http.StatusOK })
	s.faults.setSlowdown(1e6)
	answered := make(chan int, 1)
	go func() { answered <- get("http://" + s.options.Address + "/x") }()
	waitUntil(t, "run in flight", func() bool { return s.running.Load() == 1 })
	s.faults.setSlowdown(1)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// Guards against a fault that does not reach the responses, and against one that is announced.
func TestLeavingAndRetryAfterAreSaidInResponsesOnly(t *testing.T) {
	s, _, _ := start(t, Options{Service: "s", Slots: 1, ServiceTime: time.Millisecond, RetryAfter: 1})
	url := "http://" + s.options.Address
	waitUntil(t, "the server answers", func() bool {
		r, err := http.Post(url+"/.standin/fault?say=draining&turn-away=-7", "", nil)
		return err == nil && r.Body.Close() == nil && r.StatusCode == http.StatusNoContent
	})
	r, err := http.Get(url + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusServiceUnavailable || r.Header.Get("Retry-After") != "-7" || r.Header.Get(StateHeader) != "draining" || r.Header.Get(NotRunHeader) != "true" {
		t.Errorf("status %d, header %v", r.StatusCode, r.Header)
	}
	if state := s.Counts().State; state != "ready" {
		t.Errorf("the server announces %s", state)
	}
}
