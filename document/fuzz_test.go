package document

import (
	"slices"
	"strings"
	"testing"
)

const flowMeasuring = "measuring: {owner: alpha, within_region: 12KiB, across_regions: 2KiB}\n"

// FuzzParse checks that no text crashes or hangs the parser, that problems have positions, and that an accepted
// document compiles and keeps its sections when it is rendered and parsed again.
func FuzzParse(f *testing.F) {
	for _, text := range []string{
		sample,
		strings.ReplaceAll(sample, "\n", "\r\n"),
		strings.Replace(sample, "    keys:", "# column 0\n\n    keys:", 1),
		strings.Replace(sample, "  r1: [d1, d2]", "  r1:\n    - d1 # one\n\n    - d2\n # after\n", 1),
		strings.Replace(sample, "owner: alpha,", "owner: \"al\\\n    pha\",", 1),
		strings.Replace(sample, "name: issue", "name: |-\n          issue", 1),
		strings.Replace(sample, "name: issue", "name: >-\n\n          issue\n\n", 1),
		strings.Replace(sample, flowMeasuring, "measuring:\n  owner: alpha\n  within_region: 12KiB\n  across_regions: \"2\\\n KiB\"\n", 1),
		strings.Replace(sample, flowMeasuring, "measuring: # 0\n  # 1\n  { # 2\n  owner: alpha, # 3\n  # 4\n  within_region: 12KiB, across_regions: 2KiB # 5\n  # 6\n  } # 7\n  # 8\n", 1),
		strings.Replace(sample, "measuring: {", "measuring:\n  {", 1),
		strings.Replace(sample, "topology:\n", "topology: # comment\n", 1) + "# end\n",
		strings.Replace(sample, "  owner: alpha/ops\n  regions", "  ? owner\n  : alpha/ops\n  regions", 1),
		"%YAML 1.1\n---\n" + strings.Replace(sample, "format: 1", "!!str format: !!int 1", 1) + "...\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		d, problems := Parse("f.yaml", text)
		for _, p := range problems {
			if p.Line < 1 || p.Column < 1 || p.Path == "" || p.Expected == "" || p.Reason == "" {
				t.Fatalf("problem without position or reason: %+v", p)
			}
		}
		if len(problems) > 0 {
			return
		}
		if _, problems := Compile(d.Sections()); len(problems) > 0 {
			t.Fatalf("parsed document does not compile: %v", problems)
		}
		again, problems := Parse("f.yaml", Render(d.Sections(), d.Revision))
		if len(problems) > 0 {
			t.Fatalf("rendered document: %v", problems)
		}
		same := func(a, b Section) bool { return a == b }
		if !slices.EqualFunc(d.Sections(), again.Sections(), same) || again.Revision != d.Revision {
			t.Fatalf("sections changed:\n%+v\n%+v", d.Sections(), again.Sections())
		}
	})
}
