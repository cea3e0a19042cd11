package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
	"heatherwall.example/settings"
)

// Guards against a load that counts requests instead of their time in flight, that contains totals of seconds which
// were to be overwritten, or that mixes requests restricted to different regions.
func TestLoadMeterAveragesEachSecond(t *testing.T) {
	const ms = time.Millisecond
	var m loadMeter
	any, erie := newLoadKey("labels", document.AnyRegion()), newLoadKey("labels", document.Regions{Names: []string{"erie"}})
	m.add(any, 1, 1000*ms)
	m.add(any, 1, 1500*ms)
	m.add(any, -2, 2250*ms)
	m.add(erie, 1, 2900*ms)
	want := []*controlpb.ServiceLoad{
		{Service: "labels", MilliInFlight: []uint32{500, 1500, 0}},
		{Service: "labels", Regions: []string{"erie"}, MilliInFlight: []uint32{100, 0, 0}},
	}
	equal := func(a, b *controlpb.ServiceLoad) bool {
		return a.Service == b.Service && slices.Equal(a.Regions, b.Regions) && slices.Equal(a.MilliInFlight, b.MilliInFlight)
	}
	if got := m.report(3999 * ms); !slices.EqualFunc(got, want, equal) {
		t.Errorf("got %v, want %v", got, want)
	}
	got := m.report(100 * time.Second)
	if len(got) != 1 || len(got[0].MilliInFlight) != loadWindowSeconds || slices.Min(got[0].MilliInFlight) != 1000 || slices.Max(got[0].MilliInFlight) != 1000 {
		t.Errorf("after a long time with one request in flight: %v", got)
	}
	m.add(erie, -1, 100*time.Second)
	if m.report(120 * time.Second); len(m.series) != 0 {
		t.Errorf("%d services without load are kept", len(m.series))
	}
}

// Guards against load reports to instances other than control replicas, and against reports without the load or the
// servers of the gateway.
func TestLoadServiceIsLimitedToControlReplicas(t *testing.T) {
	c := newCertificates(t)
	g := startGateway(t, c, "gw-1", startControl(t, c, "control-1", testSections(t)))
	backend := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }))
	defer backend.Close()
	g.announce(t, "announce", serverAnnouncement(backend.Listener.Addr().String()))
	if _, err := askLoad(t, c, g, "gw-2"); status.Code(err) != codes.PermissionDenied {
		t.Errorf("another gateway got %v", err)
	}
	eventually(t, "a report with load and slots", func() bool {
		g.call(t, "GET", "/read", "")
		load, err := askLoad(t, c, g, "control-1")
		must(t, err)
		return len(load.Services) == 1 && load.Seconds > 0 && len(load.ReadySlots) == 1 && load.ReadySlots[0].Slots == 6
	})
}

// askLoad requests the load of a gateway with the certificate of the named instance.
func askLoad(t *testing.T, c *certificates, g *testGateway, as string) (*controlpb.GatewayLoad, error) {
	t.Helper()
	id, err := loadIdentity(as, settings.Listener{TLS: c.issue(as)})
	must(t, err)
	conn, err := dialPeers(id)("gw-1", g.Peer)
	must(t, err)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	return controlpb.NewGatewayLoadsClient(conn).Load(ctx, &controlpb.GatewayLoadRequest{WithSlots: true})
}
