package gateway

import (
	"errors"
	"math"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
)

func routeTable(version uint64) *controlpb.RouteTable {
	return &controlpb.RouteTable{
		Version: version, Services: []*controlpb.RoutedService{{Name: "s"}},
		Routes: []*controlpb.Route{{Name: "r", Host: "a.example", PathPrefix: "/", TimeoutMs: 1000, Shares: []*controlpb.RouteShare{{Service: "s", Weight: 1}}}},
	}
}

func catalogueAnswer(base, index uint64, t *controlpb.RouteTable, servers ...string) *controlpb.RenewAnswer {
	d := &controlpb.CatalogueDelta{Base: base, Index: index, Routes: t}
	for _, id := range servers {
		d.Servers = append(d.Servers, &controlpb.BackendServer{Id: id, Changed: index})
	}
	return &controlpb.RenewAnswer{ClusterId: 7, Catalogue: d}
}

// Guards against a gateway that returns to an older catalogue, applies a delta after a gap, or extends its lease because of a
// pushed change.
func TestCatalogueRejectsOlderAndMismatchedDeltas(t *testing.T) {
	c := newTestLease(t)
	if ok, err := c.applyAnswer(catalogueAnswer(0, 10, routeTable(3), "a", "b"), time.Hour); !ok || err != nil {
		t.Fatalf("the first catalogue was refused: %v", err)
	}
	push := catalogueAnswer(10, 12, nil, "c")
	push.Catalogue.Removed = []string{"a"}
	push.DomainsOut = []string{"north-a"}
	if err := c.acceptPush(push); err != nil {
		t.Fatal(err)
	}
	l := c.Current()
	if l.expires != time.Hour || len(l.catalogue.servers) != 2 || l.catalogue.routes.Version != 3 || !l.isDomainOut("north-a") {
		t.Errorf("after a push: %+v", l.catalogue)
	}
	var mismatch *DeltaMismatchError
	for name, a := range map[string]*controlpb.RenewAnswer{
		"gap": catalogueAnswer(11, 13, nil, "d"), "older full": catalogueAnswer(0, 11, routeTable(9), "z"),
	} {
		if _, err := c.applyAnswer(a, 2*time.Hour); !errors.As(err, &mismatch) {
			t.Errorf("%s: %v; want *DeltaMismatchError", name, err)
		}
		if err := c.acceptPush(a); !errors.As(err, &mismatch) {
			t.Errorf("%s pushed: %v; want *DeltaMismatchError", name, err)
		}
	}
	if c.Current().catalogue.index != 12 {
		t.Errorf("index %d after deltas that cannot be applied", c.Current().catalogue.index)
	}
	if _, err := c.applyAnswer(catalogueAnswer(12, 14, routeTable(2)), time.Hour); err != nil || c.Current().catalogue.routes.Version != 3 {
		t.Errorf("routes of version %d in use, %v; want 3", c.Current().catalogue.routes.Version, err)
	}
}

// Guards against a gateway that serves forever without control replicas, and against one that stops although serveStale
// permits it to continue.
func TestServingWithAStaleCatalogue(t *testing.T) {
	c := newTestLease(t)
	if _, ok := c.Valid(); ok {
		t.Fatal("valid without a catalogue")
	}
	if _, err := c.applyAnswer(catalogueAnswer(0, 1, routeTable(1)), time.Nanosecond); err != nil {
		t.Fatal(err)
	}
	if _, ok := c.Valid(); ok {
		t.Error("valid after the end of the lease although serveStale is 0")
	}
	c.serveStale = time.Hour
	if _, ok := c.Valid(); !ok {
		t.Error("not valid although serving with a stale catalogue is permitted")
	}
}

