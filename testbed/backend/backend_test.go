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

// fakeGateway accepts announcements and can fall silent.
type fakeGateway struct {
	*httptest.Server
	mu     sync.Mutex
	silent bool
	grant  uint64
	seen   []string
	echoed []uint64
	last   time.Time
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
	if g.silent {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.grant++
	g.seen = append(g.seen, r.URL.Path+" "+a.State)
	g.echoed = append(g.echoed, a.Grant)
	g.last = time.Now()
	json.NewEncoder(w).Encode(granted{Grant: g.grant, RenewMs: 20, SwitchMs: 300})
}

func (g *fakeGateway) requests() ([]string, []uint64, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.seen, g.echoed, g.last
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

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("not within 20 s: %s", what)
}

// Guards against two owners at once: the owner changes only after the switch time without an answer. Also checks that
// grants are echoed and that a leaving server says so.
func TestOwnerChangesAfterSwitchTime(t *testing.T) {
	first, second := newFakeGateway(t), newFakeGateway(t)
	s, stop, ended := start(t, Options{Slots: 1, Gateways: []string{first.Listener.Addr().String(), second.Listener.Addr().String()}})
	eventually(t, "registration", func() bool { return s.announcer.ownerAddress() != "" })
	if s.announcer.ownerAddress() != first.Listener.Addr().String() {
		first, second = second, first
	}
	eventually(t, "an echoed grant", func() bool { _, echoed, _ := first.requests(); return echoed[len(echoed)-1] > 1 })
	first.mu.Lock()
	first.silent = true
	lastAnswer := first.last
	first.mu.Unlock()
	eventually(t, "the second owner", func() bool { seen, _, _ := second.requests(); return len(seen) > 0 })
	if waited := time.Since(lastAnswer); waited < 300*time.Millisecond {
		t.Errorf("the owner changed %s after its last answer", waited)
	}
	if _, echoed, _ := second.requests(); echoed[0] != 0 {
		t.Errorf("grant %d of the former owner was sent to the new one", echoed[0])
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if seen, _, _ := second.requests(); seen[len(seen)-1] != "/v1/servers/leave draining" {
		t.Errorf("expected a leave, got %v", seen)
	}
}

// Guards against a cold start that bears full load, which would hide gateways that send too much.
func TestColdServerFallsOverUnderFullLoad(t *testing.T) {
	s, _, _ := start(t, Options{Slots: 2, Queue: 2, ColdDuration: time.Hour, ServiceTime: 50 * time.Millisecond, RestartDelay: 10 * time.Millisecond})
	url := "http://" + s.options.Address + "/x"
	eventually(t, "one request at a time", func() bool { return get(url) == http.StatusOK })
	if s.Counts().Collapses != 0 {
		t.Fatal("the server fell over under one request")
	}
	for range 2 {
		go get(url)
	}
	eventually(t, "a breakdown under two", func() bool { return s.Counts().Collapses == 1 })
	eventually(t, "a new start", func() bool { return get(url) == http.StatusOK })
}

func get(url string) int {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

// Guards against a bench whose cold servers bear more or less than the policy bench assumes: one request, and one more
// for each ColdStep finished ones, up to the slots.
func TestColdStepBearsMoreAsRunsFinish(t *testing.T) {
	w := warmth{coldTime: time.Hour, step: 4, grace: time.Second}
	start := time.Now()
	w.chill(start)
	if w.arrived(start, 5, 3); w.peak != 0 {
		t.Errorf("peak %.1f counted within the grace time", w.peak)
	}
	for finished, bears := range []int{0: 1, 3: 1, 4: 2, 8: 3, 40: 3} {
		if bears == 0 {
			continue
		}
		w.completed = finished
		later := start.Add(2 * time.Second)
		if excess := w.arrived(later, bears, 3); excess != "" {
			t.Errorf("after %d runs: %s", finished, excess)
		}
		if w.arrived(later, bears+1, 3) == "" {
			t.Errorf("after %d runs: %d requests count as borne", finished, bears+1)
		}
	}
}

// Guards against noise that runs under way do not notice, which would make short shifts of the service time harmless or
// permanent for them.
func TestSlownessChangesRunsUnderWay(t *testing.T) {
	s, _, _ := start(t, Options{Slots: 1, ServiceTime: 20 * time.Millisecond})
	eventually(t, "an answer", func() bool { return get("http://"+s.options.Address+"/x") == http.StatusOK })
	s.faults.setSlowness(1e6)
	answered := make(chan int, 1)
	go func() { answered <- get("http://" + s.options.Address + "/x") }()
	eventually(t, "a run under way", func() bool { return s.running.Load() == 1 })
	s.faults.setSlowness(1)
	if status := <-answered; status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
