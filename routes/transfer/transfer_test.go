package transfer

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherwall.example/api/controlpb"
)

func route(name string) *controlpb.Route {
	return &controlpb.Route{Name: name, Host: "a.example", PathPrefix: "/" + name + "/", TimeoutMs: 1000, Regions: []string{"north", "south"},
		Shares: []*controlpb.RouteShare{{Service: "s", Weight: 1}}}
}

// manyRoutes returns n routes with random names.
func manyRoutes(n int, seed uint64) []*controlpb.Route {
	random := rand.New(rand.NewPCG(seed, 1))
	list := make([]*controlpb.Route, n)
	for i := range list {
		list[i] = route(fmt.Sprintf("r-%07x", random.Uint32N(1<<28)))
	}
	return list
}

func table(version uint64, routes []*controlpb.Route) *controlpb.RouteTable {
	return &controlpb.RouteTable{Version: version, Routes: routes, Services: []*controlpb.RoutedService{{Name: "s"}}, Limits: &controlpb.CallerLimits{MaxHeaderBytes: uint32(version)}}
}

func put(t testing.TB, h *History, tables ...*controlpb.RouteTable) {
	t.Helper()
	for _, table := range tables {
		if err := h.Put(table); err != nil {
			t.Fatal(err)
		}
	}
}

// deliver sends parts until the receiver is up to date, at most limit of them, and returns their compressed size.
func deliver(t testing.TB, h *History, r *Receiver, limit int) (size int) {
	t.Helper()
	for limit > 0 {
		s, first, err := h.Next(r.Position())
		if err != nil {
			t.Fatal(err)
		}
		if s == nil {
			return size
		}
		for _, p := range s.Parts[first:] {
			if limit--; limit < 0 {
				return size
			}
			size += len(p.GetEdits())
			result, err := r.Accept(proto.CloneOf(p))
			if err != nil {
				t.Fatal(err)
			}
			if result != nil {
				r.Hold(result)
			}
		}
	}
	return size
}

// Guards against a gateway that ends with another table than the replicas, whatever versions it misses, wherever its
// sessions end, and at whatever replica it continues.
func TestReceiverFollowsAnyHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		replicas := []*History{{}, {}}
		r := &Receiver{}
		routes := manyRoutes(rapid.IntRange(0, 600).Draw(rt, "routes"), 1)
		var newest *controlpb.RouteTable
		for version := range rapid.IntRange(1, 12).Draw(rt, "versions") {
			routes = change(rt, routes, uint64(version))
			newest = table(uint64(version)*3+1, routes)
			newest.Workspaces, newest.KeysRequired = drawWorkspaces(rt), rapid.Bool().Draw(rt, "keys required")
			for i := range replicas {
				if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
					replicas[i] = &History{}
				}
				put(t, replicas[i], newest)
			}
			for range rapid.IntRange(0, 2).Draw(rt, "sessions") {
				deliver(t, replicas[rapid.IntRange(0, 1).Draw(rt, "replica")], r, rapid.IntRange(0, 4).Draw(rt, "parts"))
			}
		}
		deliver(t, replicas[0], r, 1000)
		if !proto.Equal(r.held, newest) {
			rt.Fatalf("gateway has version %d with %d routes; replica %d with %d", r.held.GetVersion(), len(r.held.GetRoutes()), newest.GetVersion(), len(newest.GetRoutes()))
		}
	})
}

// drawWorkspaces returns a few workspaces, of which some are in most versions.
func drawWorkspaces(rt *rapid.T) (list []*controlpb.Workspace) {
	for i := range rapid.IntRange(0, 20).Draw(rt, "workspaces") {
		if rapid.IntRange(0, 3).Draw(rt, "left out") > 0 {
			list = append(list, &controlpb.Workspace{Name: fmt.Sprint("w-", i), KeyDigests: [][]byte{{byte(i)}, {byte(rapid.IntRange(0, 3).Draw(rt, "key"))}}})
		}
	}
	return list
}

// Guards against a gateway of a version that knows no keys, which would serve a table that requires them to anyone.
func TestReceiverWithoutKeysRejectsTable(t *testing.T) {
	whole := table(2, manyRoutes(3, 1))
	whole.KeysRequired = true
	s, err := NewStep(0, nil, whole, FingerprintsOf(whole))
	if err != nil {
		t.Fatal(err)
	}
	part := proto.CloneOf(s.Parts[0])
	part.End.KeysRequired = false // an unknown field there
	r := &Receiver{}
	var refused *PartError
	if result, err := r.Accept(part); result != nil || !errors.As(err, &refused) {
		t.Errorf("%v, %v; want *PartError", result, err)
	}
}

// change returns the routes after a random change.
func change(rt *rapid.T, routes []*controlpb.Route, seed uint64) []*controlpb.Route {
	next := append([]*controlpb.Route(nil), routes...)
	switch rapid.IntRange(0, 4).Draw(rt, "kind") {
	case 0:
		next = append(next, manyRoutes(rapid.IntRange(1, 900).Draw(rt, "added"), seed+100)...)
	case 1:
		if len(next) > 0 {
			changed := proto.CloneOf(next[0])
			changed.TimeoutMs += uint32(seed) + 1
			next[0] = changed
		}
	case 2:
		next = next[:rapid.IntRange(0, len(next)).Draw(rt, "left")]
	case 3:
		rand.New(rand.NewPCG(seed, 2)).Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
	default:
		next = append(next, next...)
	}
	return next[:min(len(next), 3000)]
}

