package gateway

import (
	"context"
	"hash/fnv"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// cutMode is how a pathCut treats the connections of a gateway to backend servers.
type cutMode int32

const (
	cutNone cutMode = iota
	// cutSilent: packets get lost on existing and new connections.
	cutSilent
	// cutRefuse: new connections are refused, existing ones live on.
	cutRefuse
	// cutReset: existing connections are reset, packets of new ones get lost.
	cutReset
)

// pathCut stands between one gateway and all backend servers.
type pathCut struct {
	mode atomic.Int32
	// stopped is closed when the gateway has ended.
	stopped chan struct{}
	mu      sync.Mutex
	open    map[*cutConn]bool
}

func (c *pathCut) set(m cutMode) {
	c.mode.Store(int32(m))
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		if m == cutReset {
			reset(conn.Conn)
		}
	}
}

func (c *pathCut) dial(ctx context.Context, network, address string) (net.Conn, error) {
	switch cutMode(c.mode.Load()) {
	case cutRefuse:
		return nil, &UnreachableError{Address: address, Err: syscall.ECONNREFUSED}
	case cutSilent, cutReset:
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		select {
		case <-ctx.Done():
		case <-c.stopped:
		}
		return nil, &UnreachableError{Address: address, Err: context.DeadlineExceeded}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, &UnreachableError{Address: address, Err: err}
	}
	wrapped := &cutConn{Conn: conn, cut: c, closed: make(chan struct{})}
	c.mu.Lock()
	c.open[wrapped] = true
	c.mu.Unlock()
	return newBackendConn(wrapped), nil
}

// cutConn loses what it reads and writes while its pathCut is silent.
type cutConn struct {
	net.Conn
	cut    *pathCut
	closed chan struct{}
	once   sync.Once
}

func (c *cutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if cutMode(c.cut.mode.Load()) == cutSilent && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *cutConn) Write(p []byte) (int, error) {
	if cutMode(c.cut.mode.Load()) == cutSilent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *cutConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.cut.mu.Lock()
		delete(c.cut.open, c)
		c.cut.mu.Unlock()
	})
	return c.Conn.Close()
}

// catalogueControl is a control replica that confirms one catalogue and lists the gateways that renew.
type catalogueControl struct {
	controlpb.UnimplementedConfigurationsServer
	address string

	mu       sync.Mutex
	routes   *controlpb.RouteTable
	servers  []*controlpb.BackendServer
	gateways map[string]*controlpb.GatewayStatus
}

func startCatalogueControl(t *testing.T, servers []*controlpb.BackendServer) *catalogueControl {
	t.Helper()
	share := []*controlpb.RouteShare{{Service: "s", Weight: 1}}
	route := func(name, prefix string, idempotent bool, regions ...string) *controlpb.Route {
		return &controlpb.Route{Name: name, Host: "a.example", PathPrefix: prefix, TimeoutMs: 2000, MaxAttempts: 2, Idempotent: idempotent, Regions: regions, Shares: share}
	}
	s := &catalogueControl{servers: servers, gateways: map[string]*controlpb.GatewayStatus{}, routes: &controlpb.RouteTable{
		Version: 1, Services: []*controlpb.RoutedService{{Name: "s", HealthPath: "/healthz"}},
		Routes: []*controlpb.Route{route("read", "/", true), route("write", "/write/", false), route("home", "/home/", true, "south")},
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	server := grpc.NewServer()
	controlpb.RegisterConfigurationsServer(server, s)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	s.address = l.Addr().String()
	return s
}

func (s *catalogueControl) Watch(stream grpc.BidiStreamingServer[controlpb.RenewRequest, controlpb.RenewAnswer]) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := stream.Send(s.answer(request)); err != nil {
			return err
		}
	}
}

func (s *catalogueControl) answer(request *controlpb.RenewRequest) *controlpb.RenewAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateways[request.GetGateway().GetName()] = request.GetGateway()
	a := &controlpb.RenewAnswer{Nonce: request.GetNonce(), ClusterId: 7, GatewaysComplete: true}
	digest := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(s.gateways)) {
		a.Gateways = append(a.Gateways, s.gateways[name])
		text, _ := proto.MarshalOptions{Deterministic: true}.Marshal(s.gateways[name])
		_, _ = digest.Write(text)
	}
	a.GatewaysDigest = digest.Sum64()
	if request.GetCatalogueIndex() == 0 {
		a.Catalogue = &controlpb.CatalogueDelta{Index: 1, Routes: s.routes, Servers: s.servers}
	}
	return a
}

// status returns the last status of a gateway, or nil.
func (s *catalogueControl) status(name string) *controlpb.GatewayStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gateways[name]
}

// relayServers are backend servers in two failure domains of each of two regions. They count the runs of each path.
type relayServers struct {
	records []*controlpb.BackendServer
	handle  func(w http.ResponseWriter, r *http.Request)
	// hidesLoad makes the servers report no load, so that they are not asked for it.
	hidesLoad bool

	mu   sync.Mutex
	runs map[string]int
	in   map[string][]string // regions in which each path ran
}

