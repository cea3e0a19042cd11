package routes

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

func workspace(name string, keys ...string) *controlpb.Workspace {
	w := &controlpb.Workspace{Name: name, Rate: 10, Burst: 5}
	for _, key := range keys {
		digest := document.TokenDigest(key)
		w.KeyDigests = append(w.KeyDigests, digest[:])
	}
	return w
}

// Guards against workspaces that cannot be told apart, and against limits without a meaning.
func TestCompileRejectsInvalidWorkspaces(t *testing.T) {
	for name, invalidate := range map[string]func(*controlpb.RouteTable){
		"shared key":     func(c *controlpb.RouteTable) { c.Workspaces[1].KeyDigests = c.Workspaces[0].KeyDigests },
		"same name":      func(c *controlpb.RouteTable) { c.Workspaces[1].Name = c.Workspaces[0].Name },
		"no name":        func(c *controlpb.RouteTable) { c.Workspaces[0].Name = "" },
		"line break":     func(c *controlpb.RouteTable) { c.Workspaces[0].Name = "a\r\nX-Other: 1" },
		"negative rate":  func(c *controlpb.RouteTable) { c.Workspaces[0].Rate = -1 },
		"endless rate":   func(c *controlpb.RouteTable) { c.Workspaces[0].Rate = math.Inf(1) },
		"no number":      func(c *controlpb.RouteTable) { c.Workspaces[0].Rate = math.NaN() },
		"negative burst": func(c *controlpb.RouteTable) { c.Workspaces[0].Burst = -1 },
		"short digest":   func(c *controlpb.RouteTable) { c.Workspaces[0].KeyDigests[0] = []byte("x") },
	} {
		c := newTable()
		c.KeysRequired, c.Workspaces = true, []*controlpb.Workspace{workspace("first", "key-1", "key-2"), workspace("second", "key-3")}
		if _, err := Compile(c); err != nil {
			t.Fatal(err)
		}
		invalidate(c)
		var invalid *InvalidError
		if _, err := Compile(c); !errors.As(err, &invalid) {
			t.Errorf("%s: %v; want *InvalidError", name, err)
		} else if name != "no name" && !strings.Contains(err.Error(), "workspace") {
			t.Errorf("%s: %q does not name the workspace", name, err)
		}
	}
}

// Guards against a key that belongs to another workspace, and against one that remains valid after it was taken away.
func TestCallerByKey(t *testing.T) {
	c := newTable()
	c.KeysRequired, c.Workspaces = true, []*controlpb.Workspace{workspace("first", "old", "new"), workspace("second", "key")}
	c.Workspaces[1].Regions = []string{"north"}
	before, err := Compile(c)
	if err != nil {
		t.Fatal(err)
	}
	c.Workspaces[0] = workspace("first", "new")
	after, err := Compile(c)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		table *Table
		key   string
		want  string
	}{
		{before, "old", "first"}, {before, "new", "first"}, {before, "key", "second"}, {before, "", ""}, {before, "Old", ""}, {before, strings.Repeat("k", 1000), ""},
		{after, "old", ""}, {after, "new", "first"}, {after, "key", "second"},
	} {
		caller, ok := test.table.CallerByKey(test.key)
		if ok != (test.want != "") || ok && caller.Tenant.Name != test.want {
			t.Errorf("key %q: %v, %t; want %q", test.key, caller, ok, test.want)
		}
	}
	if caller, ok := before.CallerOf("second"); !ok || caller.Tenant.Home.Any || !caller.Tenant.Home.Contains("north") {
		t.Errorf("second: %v, %t; want its home regions", caller, ok)
	}
}

// manyWorkspaces returns a table with 1,000 workspaces of 3 keys each.
func manyWorkspaces(t testing.TB) *Table {
	t.Helper()
	c := newTable()
	c.KeysRequired = true
	for i := range 1000 {
		c.Workspaces = append(c.Workspaces, workspace(fmt.Sprintf("w-%d", i), fmt.Sprintf("n4ryrbbkf83fg-%06d", 3*i), fmt.Sprintf("n4ryrbbkf83fg-%06d", 3*i+1), fmt.Sprintf("n4ryrbbkf83fg-%06d", 3*i+2)))
	}
	compiled, err := Compile(c)
	if err != nil {
		t.Fatal(err)
	}
	return compiled
}

// Guards against garbage for each request.
func TestLookupOfKeyDoesNotAllocate(t *testing.T) {
	table := manyWorkspaces(t)
	if n := testing.AllocsPerRun(100, func() { table.CallerByKey("n4ryrbbkf83fg-001234") }); n > 0 {
		t.Errorf("%.0f allocations; want none", n)
	}
}

func BenchmarkCallerByKey(b *testing.B) {
	table := manyWorkspaces(b)
	for b.Loop() {
		if _, ok := table.CallerByKey("n4ryrbbkf83fg-001234"); !ok {
			b.Fatal("the key is not known")
		}
	}
}
