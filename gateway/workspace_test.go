package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// startWorkspaceControl returns a control replica whose route table requires keys.
func startWorkspaceControl(t *testing.T, servers *relayServers) *catalogueControl {
	t.Helper()
	c := startCatalogueControl(t, servers.records)
	c.routes.KeysRequired = true
	for name, key := range map[string]string{"everywhere": "key-1", "southern": "key-2"} {
		digest := document.TokenDigest(key)
		w := &controlpb.Workspace{Name: name, KeyDigests: [][]byte{digest[:]}}
		if name == "southern" {
			w.Regions = []string{"south"}
		}
		c.routes.Workspaces = append(c.routes.Workspaces, w)
	}
	first := c.routes.Routes[0]
	c.routes.Routes = append(c.routes.Routes,
		&controlpb.Route{Name: "public", Host: first.Host, PathPrefix: "/public/", TimeoutMs: 2000, MaxAttempts: 2, Idempotent: true, Public: true, Shares: first.Shares},
		&controlpb.Route{Name: "northern", Host: first.Host, PathPrefix: "/northern/", TimeoutMs: 2000, MaxAttempts: 2, Idempotent: true, Regions: []string{"north"}, Shares: first.Shares},
	)
	return c
}

// seenHeaders collects the headers and trailers of requests at backend servers by path.
type seenHeaders struct {
	mu   sync.Mutex
	seen map[string]http.Header
}

