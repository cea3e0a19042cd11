package gateway

import (
	"encoding/json"
	"heatherwall.example/settings"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"heatherwall.example/api/controlpb"
)

// TestMain guards against goroutines that are still running after the gateways of the tests have stopped.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	if err := goleak.Find(); code == 0 && err != nil {
		_, _ = io.WriteString(os.Stderr, err.Error()+"\n")
		code = 1
	}
	os.Exit(code)
}

func reasonOf(body string) Reason {
	var p problem
	_ = json.Unmarshal([]byte(body), &p)
	return p.Reason
}

func (g *testGateway) get(t *testing.T, path string) int {
	t.Helper()
	r, err := http.Get("http://" + g.Admin + path)
	must(t, err)
	defer r.Body.Close()
	return r.StatusCode
}

func (g *testGateway) servers(t *testing.T) serversView {
	t.Helper()
	r, err := http.Get("http://" + g.Admin + "/servers")
	must(t, err)
	defer r.Body.Close()
	var v serversView
	must(t, json.NewDecoder(r.Body).Decode(&v))
	return v
}

// Guards against a planned stop that interrupts a request, and against /readyz that still succeeds during the stop.
func TestDrainFinishesRequestsInFlight(t *testing.T) {
	c := newCertificates(t)
	g := startGateway(t, c, "gw-1", startControl(t, c, "control-1", testSections(t)))
	started, release := make(chan struct{}), make(chan struct{})
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		select {
		case <-release:
		case <-time.After(testTimeout):
		}
		_, _ = io.WriteString(w, "whole answer")
	}))
	defer backend.Close()
	g.announce(t, "announce", serverAnnouncement(backend.Listener.Addr().String()))
	type got struct {
		answer *http.Response
		body   string
	}
	done := make(chan got, 1)
	go func() {
		answer, body := g.call(t, "GET", "/read", "")
		done <- got{answer, body}
	}()
	select {
	case <-started:
	case r := <-done:
		t.Fatalf("answered before the request reached the server: %d %q", r.answer.StatusCode, r.body)
	case <-time.After(testTimeout):
		t.Fatal("the request did not reach the server")
	}
	g.stop()
	eventually(t, "/readyz fails", func() bool { return g.get(t, "/readyz") == http.StatusServiceUnavailable })
	if answer, body := g.call(t, "GET", "/other", ""); reasonOf(body) != ReasonNoRule || !answer.Close {
		t.Errorf("request in the grace period: %s, close %v", body, answer.Close)
	}
	time.Sleep(2 * settings.DefaultDrainNoticeMs * time.Millisecond)
	close(release)
	if r := <-done; r.answer.StatusCode != http.StatusOK || r.body != "whole answer" {
		t.Errorf("response: %d %q", r.answer.StatusCode, r.body)
	}
}

// Guards against new requests to a server that left while its gateway had no gossip with the others. Responses without a
// state header are no evidence, so the evidence at the other gateway expires.
func TestLeavingServerGetsNoNewRequestsWithoutGossip(t *testing.T) {
	c := newCertificates(t)
	control := startControl(t, c, "control-1", testSections(t))
	first, second := startGateway(t, c, "gw-1", control), startGateway(t, c, "gw-2", control)
	control.set(func(a *controlpb.RenewAnswer) {
		a.GatewaysDigest = 1
		a.Gateways = []*controlpb.GatewayStatus{
			{Name: "gw-1", Region: "north", FailureDomain: "north-a", PeerAddress: first.Peer},
			{Name: "gw-2", Region: "north", FailureDomain: "north-a", PeerAddress: second.Peer},
		}
	})
	var leaving atomic.Bool
	var last atomic.Int64
	begin := time.Now()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !leaving.Load() {
			w.Header().Set(headerState, stateReady)
		}
		if r.URL.Path != stateProbePath {
			last.Store(int64(time.Since(begin)))
		}
	}))
	defer backend.Close()
	a := serverAnnouncement(backend.Listener.Addr().String())
	if status, _ := first.announce(t, "announce", a); status != http.StatusOK {
		t.Fatal(status)
	}
	eventually(t, "gossip brings the server to the other gateway", func() bool {
		first.announce(t, "renew", a)
		answer, _ := second.call(t, "GET", "/read", "")
		return answer.StatusCode == http.StatusOK
	})
	control.set(func(a *controlpb.RenewAnswer) { a.GatewaysDigest, a.Gateways = 2, nil })
	eventually(t, "the gateways have no peers", func() bool { return first.peers(t) == 0 && second.peers(t) == 0 })
	leaving.Store(true)
	left := time.Since(begin)
	if status, _ := first.announce(t, "leave", a); status != http.StatusOK {
		t.Fatal(status)
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		second.call(t, "GET", "/read", "")
	}
	if over := time.Duration(last.Load()) - left; over > 3*time.Second {
		t.Errorf("new request %s after leaving", over)
	}
	if first.announceStatus(t, "renew", a) == http.StatusOK {
		t.Error("the renewal of a server that left was accepted")
	}
}

