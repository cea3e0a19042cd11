package gateway

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/balance"
	"heatherwall.example/gateway/headscan"
	"heatherwall.example/telemetry"
)

// Guards against a gateway that takes itself for cut off because servers send invalid responses, which prove that the path to
// them works.
func TestInvalidAnswersProveThePath(t *testing.T) {
	servers := []string{"a", "b", "c", "d", "e", "f"}
	for _, tt := range []struct {
		err     error
		suspect bool
	}{{&headscan.Error{Problem: headscan.NotHTTP}, false}, {io.ErrUnexpectedEOF, true}} {
		path := newServerPath(newClock(), http.DefaultTransport, telemetry.NewLogger(io.Discard, telemetry.Info), telemetry.NewMetrics())
		for _, address := range servers {
			path.asked(address)
			path.ended(address, tt.err)
		}
		if got := path.reach.IsSuspect(path.clock.now() + time.Second); got != tt.suspect {
			t.Errorf("after %v: suspect %v, want %v", tt.err, got, tt.suspect)
		}
	}
}

// expectProbesFail checks that probes believe nothing in responses of the servers that answers returns, which send a header.
func expectProbesFail(t *testing.T, answers func(header string) (address string)) {
	t.Helper()
	p := newTestLoadProber(t)
	target := newOneServerEngine(p, answers(headerState+": "+stateDraining+"\r\n")).Current().ProbeTargets(newLabelsQuery(p), false)[0]
	if p.probe("labels", "/healthz", target) || p.isMuted("labels") {
		t.Error("the load probe believes that the server reports no load")
	}
	if target.Standing(p.clock.now()) != balance.StandingReady {
		t.Error("the load probe believes that the server leaves")
	}
	ctx, cancel := probeContext(t)
	defer cancel()
	if report, err := newHTTPStateProber().Probe(ctx, answers(headerState+": "+stateReady+"\r\n")); err == nil {
		t.Errorf("the state probe believes %+v", report)
	}
}

// expectRelayFails checks that a gateway does not believe another one, which answers with text, that a request did not run.
func expectRelayFails(t *testing.T, text string) {
	t.Helper()
	relay, requests := rawServer(t, func(c net.Conn, _ *http.Request) { write(c, text) })
	control := startCatalogueControl(t, startRelayServers(t).records)
	control.gateways["gw-2"] = &controlpb.GatewayStatus{Name: "gw-2", Region: "north", FailureDomain: "north-b", RelayAddress: relay}
	g := startRelayGateway(t, control, "gw-1", "north-a")
	eventually(t, "the gateway knows the relay", func() bool { return len(g.lease.Current().gateways) == 2 })
	g.awaitCutOff(t)
	if status, body, _ := g.send(t, http.MethodPost, "/write/1", "x"); status != http.StatusBadGateway {
		t.Errorf("%d %.120q; want a refusal with 502 that does not say whether it ran", status, body)
	}
	if requests.Load() == 0 {
		t.Error("no request reached the relay")
	}
}