func (s *seenHeaders) handle(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := r.Header.Clone()
	for name, values := range r.Trailer {
		h["Trailer:"+name] = values
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen[r.URL.Path] = h
}

func (s *seenHeaders) of(path string) http.Header {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[path]
}

// Guards against a request that runs for another workspace than that of its key, outside the regions of its workspace, or
// without a valid key, and against a key that reaches a backend server; at the gateway of the caller and through a relay.
func TestWorkspaceOfTheKey(t *testing.T) {
	servers, headers := startRelayServers(t), &seenHeaders{seen: map[string]http.Header{}}
	servers.handle = headers.handle
	control := startWorkspaceControl(t, servers)
	gateways := startRelayGateways(t, control, "north-a", "south-a")
	spoofed := []string{testWorkspaceHeader, "southern", "x-workspace", "southern", "X_Workspace", "southern", "Connection", "X-Workspace", "Heatherwall-Relay-Workspace", "southern"}
	check := func(t *testing.T, mode string) {
		for _, test := range []struct {
			name, path, key string
			status          int
			workspace       string
		}{
			{"key", "/a", "Token key-1", 200, "everywhere"},
			{"lower case", "/b", "token key-1", 200, "everywhere"},
			{"write", "/write/c", "Token key-1", 200, "everywhere"},
			{"regions", "/d", "Token key-2", 200, "southern"},
			{"no key", "/e", "", 401, ""},
			{"unknown key", "/f", "Token key-3", 401, ""},
			{"empty key", "/g", "Token ", 401, ""},
			{"other scheme", "/h", "Bearer key-1", 401, ""},
			{"public", "/public/i", "", 200, ""},
			{"public with a key", "/public/j", "Token key-1", 200, "everywhere"},
			{"public with an unknown key", "/public/k", "Token key-3", 200, ""},
			{"no common region", "/northern/l", "Token key-2", 503, ""},
		} {
			path := test.path + "-" + mode
			method := http.MethodGet
			if strings.HasPrefix(path, "/write/") {
				method = http.MethodPost
			}
			header := spoofed
			if test.key != "" {
				header = append(slices.Clone(spoofed), "Authorization", test.key)
			}
			status, text, _ := gateways[0].send(t, method, path, "", header...)
			if status != test.status {
				t.Errorf("%s: %d %s; want %d", test.name, status, text, test.status)
			}
			h := headers.of(path)
			if (h != nil) != (test.status == http.StatusOK) {
				t.Errorf("%s: headers at a server: %v", test.name, h)
				continue
			}
			requireWorkspace(t, test.name, h, test.workspace)
			if test.workspace == "southern" && slices.ContainsFunc(servers.regionsOf(path), func(region string) bool { return region != "south" }) {
				t.Errorf("%s: ran in %v", test.name, servers.regionsOf(path))
			}
		}
	}
	t.Run("direct", func(t *testing.T) {
		check(t, "direct")
		sendWithTrailer(t, gateways[0], "/trailer")
		requireWorkspace(t, "trailer", headers.of("/trailer"), "everywhere")
	})
	t.Run("relayed", func(t *testing.T) {
		gateways[0].cut.set(cutReset)
		eventually(t, "the gateway notices that it is cut off", func() bool {
			gateways[0].send(t, http.MethodGet, "/public/probe", "")
			return gateways[0].path.serverPath().isCutOff()
		})
		check(t, "relayed")
		if gateways[1].counters.UnlabeledCounter("requests_relayed_here").Count() == 0 {
			t.Error("no request was relayed")
		}
	})
}

// requireWorkspace checks that a server was told this workspace only, and no key.
func requireWorkspace(t *testing.T, name string, h http.Header, want string) {
	t.Helper()
	for key, values := range h {
		isWorkspace := strings.Contains(strings.ToLower(strings.ReplaceAll(key, "_", "-")), "workspace")
		if isWorkspace && (want == "" || !slices.Equal(values, []string{want}) || key != testWorkspaceHeader) {
			t.Errorf("%s: a server got %s: %q; want %q", name, key, values, want)
		}
		if strings.Contains(fmt.Sprint(values), "key-") {
			t.Errorf("%s: a server got the key in %s: %q", name, key, values)
		}
	}
	if h != nil && h.Get(testWorkspaceHeader) != want {
		t.Errorf("%s: a server got workspace %q; want %q", name, h.Get(testWorkspaceHeader), want)
	}
}

// sendWithTrailer sends a request whose trailer names another workspace.
func sendWithTrailer(t *testing.T, g *relayGateway, path string) {
	t.Helper()
	conn, err := net.Dial("tcp", g.Callers)
	must(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\n%s: 1000\r\nAuthorization: Token key-1\r\nTransfer-Encoding: chunked\r\n"+
		"Trailer: X-Workspace, Authorization, X-Sum\r\n\r\n2\r\nab\r\n0\r\nX-Workspace: southern\r\nAuthorization: Token key-2\r\nX-Sum: 1\r\n\r\n", path, headerDeadline)
	must(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	must(t, err)
	if answer.StatusCode != http.StatusOK {
		t.Errorf("status %d", answer.StatusCode)
	}
}

// Guards against a relay outside the regions of a workspace that runs its request, or runs one of a workspace that it does
// not know: the other gateway may have an older or a newer route table.
func TestRelayChecksWorkspace(t *testing.T) {
	servers := startRelayServers(t)
	g := startRelayGateway(t, startWorkspaceControl(t, servers), "gw-1", "north-a")
	for workspace, want := range map[string]string{"everywhere": relayAnswered, "southern": relayNotRun, "unknown": relayNotRun, "": relayNotRun} {
		r, err := http.NewRequest(http.MethodGet, "http://"+g.Relay+"/of-"+workspace, nil)
		must(t, err)
		r.Host = "a.example"
		(&relayedCall{deadline: time.Second, patience: time.Second, service: "s", routes: 1, workspace: workspace}).write(r.Header)
		answer, err := g.client.Do(r)
		must(t, err)
		_ = answer.Body.Close()
		if outcome := answer.Header.Get(headerRelayOutcome); outcome != want || (servers.runsOf("/of-"+workspace) > 0) != (want == relayAnswered) {
			t.Errorf("workspace %q: %s, %d runs; want %s", workspace, outcome, servers.runsOf("/of-"+workspace), want)
		}
	}
}

// Guards against a 401 for a key that a newer route table may have, while the gateway does not have that table.
func TestUnknownKeyMayBeNew(t *testing.T) {
	p, client := newStartingPath(t)
	table := routeTable(1)
	table.KeysRequired = true
	_, err := client.applyAnswer(catalogueAnswer(0, 1, table), time.Hour)
	must(t, err)
	for newest, want := range map[uint64]Reason{1: ReasonUnauthenticated, 2: ReasonConfigurationStale} {
		l := *client.Current()
		l.catalogue.routesConfirmedAt, l.catalogue.newestRoutes = p.clock.now(), newest
		r := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
		r.Header.Set("Authorization", "Bearer new")
		c := &call{r: r, lease: &l, arrived: p.clock.now()}
		if refusal := p.matchRoute(c); refusal != nil {
			t.Fatal(refusal)
		}
		if refusal := p.identifyWorkspace(c); refusal == nil || refusal.Reason != want {
			t.Errorf("newest version %d: %v; want %s", newest, refusal, want)
		}
	}
}

// Guards against a request that is run for the first of two keys by one reader and for the second by another.
func TestTwoKeysAreNone(t *testing.T) {
	d := &Dialect{AuthScheme: "Token"}
	for _, test := range []struct {
		values []string
		want   string
	}{
		{nil, ""}, {[]string{"Token a"}, "a"}, {[]string{"TOKEN  a "}, "a"}, {[]string{"Token a", "Token b"}, ""}, {[]string{"Token"}, ""}, {[]string{"Tokens a"}, ""}, {[]string{"a"}, ""},
	} {
		token, ok := d.callerToken(http.Header{"Authorization": test.values})
		if token != test.want || ok != (test.want != "") {
			t.Errorf("%q: %q, %t; want %q", test.values, token, ok, test.want)
		}
	}
}