func startRelayServers(t *testing.T) *relayServers {
	t.Helper()
	s := &relayServers{runs: map[string]int{}, in: map[string][]string{}}
	for _, domain := range []string{"north-a", "north-a", "north-b", "north-b", "south-a", "south-a"} {
		region, _, _ := strings.Cut(domain, "-")
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(region, w, r) }))
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		s.records = append(s.records, &controlpb.BackendServer{Id: "i-" + address, Service: "s", Address: address, Region: region, FailureDomain: domain, Incarnation: 1, Slots: 8, Changed: 1})
	}
	return s
}

func (s *relayServers) serve(region string, w http.ResponseWriter, r *http.Request) {
	if !s.hidesLoad {
		w.Header().Set(headerLoad, "0/8")
	}
	if r.URL.Path == "/healthz" {
		return
	}
	s.mu.Lock()
	s.runs[r.URL.Path]++
	s.in[r.URL.Path] = append(s.in[r.URL.Path], region)
	s.mu.Unlock()
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	if s.handle != nil {
		s.handle(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = w.Write(append([]byte("ran "), body...))
}

func (s *relayServers) runsOf(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[path]
}

func (s *relayServers) regionsOf(path string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.in[path])
}

const testWorkspaceHeader = "X-Workspace"

// relayDialect passes on all headers and request IDs, like a dialect without a prefix.
var relayDialect = func() *Dialect {
	d := *nativeDialect
	d.Prefix, d.PassRequestID = "", true
	d.AuthScheme, d.Workspace = "Token", testWorkspaceHeader
	return &d
}()

// relayGateway is a gateway that serves a catalogue, with a pathCut to the backend servers.
type relayGateway struct {
	Addresses
	*daemon
	cut    *pathCut
	client *http.Client
	// stop begins the planned stop of the gateway.
	stop context.CancelFunc
}

func startRelayGateway(t *testing.T, control *catalogueControl, name, domain string) *relayGateway {
	t.Helper()
	region, _, _ := strings.Cut(domain, "-")
	d, err := newDaemon(relayGatewaySettings(control, name, region, domain), telemetry.NewLogger(io.Discard, telemetry.Info), Options{Dialect: relayDialect})
	must(t, err)
	g := &relayGateway{daemon: d, cut: &pathCut{open: map[*cutConn]bool{}, stopped: make(chan struct{})}, client: &http.Client{Transport: &http.Transport{}}}
	d.path.transport.(*http.Transport).DialContext = d.path.serverPath().watchDials(g.cut.dial)
	must(t, d.listen())
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	ready, ended := make(chan Addresses, 1), make(chan error, 1)
	go func() { ended <- d.run(ctx, func(a Addresses) { ready <- a }) }()
	g.Addresses = <-ready
	t.Cleanup(func() {
		g.client.CloseIdleConnections()
		cancel()
		must(t, <-ended)
		close(g.cut.stopped)
	})
	eventually(t, name+" has a catalogue", func() bool { return d.lease.Current().isConfigured() })
	return g
}

func relayGatewaySettings(control *catalogueControl, name, region, domain string) *settings.Gateway {
	local := settings.Listener{Address: "127.0.0.1:0"}
	return &settings.Gateway{
		Instance: settings.Instance{Name: name, Region: region, FailureDomain: domain, LogLevel: "info"},
		Callers:  local, Admin: local, Peer: settings.Listener{Plaintext: true},
		Control:     []settings.Replica{{Name: "control-1", Address: control.address, Region: region, FailureDomain: domain}},
		Catalogue:   &settings.GatewayCatalogue{Relay: local, ServeStaleSeconds: 30, ApplyMs: settings.DefaultApplyMs, Retry: settings.RetryBudget{Ratio: 0.1, Slack: 20, WindowSeconds: 10}},
		MaxRequests: 100, DrainNoticeMs: 1, DrainSeconds: 20,
	}
}

// send sends a request with a timeout of a second to the gateway and returns status, body and header; status is 0 if there
// is no complete response.
func (g *relayGateway) send(t *testing.T, method, path, body string, header ...string) (int, string, http.Header) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+g.Callers+path, strings.NewReader(body))
	must(t, err)
	r.Host = "a.example"
	r.Header.Set(headerDeadline, "1000")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := g.client.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return answer.StatusCode, string(text), answer.Header
}

// startRelayGateways starts gateways in the given failure domains, named gw-1, gw-2 and so on, which know each other.
func startRelayGateways(t *testing.T, control *catalogueControl, domains ...string) []*relayGateway {
	t.Helper()
	var list []*relayGateway
	for i, domain := range domains {
		list = append(list, startRelayGateway(t, control, "gw-"+string(rune('1'+i)), domain))
	}
	for _, g := range list {
		eventually(t, "the gateways know each other", func() bool { return len(g.lease.Current().gateways) == len(domains) })
	}
	return list
}