func (g *testGateway) announceStatus(t *testing.T, kind string, a announcement) int {
	t.Helper()
	status, _ := g.announce(t, kind, a)
	return status
}

// peers returns 0 if the metrics show no peer, and else 1.
func (g *testGateway) peers(t *testing.T) int {
	t.Helper()
	r, err := http.Get("http://" + g.Admin + "/metrics")
	must(t, err)
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	must(t, err)
	if slices.Contains(strings.Split(string(text), "\n"), "heatherwall_peers 0") {
		return 0
	}
	return 1
}

// Guards against announcements that are accepted without a valid credential, with unknown or invalid fields, with a failure
// domain outside the topology, or above the size limit.
func TestAnnounceEndpointRefuses(t *testing.T) {
	c := newCertificates(t)
	g := startGateway(t, c, "gw-1", startControl(t, c, "control-1", testSections(t)))
	good := serverAnnouncement("127.0.0.1:9")
	text, err := json.Marshal(good)
	must(t, err)
	tests := []struct {
		credential, body string
		status           int
	}{
		{testCredential, string(text), 200},
		{"wrong", string(text), 401},
		{testCredential, strings.Replace(string(text), "labels", "other", 1), 401},
		{testCredential, strings.Replace(string(text), "north-a", "north-z", 1), 400},
		{testCredential, strings.Replace(string(text), `"north"`, `"south"`, 1), 400},
		{testCredential, strings.Replace(string(text), "127.0.0.1", "localhost", 1), 400},
		{testCredential, strings.Replace(string(text), `"slots":6`, `"slots":0`, 1), 400},
		{testCredential, strings.Replace(string(text), `"grant"`, `"more":1,"grant"`, 1), 400},
		{testCredential, string(text) + "{}", 400},
		{testCredential, `{"service":"` + strings.Repeat("x", maxAnnounceBytes) + `"}`, 413},
	}
	for _, tt := range tests {
		r, err := http.NewRequest("POST", "http://"+g.Announce+"/v1/servers/announce", strings.NewReader(tt.body))
		must(t, err)
		r.Header.Set("Authorization", "Bearer "+tt.credential)
		answer, err := http.DefaultClient.Do(r)
		must(t, err)
		_ = answer.Body.Close()
		if answer.StatusCode != tt.status {
			t.Errorf("%.80s: status %d, want %d", tt.body, answer.StatusCode, tt.status)
		}
	}
	unknown := serverAnnouncement("127.0.0.1:10")
	stale := good
	stale.Sequence = 0
	if g.announceStatus(t, "renew", unknown) != 404 || g.announceStatus(t, "announce", stale) != 409 {
		t.Error("an unknown or outdated server was accepted")
	}
	if v := g.servers(t); len(v.Servers) != 1 || v.Servers[0].Owner != "gw-1" || v.LeaseMs <= 0 {
		t.Errorf("servers: %+v", v)
	}
}
