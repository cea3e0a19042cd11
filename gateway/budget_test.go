package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/balance/budget"
)

// gauge returns the value of a metric of the gateway; 0 if it is missing.
func (g *testGateway) gauge(t *testing.T, name string) int64 {
	t.Helper()
	r, err := http.Get("http://" + g.Admin + "/metrics")
	must(t, err)
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	must(t, err)
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			must(t, err)
			return n
		}
	}
	return 0
}

// flap announces a server and lets it leave, repeatedly until end, with a new incarnation each time.
func (g *testGateway) flap(t *testing.T, port int, end time.Time) {
	a := serverAnnouncement("127.0.0.1:" + strconv.Itoa(port))
	for ; time.Now().Before(end); a.Incarnation++ {
		if status, _ := g.announce(t, "announce", a); status == http.StatusOK {
			g.announce(t, "leave", a)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// lists reports whether the gateway lists a server.
func (g *testGateway) lists(t *testing.T, address string) bool {
	for _, s := range g.servers(t).Servers {
		if s.Address == address {
			return true
		}
	}
	return false
}

// Guards against exceeding the measurement budget of the document while servers flap, and against losing a healthy server
// because others use up the budget. Each gateway is told that the other is in another region.
func TestFlappingServersStayWithinTheBudget(t *testing.T) {
	// The first announcements and departures of 10 servers at one gateway, 5,000 bytes at once, fit into the budget of a
	// second.
	const rate, flapTime = 8 << 10, 6 * time.Second
	sections := testSections(t)
	for _, s := range sections {
		s.Text = strings.ReplaceAll(s.Text, "1MiB", "8KiB")
	}
	c := newCertificates(t)
	control := startControl(t, c, "control-1", sections)
	start := time.Now()
	gateways := []*testGateway{startGateway(t, c, "gw-1", control), startGateway(t, c, "gw-2", control)}
	control.set(func(a *controlpb.RenewAnswer) {
		a.GatewaysDigest = 1
		a.Gateways = []*controlpb.GatewayStatus{
			{Name: "gw-1", Region: "south", FailureDomain: "south-a", PeerAddress: gateways[0].Peer},
			{Name: "gw-2", Region: "south", FailureDomain: "south-a", PeerAddress: gateways[1].Peer},
		}
	})
	healthy := serverAnnouncement("127.0.0.1:9")
	if status := gateways[0].announceStatus(t, "announce", healthy); status != http.StatusOK {
		t.Fatalf("announcement of the healthy server: %d", status)
	}
	var running sync.WaitGroup
	defer running.Wait()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	running.Go(func() {
		for sleep(ctx, serverRenewInterval/2) {
			if status := gateways[0].announceStatus(t, "renew", healthy); status != http.StatusOK {
				t.Errorf("renewal of the healthy server: %d", status)
			}
		}
	})
	eventually(t, "the healthy server is known", func() bool { return gateways[1].lists(t, healthy.Address) })
	var flapping sync.WaitGroup
	end := time.Now().Add(flapTime)
	for i, g := range gateways {
		for port := range 10 {
			flapping.Go(func() { g.flap(t, 100*(i+1)+port, end) })
		}
	}
	for time.Now().Before(end) {
		for _, g := range gateways {
			g.checkBudget(t, rate, start)
		}
		time.Sleep(serverRenewInterval / 10)
	}
	if status := gateways[0].announceStatus(t, "announce", serverAnnouncement("127.0.0.1:10")); status != http.StatusOK {
		t.Errorf("announcement of a new server: %d", status)
	}
	flapping.Wait()
	for _, g := range gateways {
		if g.gauge(t, `heatherwall_measuring_denied_total{kind="announcement"}`) == 0 {
			t.Error("the flapping servers never reached the budget")
		}
		if !g.lists(t, healthy.Address) {
			t.Error("the healthy server has disappeared")
		}
	}
}

// checkBudget fails if the bytes that either scope has spent since start exceed the budget.
func (g *testGateway) checkBudget(t *testing.T, rate int64, start time.Time) {
	t.Helper()
	for _, scope := range []string{"within_region", "across_regions"} {
		spent := g.gauge(t, "heatherwall_measuring_bytes_"+scope)
		limit := float64(rate) * (time.Since(start) + budget.BurstTime).Seconds()
		if float64(spent) > limit {
			t.Errorf("%s: %d bytes, limit %.0f", scope, spent, limit)
		}
	}
	if over := g.gauge(t, "heatherwall_measuring_bytes_over_budget"); over > 0 {
		t.Errorf("%d bytes over the budget", over)
	}
}

// Guards against an announcement whose response lacks the renewal and switch times, and against renewals that repeat
// them.
func TestAnnouncementResponseContainsTimes(t *testing.T) {
	c := newCertificates(t)
	g := startGateway(t, c, "gw-1", startControl(t, c, "control-1", testSections(t)))
	a := serverAnnouncement("127.0.0.1:9")
	if _, answer := g.announce(t, "announce", a); answer.RenewMs != 1000 || answer.SwitchMs != 4000 {
		t.Errorf("response to the announcement: %+v", answer)
	}
	if status, answer := g.announce(t, "renew", a); status != http.StatusOK || answer != (announceResponse{Grant: 2}) {
		t.Errorf("response to the renewal: %d %+v", status, answer)
	}
}
