package model

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// run is one model with its bounds. Each broken variant must violate the assertion that contains the given text.
type run struct {
	name, file string
	defines    []string
	broken     map[string]string
}

var runs = []run{
	{"repair", "election.pml", []string{"-DTERMS=2", "-DLENGTH=3"}, map[string]string{
		"BROKEN_SAME_IDENTITY":   "leader[t]==4",
		"BROKEN_COUNT_LEARNER":   "committed[",
		"BROKEN_VOTE_NOT_SYNCED": "leader[t]==4",
		// Not a fault: shows that the bounds include an election after the second loss.
		"REACH_LEADER_AFTER_SECOND_LOSS": "losses<2",
	}},
	{"terms", "election.pml", []string{"-DTERMS=4", "-DLENGTH=1", "-DNO_REPAIR", "-DTWO_CANDIDATES"}, map[string]string{
		"BROKEN_COMMIT_OLD_TERM": "committed[",
	}},
	{"replication", "election.pml", []string{"-DTERMS=3", "-DLENGTH=2", "-DNO_REPAIR", "-DTWO_CANDIDATES"}, map[string]string{
		"BROKEN_ANY_LOG": "committed[",
	}},
	{"lease", "lease.pml", nil, map[string]string{
		"BROKEN_LEASE_FROM_ANSWER": "revision>=k",
		"BROKEN_NO_NONCE":          "revision>=k",
		"BROKEN_NO_QUORUM":         "revision>=k",
		"BROKEN_OLD_ROUND":         "revision>=k",
		"BROKEN_RESTART_SERVES":    "revision>=k",
		"BROKEN_REVERT":            "revision>=highest",
	}},
	{"join", "join.pml", nil, map[string]string{
		"BROKEN_COUNT_REPEATS":         "given[",
		"BROKEN_EDIT_KEEPS_APPROVALS":  "given[",
		"BROKEN_MEMBERS_AT_SUBMISSION": "given[",
		"BROKEN_LEFT_STILL_REQUIRED":   "missing>0",
	}},
	{"claim", "claim.pml", nil, map[string]string{
		"BROKEN_SEND_BEFORE_CLAIM":  "runs<=1",
		"BROKEN_ANY_HOLDER_FREES":   "runs<=1",
		"BROKEN_UNKNOWN_AS_NOT_RUN": "runs<=1",
		"BROKEN_CRASH_FREES":        "runs<=1",
	}},
	{"owner", "owner.pml", nil, map[string]string{
		"BROKEN_RIGHT_FROM_ECHO": "rightLeft[0]==0",
		"BROKEN_RIGHT_FROM_SENT": "rightLeft[0]==0",
		"BROKEN_SWITCH_EARLY":    "rightLeft[0]==0",
	}},
}

// Guards against a protocol that breaks an invariant, and against invariants that cannot fail.
func TestModels(t *testing.T) {
	for _, r := range runs {
		t.Run(r.name, func(t *testing.T) {
			out := check(t, r.file, r.defines...)
			if !strings.Contains(out, "errors: 0") || strings.Contains(out, "Search not completed") {
				t.Fatalf("the protocol breaks an invariant, or the search is incomplete:\n%s", out)
			}
			t.Log(regexp.MustCompile(`\d+ states, stored`).FindString(out))
			for macro, assertion := range r.broken {
				out := check(t, r.file, append([]string{"-D" + macro}, r.defines...)...)
				violated := regexp.MustCompile(`assertion violated.*`).FindString(out)
				if !strings.Contains(violated, assertion) {
					t.Errorf("%s: want a violation of %q, got %q", macro, assertion, violated)
				}
			}
		})
	}
}

// check builds the verifier in a temporary folder and returns its output.
func check(t *testing.T, file string, defines ...string) string {
	t.Helper()
	dir := t.TempDir()
	source, err := filepath.Abs(file)
	if err != nil {
		t.Fatal(err)
	}
	command(t, dir, "spin", append(append([]string{"-a"}, defines...), source)...)
	command(t, dir, "gcc", "-O2", "-DSAFETY", "-DMEMLIM=1800", "-o", "pan", "pan.c")
	return command(t, dir, filepath.Join(dir, "pan"), "-m400000", "-w22", "-E")
}

func command(t *testing.T, dir, name string, arguments ...string) string {
	t.Helper()
	c := exec.Command(name, arguments...)
	c.Dir = dir
	c.Env = os.Environ()
	out, err := c.CombinedOutput()
	if err != nil {
		t.Fatalf("%s: %v\n%s", name, err, out)
	}
	return string(out)
}