// Guards against a transfer that starts over when a session ends or the table changes again, so that it never ends.
func TestInterruptedTransferContinues(t *testing.T) {
	h, r := &History{}, &Receiver{}
	routes := manyRoutes(4000, 1)
	put(t, h, table(1, routes[:10]))
	deliver(t, h, r, 100)
	put(t, h, table(2, routes))
	s, _, err := h.Next(r.Position())
	if err != nil || len(s.Parts) < 5 {
		t.Fatalf("%d parts, %v", len(s.Parts), err)
	}
	for version := uint64(3); r.held.GetVersion() < 2; version++ {
		deliver(t, h, r, 1)
		changed := append(append([]*controlpb.Route(nil), routes...), route(fmt.Sprint(version)))
		put(t, h, table(version, changed))
		if int(version) > len(s.Parts)+3 {
			t.Fatalf("version 2 has not arrived after %d sessions with a part each", version-3)
		}
	}
	deliver(t, h, r, 1000)
	if r.held.GetVersion() != h.Version() {
		t.Errorf("version %d; want %d", r.held.GetVersion(), h.Version())
	}
}

// Guards against whole tables that start over when a gateway without one moves between replicas while versions change.
func TestWholeTableContinuesAtAnotherReplica(t *testing.T) {
	replicas, r := []*History{{}, {}}, &Receiver{}
	routes := manyRoutes(4000, 1)
	sessions := 0
	for version := uint64(1); r.held == nil; version++ {
		changed := append(append([]*controlpb.Route(nil), routes...), route(fmt.Sprint(version)))
		for _, h := range replicas {
			put(t, h, table(version, changed))
		}
		for range 2 {
			sessions++
			deliver(t, replicas[sessions%2], r, 8)
		}
		if sessions > 20 {
			t.Fatalf("no table after %d sessions with 8 parts each", sessions)
		}
	}
}

// Guards against tables that are kept for gateways and take the memory of all their routes again.
func TestVersionsShareEqualRoutes(t *testing.T) {
	h := &History{}
	put(t, h, table(1, manyRoutes(10, 1)), table(2, manyRoutes(10, 1)))
	for i, r := range h.versions[0].table.GetRoutes() {
		if h.versions[1].table.GetRoutes()[i] != r {
			t.Fatalf("route %d is held twice", i)
		}
	}
}

// Guards against sending the whole table for a small change, and unchanged content uncompressed.
func TestSmallChangeIsSmall(t *testing.T) {
	h, r := &History{}, &Receiver{}
	routes := manyRoutes(4000, 1)
	put(t, h, table(1, routes))
	whole := deliver(t, h, r, 1000)
	if raw := proto.Size(table(1, routes)); whole > raw/3 {
		t.Errorf("the whole table takes %d bytes; want at most a third of %d", whole, raw)
	}
	changed := append([]*controlpb.Route(nil), routes...)
	changed[2000] = route("other")
	put(t, h, table(2, changed))
	if size := deliver(t, h, r, 1000); size > 200 {
		t.Errorf("one changed route takes %d bytes; want at most 200", size)
	}
}

// Guards against applying parts that do not fit or are damaged.
func TestReceiverRefusesPartsThatDoNotFit(t *testing.T) {
	first, err := NewStep(0, nil, table(5, manyRoutes(2000, 1)), FingerprintsOf(table(5, manyRoutes(2000, 1))))
	if err != nil {
		t.Fatal(err)
	}
	damaged := proto.CloneOf(first.Parts[0])
	damaged.Edits = damaged.Edits[:len(damaged.Edits)/2]
	wrongDigest, err := NewStep(0, nil, table(5, manyRoutes(3, 1)), FingerprintsOf(table(5, manyRoutes(3, 2))))
	if err != nil {
		t.Fatal(err)
	}
	outOfRange := &controlpb.RouteEdits{Edits: []*controlpb.RouteEdit{{KeepFrom: 1 << 31, KeepCount: 1 << 31}}}
	text, err := encodeEdits(outOfRange.GetEdits())
	if err != nil {
		t.Fatal(err)
	}
	for name, p := range map[string]*controlpb.RoutePart{
		"gap":          first.Parts[1],
		"other base":   {Version: 9, Base: 4, Total: 1},
		"damaged":      damaged,
		"wrong digest": wrongDigest.Parts[0],
		"out of range": {Version: 9, Total: 1, Edits: text, End: &controlpb.RouteTableEnd{}},
	} {
		r := &Receiver{}
		r.Hold(table(3, manyRoutes(5, 1)))
		var refused *PartError
		if result, err := r.Accept(p); result != nil || !errors.As(err, &refused) {
			t.Errorf("%s: %v, %v; want *PartError", name, result, err)
		}
		if r.InProgress() {
			t.Errorf("%s: a refused step is still in progress", name)
		}
	}
}

// Guards against building on a table that was found to differ from that of the replicas.
func TestWholeTableFollowsWrongDigest(t *testing.T) {
	h, r := &History{}, &Receiver{}
	put(t, h, table(1, manyRoutes(100, 1)), table(2, manyRoutes(101, 1)))
	r.Hold(table(1, manyRoutes(100, 7))) // another content under version 1
	s, _, err := h.Next(r.Position())
	if err != nil || s.Base != 1 {
		t.Fatalf("step from %d, %v; want from 1", s.Base, err)
	}
	if _, err := r.Accept(s.Parts[0]); err == nil {
		t.Fatal("a table with a wrong digest was accepted")
	}
	deliver(t, h, r, 100)
	if !proto.Equal(r.held, table(2, manyRoutes(101, 1))) {
		t.Error("the whole table did not replace the wrong one")
	}
}
