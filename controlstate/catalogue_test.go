package controlstate

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
)

func presentReport(s *controlpb.BackendServer) *statepb.ServerReport {
	return &statepb.ServerReport{Report: &statepb.ServerReport_Present{Present: s}}
}

func endedReport(e *statepb.ServerEnd) *statepb.ServerReport {
	return &statepb.ServerReport{Report: &statepb.ServerReport_Ended{Ended: e}}
}

func server(id, address string, incarnation, sequence uint64) *controlpb.BackendServer {
	return &controlpb.BackendServer{Id: id, Service: "s", Address: address, Incarnation: incarnation, Sequence: sequence}
}

// applyAll applies entries at the next log indexes.
func applyAll(t testing.TB, c *Configuration, entries ...[]byte) {
	t.Helper()
	for _, e := range entries {
		if r := c.Apply(c.AppliedIndex()+1, e); r.Err != nil {
			t.Fatal(r.Err)
		}
	}
}

// Guards against replacing the route table by one with a lower version or by different content for the same version.
func TestHighestRouteVersionWins(t *testing.T) {
	c := NewConfiguration()
	put := func(version uint64, source string) {
		applyAll(t, c, EncodePutRoutesEntry(&controlpb.RouteTable{Version: version, Source: []byte(source)}))
	}
	for _, step := range []struct {
		version uint64
		source  string
		held    string
	}{{3, "three", "three"}, {2, "two", "three"}, {3, "other", "three"}, {7, "seven", "seven"}, {3, "three", "seven"}} {
		put(step.version, step.source)
		if got := string(c.RouteTable().GetSource()); got != step.held {
			t.Errorf("after version %d: %q is held; want %q", step.version, got, step.held)
		}
	}
}

// Guards against applying outdated reports: delayed ones, those of an ended incarnation, and those of a server whose
// address now belongs to another server.
func TestOutdatedReports(t *testing.T) {
	c := NewConfiguration()
	report := func(r ...*statepb.ServerReport) { applyAll(t, c, EncodeServerReportsEntry(r)) }
	report(presentReport(server("a", "1", 10, 5)))
	report(presentReport(server("a", "1", 10, 4)), presentReport(server("a", "9", 9, 50)))
	if s := c.BackendServer("a"); s.GetSequence() != 5 || s.GetAddress() != "1" {
		t.Errorf("an outdated report was applied: %v", s)
	}
	report(presentReport(server("b", "1", 20, 1)))
	if c.BackendServer("a") != nil || c.BackendServer("b") == nil {
		t.Error("a server that started later at the same address did not replace the earlier one")
	}
	report(presentReport(server("a", "1", 10, 99)))
	if c.BackendServer("a") != nil || c.BackendServer("b") == nil {
		t.Error("a delayed report of a replaced server took the address of its successor")
	}
	report(endedReport(&statepb.ServerEnd{Id: "b", Incarnation: 20}))
	report(presentReport(server("b", "1", 20, 100)))
	if c.BackendServer("b") != nil {
		t.Error("a server that left came back with the same incarnation")
	}
	report(presentReport(server("b", "1", 21, 1)))
	if c.BackendServer("b") == nil {
		t.Error("a new incarnation of a server that left was refused")
	}
}

// Guards against removing a server as lost although it has reported again in the meantime, to any replica, and against
// refusing a lost server that reports again.
func TestLostServers(t *testing.T) {
	c := NewConfiguration()
	applyAll(t, c, EncodeServerReportsEntry([]*statepb.ServerReport{presentReport(server("a", "1", 10, 5))}))
	seen := c.BackendServer("a").GetChanged()
	applyAll(t, c, EncodeServerReportsEntry([]*statepb.ServerReport{presentReport(server("a", "1", 10, 6))}))
	lost := func(changed uint64) []byte {
		return EncodeServerReportsEntry([]*statepb.ServerReport{endedReport(&statepb.ServerEnd{Id: "a", Incarnation: 10, Lost: true, Changed: changed})})
	}
	applyAll(t, c, lost(seen))
	if c.BackendServer("a") == nil {
		t.Fatal("a server that reported again was removed as lost")
	}
	applyAll(t, c, lost(c.BackendServer("a").GetChanged()))
	if c.BackendServer("a") != nil {
		t.Fatal("a lost server is still listed")
	}
	applyAll(t, c, EncodeServerReportsEntry([]*statepb.ServerReport{presentReport(server("a", "1", 10, 7))}))
	if c.BackendServer("a") == nil {
		t.Error("a lost server that reported again was refused")
	}
}