// Guards against gateways that stay at a distant replica, or at one that fails.
func TestReplicasAreOrderedByDistance(t *testing.T) {
	l := &replicaList{region: "north", domain: "north-a", seeds: []string{"seed:1", "far:1"}}
	now := time.Unix(1000, 0)
	if got := l.next(now).Address; got != "seed:1" {
		t.Errorf("first %s; want a seed", got)
	}
	l.setMembers([]*raftpb.Member{
		{Name: "c", Address: "far:1", Region: "south", FailureDomain: "south-a"},
		{Name: "b", Address: "near:1", Region: "north", FailureDomain: "north-b"},
		{Name: "a", Address: "own:1", Region: "north", FailureDomain: "north-a"},
	})
	for _, want := range []string{"own:1", "near:1", "far:1", "seed:1", "own:1"} {
		got := l.next(now)
		if got.Address != want {
			t.Errorf("next %s; want %s", got.Address, want)
		}
		l.markFailed(got, now)
		now = now.Add(time.Second)
	}
	now = now.Add(failedReplicaCooldown)
	if far := replicaAt("far:1"); !l.hasNearer(far, now) {
		t.Error("a gateway stays at a distant replica although the last failure of a nearer one is long ago")
	}
	if own := replicaAt("own:1"); l.hasNearer(own, now) {
		t.Error("a gateway leaves the nearest replica")
	}
}

// Guards against gateways that start together and all fetch the whole catalogue from the few seeds, although each has a
// nearer replica.
func TestGatewayWithoutCatalogueChangesToNearerReplica(t *testing.T) {
	c := newTestLease(t)
	c.replicas = &replicaList{region: "north", domain: "north-a", seeds: []string{"far:1"}}
	s := &leaseSession{client: c, replica: replicaAt("far:1"), sent: map[uint64]time.Duration{}}
	members := []*raftpb.Member{
		{Name: "b", Address: "far:1", Region: "south", FailureDomain: "south-a"},
		{Name: "a", Address: "own:1", Region: "north", FailureDomain: "north-a"},
	}
	var nearer *NearerReplicaError
	if _, err := s.handleAnswer(t.Context(), &controlpb.RenewAnswer{Replicas: members}); !errors.As(err, &nearer) {
		t.Errorf("%v; want *NearerReplicaError for the replica in the gateway's failure domain", err)
	}
	if got := c.replicas.next(time.Now()).Address; got != "own:1" {
		t.Errorf("next %s; want own:1", got)
	}
	if c.Current().isConfigured() {
		t.Error("a list of replicas counts as a configuration")
	}
	own := &leaseSession{client: c, replica: replicaAt("own:1"), sent: map[uint64]time.Duration{}}
	if _, err := own.handleAnswer(t.Context(), &controlpb.RenewAnswer{Replicas: members}); err != nil {
		t.Errorf("%v; want no error at the nearest replica", err)
	}
	if _, err := c.applyAnswer(catalogueAnswer(0, 1, routeTable(1)), time.Hour); err != nil {
		t.Fatal(err)
	}
	if _, err := s.handleAnswer(t.Context(), &controlpb.RenewAnswer{Replicas: members}); err != nil {
		t.Errorf("%v; want no error: a gateway with a configuration changes replicas only at a renewal", err)
	}
}

// Guards against a route table in the log that does not compile and stops the stream of every gateway for ever.
func TestInvalidRouteTableKeepsTheStream(t *testing.T) {
	c := newTestLease(t)
	if _, err := c.applyAnswer(catalogueAnswer(0, 1, routeTable(3), "a"), time.Hour); err != nil {
		t.Fatal(err)
	}
	invalid := routeTable(4)
	invalid.Routes[0].Shares[0].Weight = math.NaN()
	if _, err := c.applyAnswer(catalogueAnswer(1, 2, invalid, "b"), time.Hour); err != nil {
		t.Errorf("the stream ends: %v", err)
	}
	if v := c.Current().catalogue; v.index != 2 || len(v.servers) != 2 || v.routes.Version != 3 {
		t.Errorf("index %d, %d servers, routes of version %d; want the change of the servers and the routes of before", v.index, len(v.servers), v.routes.Version)
	}
	if err := c.acceptPush(catalogueAnswer(2, 3, routeTable(5))); err != nil || c.Current().catalogue.routes.Version != 5 {
		t.Errorf("routes of version %d, %v; want 5", c.Current().catalogue.routes.Version, err)
	}
}
