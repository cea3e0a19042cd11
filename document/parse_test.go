package document

import (
	"slices"
	"strings"
	"testing"
)

const testPublicKey = "11qYAYKxCrfVS/7TyWQHOg7hcvPapiMlrwIaaPcHURo="

const sample = `format: 1
revision: 7
members:
  alpha:
    # Keys of the head office.
    keys:
      - {id: k1, public_key: "` + testPublicKey + `"}
    teams:
      ops:
        - {id: k2, public_key: "` + testPublicKey + `"}
    tenants:
      west:
        home_regions: [r1]
        callers:
          - {name: line-1, token_sha256: ` + hashOne + `}
      wide:
        callers:
          - {name: line-2, token_sha256: ` + hashTwo + `}
topology:
  owner: alpha/ops
  regions:
    r1: [d1, d2]
    r2: [d3]
measuring: {owner: alpha, within_region: 12KiB, across_regions: 2KiB}
services:
  labels:
    owner: alpha/ops
    credential_sha256: ` + hashOne + `
    claim_region: r1
    workers: 12
    slots: 6
    connections: 220
    rules:
      - name: issue
        methods: [POST]
        path: /labels
        callers: [alpha/west]
        idempotent: false
        home_regions: [r1, r2]
        run_in: [r2, r1]
        keep_in: [r1]
        deadline: 2s
      - name: find
        methods: [GET, POST]
        path: /labels/find
        callers: ["alpha/*"]
        idempotent: true
        deadline: 500ms
        hedge: true
`

const (
	hashOne = "0000000000000000000000000000000000000000000000000000000000000001"
	hashTwo = "0000000000000000000000000000000000000000000000000000000000000002"
)

func mustParse(t *testing.T, text string) *Document {
	t.Helper()
	d, problems := Parse("f.yaml", []byte(text))
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return d
}

func mustCompile(t *testing.T, text string) *Config {
	t.Helper()
	c, problems := Compile(mustParse(t, text).Sections())
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return c
}

// A section must keep the author's comments and must not change when the document is rendered and parsed again.
func TestSectionsSurviveRendering(t *testing.T) {
	d := mustParse(t, sample)
	rendered := Render(d.Sections(), d.Revision)
	again := mustParse(t, string(rendered))
	if !slices.Equal(d.Sections(), again.Sections()) || again.Revision != 7 {
		t.Errorf("sections changed:\n%s", rendered)
	}
	outdented := mustParse(t, strings.Replace(sample, "    tenants:", "# column 0\n    tenants:", 1))
	for _, want := range []string{"# Keys of the head office.\nkeys:\n  - {id", "\n# column 0\ntenants:\n"} {
		if !strings.Contains(outdented.Sections()[0].Text, want) {
			t.Errorf("%q lost in %q", want, outdented.Sections()[0].Text)
		}
	}
}

// Each mistake must be reported with its own position, and none may hide another one.
func TestParseReportsProblem(t *testing.T) {
	cases := []struct {
		name, old, new string
		line           int
		path           string
		reason         Reason
	}{
		{"format", "format: 1", "format: 2", 1, "format", ReasonBadValue},
		{"unknown field", "    slots: 6", "    slots: 6\n    slot: 6", 32, "services.labels.slot", ReasonUnknownField},
		{"duplicate field", "    slots: 6", "    slots: 6\n    slots: 7", 32, "services.labels.slots", ReasonDuplicate},
		{"missing", "    slots: 6\n", "", 27, "services.labels.slots", ReasonMissing},
		{"type", "slots: 6", "slots: [6]", 31, "services.labels.slots", ReasonWrongType},
		{"key", testPublicKey + "\"}\n    teams", "AAAA\"}\n    teams", 7, "members.alpha.keys[0].public_key", ReasonBadValue},
		{"token twice", hashTwo, hashOne, 18, "members.alpha.tenants.wide.callers[0].token_sha256", ReasonDuplicate},
		{"region", "home_regions: [r1]\n", "home_regions: [r9]\n", 13, "members.alpha.tenants.west.home_regions[0]", ReasonUnknownName},
		{"failure domain twice", "r2: [d3]", "r2: [d1]", 23, "topology.regions.r2[0]", ReasonDuplicate},
		{"owner", "owner: alpha/ops\n  regions", "owner: alpha/none\n  regions", 20, "topology.owner", ReasonUnknownName},
		{"caller", "[alpha/west]", "[alpha/east]", 37, "services.labels.rules[0].callers[0]", ReasonUnknownName},
		{"keep outside home", "keep_in: [r1]", "keep_in: [r1, r3]", 41, "services.labels.rules[0].keep_in[1]", ReasonInconsistentRegions},
		{"claim region not kept", "claim_region: r1", "claim_region: r2", 34, "services.labels.rules[0]", ReasonClaimRegion},
		{"claim region outside keep", "keep_in: [r1]", "keep_in: [r2]", 34, "services.labels.rules[0]", ReasonClaimRegion},
		{"tenant outside run", "run_in: [r2, r1]", "run_in: [r2]", 37, "services.labels.rules[0].callers[0]", ReasonInconsistentRegions},
		{"claim region left out", "    claim_region: r1\n", "", 33, "services.labels.rules[0]", ReasonClaimRegion},
		{"claim region outside tenant home", "home_regions: [r1]\n", "home_regions: [r2]\n", 34, "services.labels.rules[0]", ReasonClaimRegion},
		{"ambiguous", "path: /labels/find", "path: /labels", 45, "services.labels.rules[1].path", ReasonAmbiguousRule},
		{"hedge", "idempotent: false", "idempotent: false\n        hedge: true", 39, "services.labels.rules[0].hedge", ReasonBadValue},
		{"key policy", "idempotent: true", "idempotent: true\n        idempotency_key: required", 48, "services.labels.rules[1].idempotency_key", ReasonBadValue},
		{"duration", "deadline: 2s", "deadline: 2", 42, "services.labels.rules[0].deadline", ReasonBadValue},
		{"budget", "within_region: 12KiB", "within_region: 12kb", 24, "measuring.within_region", ReasonBadValue},
		{"path", "path: /labels/find", "path: /labels/../x", 45, "services.labels.rules[1].path", ReasonBadValue},
		{"alias", "run_in: [r2, r1]", "run_in: &a [r2, r1]", 40, "(file)", ReasonSyntax},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, problems := Parse("f.yaml", []byte(strings.Replace(sample, c.old, c.new, 1)))
			found := slices.ContainsFunc(problems, func(p Problem) bool {
				return p.Path == c.path && p.Line == c.line && p.Reason == c.reason && p.File == "f.yaml" && p.Column > 0
			})
			if !found {
				t.Errorf("want %s at line %d (%s), got:\n%v", c.path, c.line, c.reason, problems)
			}
		})
	}
}
