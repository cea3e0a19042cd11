package control

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// Guards against a metrics page that is empty or does not reflect the activity of the replica.
func TestRunningReplicaExportsCounters(t *testing.T) {
	peers, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	admin, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &settings.Control{DataFolder: t.TempDir()}
	s.Name, s.Region = "c1", "near"
	s.Peers = []settings.Replica{{Name: "c1", Region: "near"}}
	r := newReplica(s, &tls.Config{}, telemetry.NewLogger(io.Discard, telemetry.Error))
	r.options.Bootstrap = true
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- r.run(ctx, peers, admin) }()
	for deadline := time.Now().Add(30 * time.Second); ; time.Sleep(tickInterval) {
		page := fetchMetrics(t, "http://"+admin.Addr().String()+"/metrics")
		if strings.Contains(page, `heatherwall_leadership_changes_total{change="gained"} 1`) {
			checkExported(t, page)
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("no leadership counted in:\n%s", page)
		}
	}
	cancel()
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
}

func fetchMetrics(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	page, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

func checkExported(t *testing.T, page string) {
	t.Helper()
	for _, name := range []string{
		`changes_total{result="accepted"}`, `claims_total{result="granted"}`, "renewals_confirmed_total",
		`renewals_refused_total{reason="stale"}`, `read_rounds_total{result="confirmed"}`, "snapshots_total",
		`peer_messages_dropped_total{cause="queue_full"}`,
	} {
		if !strings.Contains(page, "heatherwall_"+name+" ") {
			t.Errorf("%s is missing in:\n%s", name, page)
		}
	}
}

// Guards against outcomes that are counted under a wrong label or not at all.
func TestOutcomesAreCountedByName(t *testing.T) {
	c := newCounters()
	c.countRenewal(nil)
	c.countRenewal(fmt.Errorf("renewal: %w", &StaleError{Group: 1}))
	c.countRenewal(context.DeadlineExceeded)
	c.countRenewal(&OverloadedError{})
	c.countChange(&controlpb.ApplyAnswer{Outcome: &controlpb.ChangeOutcome{Result: controlpb.ChangeResult_CHANGE_CONFLICT}}, nil)
	c.countChange(&controlpb.ApplyAnswer{NotLeader: true}, nil)
	c.countClaim(&controlpb.ClaimAnswer{Result: controlpb.ClaimResult_CLAIM_KEY_REUSED}, nil)
	c.countClaim(nil, &StaleError{Group: 2})
	recorder := httptest.NewRecorder()
	c.exporter.ServeHTTP(recorder, nil)
	page := recorder.Body.String()
	for _, line := range []string{
		"renewals_confirmed_total 1", `renewals_refused_total{reason="stale"} 2`,
		`renewals_refused_total{reason="overloaded"} 1`, `changes_total{result="conflict"} 1`,
		`changes_total{result="undecided"} 0`, `claims_total{result="key_reused"} 1`, `claims_total{result="undecided"} 1`,
	} {
		if !strings.Contains(page, "heatherwall_"+line+"\n") {
			t.Errorf("%q is missing in:\n%s", line, page)
		}
	}
}
