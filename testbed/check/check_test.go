package check

import (
	"maps"
	"path/filepath"
	"testing"

	"heatherwall.example/testbed/journal"
)

// Each case guards against a comparison that overlooks one kind of violation, or that reports one where none is.
func TestComparison(t *testing.T) {
	run := journal.Run{Event: journal.Started, Request: "r", Sending: "r/0", Region: "erie", Server: "s1"}
	second := journal.Run{Event: journal.Started, Request: "r", Sending: "r/1", Region: "erie", Server: "s2"}
	far := journal.Run{Event: journal.Started, Request: "r", Sending: "r/0", Region: "ontario", Server: "s3"}
	whole := journal.Call{Request: "r", Sending: "r/0", Once: true, Home: []string{"erie"}, Told: journal.OK, GatewayRegion: "erie"}
	idempotent := whole
	idempotent.Once = false
	refused := whole
	refused.Told, refused.Ran = journal.Refused, journal.RanNo
	elsewhere := whole
	elsewhere.GatewayRegion = "ontario"
	cut := whole
	cut.Mismatch = "checksum"
	unknown := whole
	unknown.Told, unknown.Ran, unknown.Reason = journal.Refused, journal.RanUnknown, "backend_failed"
	cases := []struct {
		name string
		runs []journal.Run
		call journal.Call
		want Report
	}{
		{"sound", []journal.Run{run}, whole, Report{}},
		{"twice", []journal.Run{run, second}, whole, Report{Doubled: 1}},
		{"twice, idempotent", []journal.Run{run, second}, idempotent, Report{}},
		{"outside home", []journal.Run{far}, whole, Report{Misplaced: 1}},
		{"gateway outside home", []journal.Run{run}, elsewhere, Report{Misplaced: 1}},
		{"refused, ran", []journal.Run{run}, refused, Report{FalseNotRun: 1}},
		{"refused, another sending ran", []journal.Run{second}, refused, Report{}},
		{"cut", []journal.Run{run}, cut, Report{Mismatched: 1}},
		{"answered, not run", nil, whole, Report{Mismatched: 1}},
		{"unknown, ran", []journal.Run{run}, unknown, Report{}},
		{"unknown, not run", nil, unknown, Report{Needless: map[string]int{"backend_failed": 1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := compareFiles(t, c.runs, c.call)
			if got.Doubled != c.want.Doubled || got.Misplaced != c.want.Misplaced ||
				got.FalseNotRun != c.want.FalseNotRun || got.Mismatched != c.want.Mismatched ||
				!maps.Equal(got.Needless, c.want.Needless) {
				t.Errorf("expected %s, got %s", c.want.Line(), got.Line())
			}
			violations := c.want.Doubled + c.want.Misplaced + c.want.FalseNotRun + c.want.Mismatched
			if got.Sound() != (violations == 0) {
				t.Errorf("expected %d violations, got %v", violations, got.Violations)
			}
		})
	}
}

func compareFiles(t *testing.T, runs []journal.Run, call journal.Call) Report {
	t.Helper()
	servers := filepath.Join(t.TempDir(), "servers")
	callers := filepath.Join(t.TempDir(), "callers")
	s, err := journal.Create(servers)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range runs {
		s.Write(r)
	}
	c, err := journal.Create(callers)
	if err != nil {
		t.Fatal(err)
	}
	c.Write(call)
	report, err := Files([]string{servers}, []string{callers})
	if err != nil {
		t.Fatal(err)
	}
	return report
}
