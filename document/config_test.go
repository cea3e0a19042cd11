package document

import (
	"slices"
	"strings"
	"testing"
)

// The longest prefix of whole segments must win, and paths that a backend server could resolve to another path must
// match no rule.
func TestMatchRule(t *testing.T) {
	c := mustCompile(t, sample)
	for _, r := range []struct{ method, path, want string }{
		{"POST", "/labels", "issue"}, {"POST", "/labels/", "issue"}, {"POST", "/labels/7/a", "issue"},
		{"POST", "/labels/find", "find"}, {"POST", "/labels/find/7", "find"}, {"POST", "/labels/finder", "issue"},
		{"GET", "/labels/find", "find"}, {"GET", "/labels", ""}, {"POST", "/labelset", ""}, {"POST", "/", ""}, {"POST", "", ""},
		{"POST", "/labels/find/../x", ""}, {"POST", "/labels/./find", ""}, {"POST", "//labels", ""}, {"POST", "/labels//find", ""},
		{"POST", "/labels/find/..", ""}, {"POST", `/labels/find\..`, ""}, {"POST", "labels", ""}, {"POST", "/labels//", ""},
	} {
		rule, ok := c.MatchRule(r.method, r.path)
		if ok != (r.want != "") || ok && rule.Name != r.want {
			t.Errorf("%s %s: got %+v", r.method, r.path, rule)
		}
	}
	root := mustCompile(t, strings.Replace(sample, "path: /labels/find", "path: /", 1))
	if rule, ok := root.MatchRule("GET", "/any/thing"); !ok || rule.Name != "find" {
		t.Errorf("root prefix: %+v", rule)
	}
}

// A request must stay in the regions that are home regions of both its rule and its tenant.
func TestPlacement(t *testing.T) {
	c := mustCompile(t, sample)
	issue, _ := c.MatchRule("POST", "/labels")
	find, _ := c.MatchRule("GET", "/labels/find")
	west, _ := c.callers[[32]byte{31: 1}]
	wide, _ := c.callers[[32]byte{31: 2}]
	p, ok := issue.Placement(west.Tenant)
	if !ok || !slices.Equal(p.Home.Names, []string{"r1"}) || p.RunIn.Contains("r2") || !p.KeepIn.Contains("r1") {
		t.Errorf("issue for west: %+v", p)
	}
	if _, ok := issue.Placement(wide.Tenant); ok {
		t.Error("issue admits wide")
	}
	if p, ok := find.Placement(wide.Tenant); !ok || !p.Home.Any || !p.RunIn.Contains("r9") {
		t.Errorf("find for wide: %+v", p)
	}
	if p, ok := find.Placement(west.Tenant); !ok || p.RunIn.Contains("r2") || p.KeepIn.Contains("r2") {
		t.Errorf("find for west: %+v", p)
	}
}

// Guards against wrong results of the lookups that gateways make, and against WithDomainsOut changing a Config that is
// in use.
func TestConfigLookups(t *testing.T) {
	c := mustCompile(t, sample)
	out := c.WithDomainsOut([]string{"d3", "d1"})
	if c.IsDomainOut("d1") || !out.IsDomainOut("d1") || !out.IsDomainOut("d3") || out.IsDomainOut("d2") {
		t.Errorf("out: %v and %v", c.DomainsOut, out.DomainsOut)
	}
	if region, ok := c.RegionOf("d3"); !ok || region != "r2" {
		t.Errorf("d3 is in %q", region)
	}
	if c.MeasuringRateWithinRegion != 12<<10 || c.MeasuringRateAcrossRegions != 2<<10 {
		t.Errorf("budgets %d, %d", c.MeasuringRateWithinRegion, c.MeasuringRateAcrossRegions)
	}
	rule := c.Services[0].Rules[0]
	if rule.MaxBodyBytes != DefaultMaxBodyBytes || rule.KeyPolicy != IdempotencyKeyRequired || c.Services[0].ClaimRegion != "r1" {
		t.Errorf("defaults: %+v", rule)
	}
	if _, ok := c.CallerByToken("nobody"); ok {
		t.Error("an unknown token has a caller")
	}
}

// Input that exceeds a limit must be rejected before the work that the limit bounds is done.
func TestLimits(t *testing.T) {
	big := strings.Repeat("# filler\n", MaxDocumentBytes/9+1)
	long := strings.Replace(sample, "    # Keys of the head office.", strings.Repeat("    # filler\n", MaxSectionBytes/9), 1)
	tenants := strings.Replace(sample, "      wide:\n", strings.Repeat("      t: {}\n", MaxListItems)+"      wide:\n", 1)
	nested := strings.Repeat("[", 20_000)
	for name, text := range map[string]string{"document": big + sample, "section": long, "tenants": tenants, "nesting": nested, "two documents": sample + "---\n" + sample} {
		_, problems := Parse("f.yaml", []byte(text))
		limited := func(p Problem) bool { return p.Reason == ReasonTooLarge || p.Reason == ReasonSyntax }
		if !slices.ContainsFunc(problems, limited) {
			t.Errorf("%s: %v", name, problems)
		}
	}
	many := mustParse(t, sample).Sections()
	for len(many) < MaxDocumentBytes/maxHeadingBytes {
		many = append(many, Section{Name: "services/x"})
	}
	if _, problems := Compile(many); len(problems) != 1 || problems[0].Reason != ReasonTooLarge {
		t.Errorf("many sections: %d problems", len(problems))
	}
}
