package routes

import (
	"math/rand/v2"
	"testing"

	"heatherwall.example/api/controlpb"
)

func newTable() *controlpb.RouteTable {
	one := []*controlpb.RouteShare{{Service: "one", Weight: 1}}
	return &controlpb.RouteTable{
		Version:  1,
		Services: []*controlpb.RoutedService{{Name: "one"}, {Name: "two"}},
		Routes: []*controlpb.Route{
			{Name: "short", Host: "A.example", PathPrefix: "/x/", TimeoutMs: 1000, Shares: one},
			{Name: "long", Host: "a.example", PathPrefix: "/x/y/", TimeoutMs: 1000, Shares: one},
			{Name: "split", Host: "b.example", PathPrefix: "/", TimeoutMs: 1000, Regions: []string{"north"},
				Shares: []*controlpb.RouteShare{{Service: "one", Weight: 90}, {Service: "two", Weight: 10}, {Service: "two", Weight: 0}}},
		},
	}
}

// Guards against a route of another host or of a shorter prefix, and against hosts that differ in case or have a port.
func TestMatch(t *testing.T) {
	c, err := Compile(newTable())
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []struct{ host, path, route string }{
		{"a.example", "/x/1", "short"}, {"a.example:8080", "/x/1", "short"}, {"A.EXAMPLE", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"}, {"b.example", "/anything", "split"},
		{"a.example", "/x", ""}, {"a.example", "/", ""}, {"c.example", "/x/1", ""}, {"", "/x/1", ""},
	} {
		r, ok := c.Match(m.host, m.path)
		if ok != (m.route != "") || ok && r.Name != m.route {
			t.Errorf("%s%s: %v, %v; want %q", m.host, m.path, r, ok, m.route)
		}
	}
}

// Guards against a distribution of requests that deviates from the weights, shares without weight that get requests, and
// rules that lose the regions of the route.
func TestSharesFollowWeights(t *testing.T) {
	c, err := Compile(newTable())
	if err != nil {
		t.Fatal(err)
	}
	r, _ := c.Match("b.example", "/")
	random := rand.New(rand.NewPCG(1, 2))
	const requests = 100_000
	counts := map[string]int{}
	for range requests {
		counts[r.ChooseRule(random.Float64()).Service.Name]++
	}
	if share := float64(counts["two"]) / requests; share < 0.095 || share > 0.105 {
		t.Errorf("share %.3f of a service with a tenth of the weight", share)
	}
	if rule := r.ChooseRule(0.99999999); rule == nil || rule.RunIn.Any || !rule.RunIn.Contains("north") {
		t.Errorf("rule %v: expected the regions of the route", rule)
	}
}

// Guards against accepting a table whose routes could not be matched or could not choose a service.
func TestCompileRejectsInvalidTables(t *testing.T) {
	for name, invalidate := range map[string]func(*controlpb.Route){
		"no host":         func(r *controlpb.Route) { r.Host = "" },
		"prefix":          func(r *controlpb.Route) { r.PathPrefix = "x/" },
		"timeout":         func(r *controlpb.Route) { r.TimeoutMs = 0 },
		"unknown service": func(r *controlpb.Route) { r.Shares[0].Service = "three" },
		"negative weight": func(r *controlpb.Route) { r.Shares[0].Weight = -1 },
		"no weight":       func(r *controlpb.Route) { r.Shares[0].Weight = 0 },
		"no shares":       func(r *controlpb.Route) { r.Shares = nil },
	} {
		c := newTable()
		invalidate(c.Routes[0])
		if _, err := Compile(c); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
