package controlstate

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/quota"
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

// Guards against a table in the log that is overlooked, and against other entries that are taken for one.
func TestRouteVersionOfEntry(t *testing.T) {
	table := &controlpb.RouteTable{Version: 1 << 40, Routes: []*controlpb.Route{{Name: "r"}}, Source: []byte("text")}
	for name, test := range map[string]struct {
		entry []byte
		want  uint64
	}{
		"table":          {EncodePutRoutesEntry(table), 1 << 40},
		"version 0":      {EncodePutRoutesEntry(&controlpb.RouteTable{Routes: table.Routes}), 0},
		"failure domain": {EncodeSetDomainOutEntry("north-a", true, 7), 0},
		"servers":        {EncodeServerReportsEntry([]*statepb.ServerReport{presentReport(server("a", "1", 10, 5))}), 0},
		"cut short":      {EncodePutRoutesEntry(table)[:3], 0},
		"empty":          {nil, 0},
	} {
		if got := RouteVersionOf(test.entry); got != test.want {
			t.Errorf("%s: version %d; want %d", name, got, test.want)
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
	applyAll(t, c, EncodeSetDomainOutEntry("b", true, 0), EncodeSetDomainOutEntry("a", true, 0), EncodeSetDomainOutEntry("b", true, 0))
	if got := fmt.Sprint(c.DomainsOut()); got != "[a b]" {
		t.Errorf("domains out %s", got)
	}
	applyAll(t, c, EncodeSetDomainOutEntry("a", false, 0), EncodeSetDomainOutEntry("a", false, 0))
	if got := fmt.Sprint(c.DomainsOut()); got != "[b]" {
		t.Errorf("domains out %s", got)
	}
}

// Guards against an evacuation that a delayed copy of an earlier command ends, or begins again after its end.
func TestEarlierDomainCommandIsSuperseded(t *testing.T) {
	const domain = "a"
	// decided returns a command that was decided when the last applied index was the given one.
	decided := func(out bool, at uint64) []byte { return EncodeSetDomainOutEntry(domain, out, at) }
	for name, c := range map[string]struct {
		// entries have the indexes 1, 2, ...; late is the delayed copy behind them.
		entries [][]byte
		late    []byte
		out     bool
		refused bool
	}{
		"end, then begun again":           {[][]byte{decided(true, 1), decided(false, 1), decided(true, 2)}, decided(false, 1), true, true},
		"begun, then ended":               {[][]byte{decided(true, 1), decided(false, 1)}, decided(true, 1), false, true},
		"end, never acknowledged":         {[][]byte{decided(true, 1), decided(true, 1)}, decided(false, 1), true, true},
		"same command twice":              {[][]byte{decided(true, 1), decided(false, 1)}, decided(false, 1), false, false},
		"command of an earlier build":     {[][]byte{decided(true, 1)}, decided(false, 0), false, false},
		"after one of an earlier build":   {[][]byte{decided(false, 0), decided(true, 0)}, decided(false, 1), true, true},
		"decided after the last command":  {[][]byte{decided(true, 1), decided(false, 1)}, decided(true, 2), true, false},
		"commands for another domain":     {[][]byte{EncodeSetDomainOutEntry("b", true, 1), EncodeSetDomainOutEntry("b", false, 1)}, decided(true, 1), true, false},
		"equal, decided before the last":  {[][]byte{decided(true, 1), decided(true, 1)}, decided(true, 1), true, false},
		"equal one is recorded, then end": {[][]byte{decided(true, 1), decided(true, 1), decided(true, 1)}, decided(false, 2), true, true},
	} {
		for _, restart := range []bool{false, true} {
			s := NewConfiguration()
			applyAll(t, s, c.entries...)
			if restart {
				var err error
				if s, err = RestoreConfiguration(s.Snapshot()); err != nil {
					t.Fatal(err)
				}
			}
			err := s.Apply(s.AppliedIndex()+1, c.late).Err
			var superseded *SupersededError
			if errors.As(err, &superseded) != c.refused || slices.Contains(s.DomainsOut(), domain) != c.out {
				t.Errorf("%s, restart %v: %v, domains out %v; want out %v, refused %v", name, restart, err, s.DomainsOut(), c.out, c.refused)
			}
		}
	}
}

// gatewayCatalogue is the catalogue that a gateway builds from deltas.
type gatewayCatalogue struct {
	quotaOwners []uint64
	index       uint64
	version     uint64
	servers     map[string]*controlpb.BackendServer
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
	if len(d.GetQuotaOwners()) > 0 {
		v.quotaOwners = d.GetQuotaOwners()
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
			switch rapid.IntRange(0, 5).Draw(rt, "kind") {
			case 0:
				entry = EncodePutRoutesEntry(&controlpb.RouteTable{Version: uint64(rapid.IntRange(1, 9).Draw(rt, "version"))})
			case 1:
				entry = EncodeServerReportsEntry([]*statepb.ServerReport{endedReport(&statepb.ServerEnd{Id: id, Incarnation: incarnation})})
			case 2:
				entry = EncodeSetDomainOutEntry(id, rapid.Bool().Draw(rt, "out"), 0)
			case 3:
				slots := c.QuotaSlots()
				owners := [quota.Slots]uint64{uint64(rapid.IntRange(1, 3).Draw(rt, "owner")), 7}
				entry = EncodeAssignQuotaSlotsEntry(slots.Changed, quota.Assignment{Owners: owners, Waited: 700 * time.Millisecond})
				if rapid.Bool().Draw(rt, "begin") {
					entry = EncodeBeginQuotaSlotsEntry(slots.Assigned, 7)
				}
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
				if restored.QuotaSlots() != c.QuotaSlots() {
					rt.Fatalf("slots %v after a snapshot of %v", restored.QuotaSlots(), c.QuotaSlots())
				}
				c = restored
			}
		}
		v.applyDelta(t, c.CatalogueDeltaSince(v.index, true))
		for i, owner := range v.quotaOwners {
			if owner != c.QuotaSlots().Owners[i].Owner {
				rt.Fatalf("gateway knows owner %d of slot %d; replica %d", owner, i, c.QuotaSlots().Owners[i].Owner)
			}
		}
		if (len(v.quotaOwners) == 0) != (c.QuotaSlots().Assigned == 0) {
			rt.Fatalf("gateway knows %d owners; the last assignment is at %d", len(v.quotaOwners), c.QuotaSlots().Assigned)
		}
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

// Guards against a command for slots that was decided before another one, and against one of a wrong length.
func TestOutdatedSlotCommandsChangeNothing(t *testing.T) {
	c := NewConfiguration()
	owners := [quota.Slots]uint64{1, 2}
	applyAll(t, c, EncodeAssignQuotaSlotsEntry(0, quota.Assignment{Owners: owners}), EncodeBeginQuotaSlotsEntry(1, 1))
	before := c.QuotaSlots()
	if before.Changed != 2 || before.Assigned != 1 || !before.Owners[0].Active {
		t.Fatalf("%+v", before)
	}
	short, err := proto.Marshal(&statepb.ConfigurationEntry{Command: &statepb.ConfigurationEntry_AssignQuotaSlots{
		AssignQuotaSlots: &statepb.AssignQuotaSlots{Changed: 2, Owners: []uint64{1}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	for name, entry := range map[string][]byte{
		"assignment before a begin": EncodeAssignQuotaSlotsEntry(1, quota.Assignment{Owners: [quota.Slots]uint64{3}, Released: 1}),
		"begin before":              EncodeBeginQuotaSlotsEntry(0, 2),
		"too few owners":            short,
	} {
		var changed *SlotsChangedError
		var invalid *EntryError
		if r := c.Apply(c.AppliedIndex()+1, entry); !errors.As(r.Err, &changed) && !errors.As(r.Err, &invalid) || c.QuotaSlots() != before {
			t.Errorf("%s: %v, slots %+v", name, r.Err, c.QuotaSlots())
		}
	}
}
