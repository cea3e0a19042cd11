package check

import (
	"maps"
	"path/filepath"
	"testing"

	"heatherwall.example/testbed/journal"
)

// Each case guards against a comparison that overlooks one kind of violation, or that reports one where none is.
func TestComparison(t *testing.T) {
	run := journal.ServerEvent{Event: journal.Started, Request: "r", Attempt: "r/0", Region: "erie", Server: "s1"}
	second := journal.ServerEvent{Event: journal.Started, Request: "r", Attempt: "r/1", Region: "erie", Server: "s2"}
	far := journal.ServerEvent{Event: journal.Started, Request: "r", Attempt: "r/0", Region: "ontario", Server: "s3"}
	whole := journal.Call{Request: "r", Attempt: "r/0", AtMostOnce: true, HomeRegions: []string{"erie"}, Outcome: journal.OK, GatewayRegion: "erie"}
	idempotent := whole
	idempotent.AtMostOnce = false
	refused := whole
	refused.Outcome, refused.Ran = journal.Refused, journal.RanNo
	elsewhere := whole
	elsewhere.GatewayRegion = "ontario"
	cut := whole
	cut.Mismatch = "checksum"
	unknown := whole
	unknown.Outcome, unknown.Ran, unknown.Reason = journal.Refused, journal.RanUnknown, "backend_failed"
	cases := []struct {
		name string
		runs []journal.ServerEvent
		call journal.Call
		want Report
	}{
		{"sound", []journal.ServerEvent{run}, whole, Report{}},
		{"twice", []journal.ServerEvent{run, second}, whole, Report{Doubled: 1}},
		{"twice, idempotent", []journal.ServerEvent{run, second}, idempotent, Report{}},
		{"outside home", []journal.ServerEvent{far}, whole, Report{Misplaced: 1}},
		{"gateway outside home", []journal.ServerEvent{run}, elsewhere, Report{Misplaced: 1}},
		{"refused, ran", []journal.ServerEvent{run}, refused, Report{FalseNotRun: 1}},
		{"refused, another sending ran", []journal.ServerEvent{second}, refused, Report{}},
		{"cut", []journal.ServerEvent{run}, cut, Report{Mismatched: 1}},
		{"answered, not run", nil, whole, Report{Mismatched: 1}},
		{"unknown, ran", []journal.ServerEvent{run}, unknown, Report{}},
		{"unknown, not run", nil, unknown, Report{AvoidableUnknown: map[string]int{"backend_failed": 1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := compareFiles(t, c.runs, c.call)
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

func compareFiles(t *testing.T, runs []journal.ServerEvent, call journal.Call) Report {
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
