package gateway

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
	"heatherwall.example/testbed/devcerts"
)

const (
	testToken      = "token-1"
	southToken     = "token-2"
	testCredential = "credential-1"
	// testTimeout limits the polling of eventually and the waits of other tests.
	testTimeout = 20 * time.Second
)

func hexSum(s string) string {
	sum := sha256.Sum256([]byte(s))
	return hex.EncodeToString(sum[:])
}

// certificates is a folder with the certificates of all test instances.
type certificates struct{ folder string }

func newCertificates(t *testing.T) *certificates {
	t.Helper()
	c := &certificates{folder: t.TempDir()}
	must(t, devcerts.Write(c.folder, []string{"gw-1", "gw-2", "control-1", "control-2"}))
	return c
}

func (c *certificates) issue(name string) *settings.TLS {
	path := func(file string) string { return filepath.Join(c.folder, file) }
	return &settings.TLS{Certificate: path(name + ".pem"), Key: path(name + ".key"), Authority: path(devcerts.AuthorityName + ".pem")}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// eventually polls until ok returns true, and fails the test after testTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not reached: %s", what)
}

// controlStub is a control replica that confirms one configuration and grants every claim once.
type controlStub struct {
	controlpb.UnimplementedConfigurationsServer
	controlpb.UnimplementedClaimsServer
	address string
	server  *grpc.Server

	mu          sync.Mutex
	answer      *controlpb.RenewAnswer
	completions map[string]*controlpb.CompleteRequest
	granted     map[string]*controlpb.ClaimRequest
}

func (s *controlStub) set(change func(a *controlpb.RenewAnswer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s.answer)
}

func (s *controlStub) Watch(stream grpc.BidiStreamingServer[controlpb.RenewRequest, controlpb.RenewAnswer]) error {
	for {
		request, err := stream.Recv()
		if err != nil {
			return err
		}
		s.mu.Lock()
		answer := &controlpb.RenewAnswer{Nonce: request.Nonce, Revision: s.answer.Revision, Full: true, Sections: s.answer.Sections,
			DomainsOut: s.answer.DomainsOut, Gateways: s.answer.Gateways, GatewaysDigest: s.answer.GatewaysDigest, GatewaysComplete: true, ClaimLeaders: s.answer.ClaimLeaders, ClusterId: 7}
		s.mu.Unlock()
		if err := stream.Send(answer); err != nil {
			return err
		}
	}
}

func (s *controlStub) Claim(_ context.Context, r *controlpb.ClaimRequest) (*controlpb.ClaimAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := string(r.Key)
	first, taken := s.granted[key]
	done := s.completions[key]
	result := controlpb.ClaimResult_CLAIM_GRANTED
	switch {
	case !taken || first.Holder == r.Holder:
		s.granted[key] = r
	case !bytes.Equal(first.Fingerprint, r.Fingerprint):
		result = controlpb.ClaimResult_CLAIM_KEY_REUSED
	case done == nil:
		result = controlpb.ClaimResult_CLAIM_IN_PROGRESS
	case done.Outcome == outcomeNotRun:
		s.granted[key], result = r, controlpb.ClaimResult_CLAIM_GRANTED_AGAIN
		delete(s.completions, key)
	case done.Outcome == outcomeUnknown:
		result = controlpb.ClaimResult_CLAIM_OUTCOME_UNKNOWN
	case done.Kept != nil:
		return &controlpb.ClaimAnswer{Result: controlpb.ClaimResult_CLAIM_KEPT_ANSWER, Kept: done.Kept}, nil
	default:
		result = controlpb.ClaimResult_CLAIM_ALREADY_RUN
	}
	return &controlpb.ClaimAnswer{Result: result}, nil
}

func (s *controlStub) Complete(_ context.Context, r *controlpb.CompleteRequest) (*controlpb.CompleteAnswer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if first := s.granted[string(r.Key)]; first != nil && first.Holder == r.Holder {
		s.completions[string(r.Key)] = r
	}
	return &controlpb.CompleteAnswer{Accepted: true}, nil
}

func (s *controlStub) completed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.completions)
}