// Guards against duplicates and a wrong order in the list of failure domains that are out of service.
func TestDomainsOut(t *testing.T) {
	c := NewConfiguration()
	applyAll(t, c, EncodeSetDomainOutEntry("b", true), EncodeSetDomainOutEntry("a", true), EncodeSetDomainOutEntry("b", true))
	if got := fmt.Sprint(c.DomainsOut()); got != "[a b]" {
		t.Errorf("domains out %s", got)
	}
	applyAll(t, c, EncodeSetDomainOutEntry("a", false), EncodeSetDomainOutEntry("a", false))
	if got := fmt.Sprint(c.DomainsOut()); got != "[b]" {
		t.Errorf("domains out %s", got)
	}
}

// gatewayCatalogue is the catalogue that a gateway builds from deltas.
type gatewayCatalogue struct {
	index   uint64
	version uint64
	servers map[string]*controlpb.BackendServer
}

func (v *gatewayCatalogue) applyDelta(t testing.TB, d *controlpb.CatalogueDelta) {
	if d == nil {
		return
	}
	if d.GetBase() != 0 && d.GetBase() != v.index {
		t.Fatalf("delta from %d for a gateway at %d", d.GetBase(), v.index)
	}
	if d.GetBase() == 0 {
		v.servers = map[string]*controlpb.BackendServer{}
	}
	for _, s := range d.GetServers() {
		v.servers[s.GetId()] = s
	}
	for _, id := range d.GetRemoved() {
		delete(v.servers, id)
	}
	if d.GetRoutes() != nil {
		v.version = d.GetRoutes().GetVersion()
	}
	v.index = d.GetIndex()
}

// Guards against deltas that leave a gateway with a different catalogue than the replicas, whichever updates it missed,
// and against snapshots that lose a part of the catalogue.
func TestDeltasAndSnapshotsPreserveCatalogue(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := NewConfiguration()
		v := &gatewayCatalogue{servers: map[string]*controlpb.BackendServer{}}
		for range rapid.IntRange(1, 60).Draw(rt, "entries") {
			id := fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "id"))
			incarnation := uint64(rapid.IntRange(1, 4).Draw(rt, "incarnation"))
			var entry []byte
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				entry = EncodePutRoutesEntry(&controlpb.RouteTable{Version: uint64(rapid.IntRange(1, 9).Draw(rt, "version"))})
			case 1:
				entry = EncodeServerReportsEntry([]*statepb.ServerReport{endedReport(&statepb.ServerEnd{Id: id, Incarnation: incarnation})})
			case 2:
				entry = EncodeSetDomainOutEntry(id, rapid.Bool().Draw(rt, "out"))
			default:
				address := fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "address"))
				sequence := uint64(rapid.IntRange(1, 9).Draw(rt, "sequence"))
				entry = EncodeServerReportsEntry([]*statepb.ServerReport{presentReport(server(id, address, incarnation, sequence))})
			}
			applyAll(t, c, entry)
			if rapid.IntRange(0, 3).Draw(rt, "follow") == 0 {
				v.applyDelta(t, c.CatalogueDeltaSince(v.index, true))
			}
			if rapid.IntRange(0, 5).Draw(rt, "restart") == 0 {
				restored, err := RestoreConfiguration(c.Snapshot())
				if err != nil {
					rt.Fatal(err)
				}
				c = restored
			}
		}
		v.applyDelta(t, c.CatalogueDeltaSince(v.index, true))
		list := c.BackendServers()
		if v.version != c.RouteTable().GetVersion() || len(list) != len(v.servers) {
			rt.Fatalf("gateway at version %d with %d servers; replica at %d with %d", v.version, len(v.servers), c.RouteTable().GetVersion(), len(list))
		}
		addresses := map[string]bool{}
		for _, s := range list {
			if !proto.Equal(s, v.servers[s.GetId()]) {
				rt.Fatalf("gateway knows %v; replica %v", v.servers[s.GetId()], s)
			}
			if addresses[s.GetAddress()] {
				rt.Fatalf("two servers at address %s", s.GetAddress())
			}
			addresses[s.GetAddress()] = true
		}
	})
}
