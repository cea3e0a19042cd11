package check

import (
	"maps"
	"path/filepath"
	"testing"

	"heatherwall.example/testbed/journal"
)

// Each case guards against a comparison that misses one kind of violation or reports a false one.
func TestComparison(t *testing.T) {
	first := journal.ServerEvent{Event: journal.Started, Request: "r", Attempt: "r/0", Region: "erie", Server: "s1"}
	second := journal.ServerEvent{Event: journal.Started, Request: "r", Attempt: "r/1", Region: "erie", Server: "s2"}
	outsideHome := journal.ServerEvent{Event: journal.Started, Request: "r", Attempt: "r/0", Region: "ontario", Server: "s3"}
	complete := journal.Call{Request: "r", Attempt: "r/0", AtMostOnce: true, HomeRegions: []string{"erie"}, Outcome: journal.OK, GatewayRegion: "erie"}
	idempotent := complete
	idempotent.AtMostOnce = false
	refused := complete
	refused.Outcome, refused.Ran = journal.Refused, journal.RanNo
	gatewayOutsideHome := complete
	gatewayOutsideHome.GatewayRegion = "ontario"
	truncated := complete
	truncated.Mismatch = "checksum"
	unknown := complete
	unknown.Outcome, unknown.Ran, unknown.Reason = journal.Refused, journal.RanUnknown, "backend_failed"
	cases := []struct {
		name string
		runs []journal.ServerEvent
		call journal.Call
		want Report
	}{
		{"no violation", []journal.ServerEvent{first}, complete, Report{}},
		{"twice", []journal.ServerEvent{first, second}, complete, Report{Doubled: 1}},
		{"twice, idempotent", []journal.ServerEvent{first, second}, idempotent, Report{}},
		{"outside home", []journal.ServerEvent{outsideHome}, complete, Report{Misplaced: 1}},
		{"gateway outside home", []journal.ServerEvent{first}, gatewayOutsideHome, Report{Misplaced: 1}},
		{"refused, ran", []journal.ServerEvent{first}, refused, Report{FalseNotRun: 1}},
		{"refused, another attempt ran", []journal.ServerEvent{second}, refused, Report{}},
		{"truncated", []journal.ServerEvent{first}, truncated, Report{Mismatched: 1}},
		{"answered, not run", nil, complete, Report{Mismatched: 1}},
		{"unknown, ran", []journal.ServerEvent{first}, unknown, Report{}},
		{"unknown, not run", nil, unknown, Report{AvoidableUnknown: map[string]int{"backend_failed": 1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := compareRecords(t, c.runs, c.call)
			if got.Doubled != c.want.Doubled || got.Misplaced != c.want.Misplaced ||
				got.FalseNotRun != c.want.FalseNotRun || got.Mismatched != c.want.Mismatched ||
				!maps.Equal(got.AvoidableUnknown, c.want.AvoidableUnknown) {
				t.Errorf("expected %s, got %s", c.want.Line(), got.Line())
			}
			violations := c.want.Doubled + c.want.Misplaced + c.want.FalseNotRun + c.want.Mismatched
			if got.Passed() != (violations == 0) {
				t.Errorf("expected %d violations, got %v", violations, got.Violations)
			}
		})
	}
}

func compareRecords(t *testing.T, runs []journal.ServerEvent, call journal.Call) Report {
	t.Helper()
	servers := filepath.Join(t.TempDir(), "servers")
	callers := filepath.Join(t.TempDir(), "callers")
	s, err := journal.OpenWriter(servers)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range runs {
		s.Write(r)
	}
	c, err := journal.OpenWriter(callers)
	if err != nil {
		t.Fatal(err)
	}
	c.Write(call)
	report, err := CompareFiles([]string{servers}, []string{callers})
	if err != nil {
		t.Fatal(err)
	}
	return report
}