func startControl(t *testing.T, c *certificates, name string, sections []*controlpb.Section) *controlStub {
	t.Helper()
	s := &controlStub{completions: map[string]*controlpb.CompleteRequest{}, granted: map[string]*controlpb.ClaimRequest{}, answer: &controlpb.RenewAnswer{Revision: 1, Sections: sections}}
	s.address = serveControl(t, c, name, s, s)
	return s
}

// serveControl starts a control replica that serves until the test ends, and returns its address.
func serveControl(t *testing.T, c *certificates, name string, configurations controlpb.ConfigurationsServer, claims controlpb.ClaimsServer) string {
	t.Helper()
	id, err := loadIdentity(name, settings.Listener{TLS: c.issue(name)})
	must(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(id.serverConfig())))
	controlpb.RegisterConfigurationsServer(server, configurations)
	controlpb.RegisterClaimsServer(server, claims)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	if s, ok := configurations.(*controlStub); ok {
		s.server = server
	}
	return l.Addr().String()
}

// testGateway is a gateway started by Run.
type testGateway struct {
	Addresses
	stop   context.CancelFunc
	ended  chan error
	client *http.Client
}

func startGateway(t *testing.T, c *certificates, name string, replicas ...*controlStub) *testGateway {
	t.Helper()
	return startGatewayWith(t, c, name, func(*settings.Gateway) {}, replicas...)
}

// startGatewayWith starts a gateway with changed settings.
func startGatewayWith(t *testing.T, c *certificates, name string, change func(*settings.Gateway), replicas ...*controlStub) *testGateway {
	t.Helper()
	any := settings.Listener{Address: "127.0.0.1:0"}
	s := &settings.Gateway{
		Instance: settings.Instance{Name: name, Region: "north", FailureDomain: "north-a", LogLevel: "info"},
		Callers:  any, Announce: any, Admin: any, Peer: settings.Listener{Address: "127.0.0.1:0", TLS: c.issue(name)},
		MaxRequests: 100, DrainNoticeMs: settings.DefaultDrainNoticeMs, DrainSeconds: 20,
	}
	for i, r := range replicas {
		s.Control = append(s.Control, settings.Replica{Name: fmt.Sprintf("control-%d", i+1), Address: r.address, Region: "north", FailureDomain: "north-a"})
	}
	change(s)
	ctx, cancel := context.WithCancel(context.Background())
	g := &testGateway{stop: cancel, ended: make(chan error, 1), client: &http.Client{Transport: &http.Transport{}}}
	ready := make(chan Addresses, 1)
	go func() {
		g.ended <- Run(ctx, s, telemetry.NewLogger(io.Discard, telemetry.Info), func(a Addresses) { ready <- a }, Options{})
	}()
	select {
	case g.Addresses = <-ready:
	case err := <-g.ended:
		t.Fatal(err)
	}
	t.Cleanup(func() {
		g.client.CloseIdleConnections()
		cancel()
		if err := <-g.ended; err != nil {
			t.Error(err)
		}
	})
	eventually(t, "gateway is ready", func() bool {
		r, err := http.Get("http://" + g.Admin + "/readyz")
		if err != nil {
			return false
		}
		defer r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
	return g
}

func (g *testGateway) announce(t *testing.T, kind string, a announcement) (int, announceResponse) {
	t.Helper()
	body, err := json.Marshal(a)
	must(t, err)
	r, err := http.NewRequest(http.MethodPost, "http://"+g.Announce+"/v1/servers/"+kind, bytes.NewReader(body))
	must(t, err)
	r.Header.Set("Authorization", "Bearer "+testCredential)
	answer, err := http.DefaultClient.Do(r)
	must(t, err)
	defer answer.Body.Close()
	var out announceResponse
	_ = json.NewDecoder(answer.Body).Decode(&out)
	return answer.StatusCode, out
}

func (g *testGateway) call(t *testing.T, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, "http://"+g.Callers+path, strings.NewReader(body))
	must(t, err)
	r.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	answer, err := g.client.Do(r)
	must(t, err)
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	must(t, err)
	return answer, string(text)
}
