package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"heatherwall.example/telemetry"
)

// recordingRegistrar records and accepts every announcement that the endpoint passes on.
type recordingRegistrar struct{ seen []announcement }

func (r *recordingRegistrar) Register(_ announceKind, a announcement) (uint64, error) {
	r.seen = append(r.seen, a)
	return 1, nil
}

// Guards against bodies that crash the announce endpoint, and against accepting values that the state must never hold.
func FuzzAnnounce(f *testing.F) {
	f.Add(`{"service":"labels","address":"127.0.0.1:9","failure_domain":"north-a","region":"north","incarnation":1,"sequence":1,"state":"ready","slots":6}`)
	f.Add(`{"service":"labels","address":"[::1]:9","failure_domain":"south-a","region":"north","incarnation":1,"state":"left","slots":-1}`)
	f.Add(`{"service":"labels","inflight":1e99}`)
	config, err := compileSections(testSections(f))
	must(f, err)
	f.Fuzz(func(t *testing.T, body string) {
		registrar := &recordingRegistrar{}
		s := &announceServer{
			configuration: &fixedConfiguration{lease: &lease{config: config}}, registrar: registrar,
			log: telemetry.NewLogger(io.Discard, telemetry.Error), counters: telemetry.NewMetrics(),
		}
		r := httptest.NewRequest("POST", "/v1/servers/announce", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+testCredential)
		w := httptest.NewRecorder()
		s.handler().ServeHTTP(w, r)
		if (w.Code == http.StatusOK) != (len(registrar.seen) == 1) {
			t.Fatalf("status %d, %d registrations", w.Code, len(registrar.seen))
		}
		for _, a := range registrar.seen {
			region, _ := config.RegionOf(a.FailureDomain)
			host, _, err := net.SplitHostPort(a.Address)
			if err != nil || net.ParseIP(host) == nil || a.Region != region || a.Slots < 1 || a.Incarnation == 0 || a.Inflight < 0 {
				t.Fatalf("accepted %+v", a)
			}
		}
	})
}

// Guards against caller input that crashes the request path, and against forwarding the token or hop-by-hop headers to
// a backend server.
func FuzzRequestPath(f *testing.F) {
	f.Add("GET /read HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testToken + "\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\r\n")
	f.Add("PUT /read HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testToken + "\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n1\r\nx\r\n0\r\nA: b\r\n\r\n")
	f.Add("POST /issue HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testToken + "\r\nIdempotency-Key: 0\r\nContent-Length: 1\r\n\r\nx")
	f.Add("GET //read/../issue HTTP/1.1\r\nHost: x\r\nHeatherwall-Depth: 99\r\nHeatherwall-Deadline-Ms: -1\r\n\r\n")
	var problems, hop []string
	fixture := newPathFixture(f, "127.0.0.1:1")
	fixture.transport = roundTrip(func(r *http.Request) (*http.Response, error) {
		for _, name := range append(hop, "Authorization", "Connection", "Upgrade") {
			if r.Header.Get(name) != "" {
				problems = append(problems, name)
			}
		}
		return nil, &UnreachableError{Address: r.URL.Host}
	})
	f.Fuzz(func(t *testing.T, text string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		problems, hop = nil, nil
		if r.Header.Get("Connection") == "X-Hop" {
			hop = []string{"X-Hop"}
		}
		w := httptest.NewRecorder()
		fixture.serve(&call{w: w, r: r, ctx: r.Context(), arrived: fixture.clock.now()})
		if reason := reasonOf(w.Body.String()); reasons[reason].status != w.Code || len(problems) > 0 {
			t.Fatalf("status %d, reason %q, forwarded headers %v", w.Code, reason, problems)
		}
	})
}

// BenchmarkAddedTime alternates a direct call with a call through the request path, and reports the latency of both.
func BenchmarkAddedTime(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	f := newPathFixture(b, server.Listener.Addr().String())
	through := f.request(b, "GET", "/read", "")
	direct := through.Clone(b.Context())
	direct.URL.Host = server.Listener.Addr().String()
	var times [2][]time.Duration
	for b.Loop() {
		for i, r := range []*http.Request{direct, through} {
			start := time.Now()
			if status, _, _ := f.do(b, r); status != http.StatusOK {
				b.Fatal(status)
			}
			times[i] = append(times[i], time.Since(start))
		}
	}
	for i, name := range []string{"direct", "gateway"} {
		b.ReportMetric(float64(quantile(times[i], 50).Microseconds()), name+"-p50-µs")
		b.ReportMetric(float64(quantile(times[i], 99).Microseconds()), name+"-p99-µs")
	}
}
