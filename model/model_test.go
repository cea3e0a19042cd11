package model

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// verification is a model with its bounds. violations maps the macro of each variant to a part of the assertion that
// the variant must violate.
type verification struct {
	name, file string
	defines    []string
	violations map[string]string
}

var verifications = []verification{
	{"repair", "election.pml", []string{"-DMAX_TERM=2", "-DMAX_LOG_LENGTH=3"}, map[string]string{
		"BROKEN_SAME_IDENTITY":   "leader[t]==4",
		"BROKEN_COUNT_LEARNER":   "committed[",
		"BROKEN_VOTE_NOT_SYNCED": "leader[t]==4",
		"BROKEN_HALF_ON_SILENCE": "leader[t]==4",
		// The lost half may have committed the promotion together with the promoted replica.
		"BROKEN_HALF_WITHOUT_PREVIOUS": "leader[t]==4",
		// Not a protocol fault; the violation shows that the bounds include an election after the second disk loss.
		"REACH_LEADER_AFTER_SECOND_DISK_LOSS": "diskLosses<2",
	}},
	{"terms", "election.pml", []string{"-DMAX_TERM=4", "-DMAX_LOG_LENGTH=1", "-DNO_REPAIR", "-DTWO_CANDIDATES"}, map[string]string{
		"BROKEN_COMMIT_OLD_TERM": "committed[",
	}},
	{"replication", "election.pml", []string{"-DMAX_TERM=3", "-DMAX_LOG_LENGTH=2", "-DNO_REPAIR", "-DTWO_CANDIDATES"}, map[string]string{
		"BROKEN_VOTE_FOR_ANY_LOG": "committed[",
	}},
	{"lease", "lease.pml", nil, map[string]string{
		"BROKEN_LEASE_FROM_ANSWER": "revision>=k",
		"BROKEN_NO_NONCE":          "revision>=k",
		"BROKEN_NO_QUORUM":         "revision>=k",
		"BROKEN_OLD_ROUND":         "revision>=k",
		"BROKEN_RESTART_SERVES":    "revision>=k",
		"BROKEN_REVERT":            "revision>=highestRevision",
	}},
	{"join", "join.pml", nil, map[string]string{
		"BROKEN_COUNT_REPEATED_APPROVALS": "lastApproved[",
		"BROKEN_EDIT_KEEPS_APPROVALS":     "lastApproved[",
		"BROKEN_MEMBERS_AT_SUBMISSION":    "lastApproved[",
		"BROKEN_LEFT_STILL_REQUIRED":      "missing>0",
	}},
	{"claim", "claim.pml", nil, map[string]string{
		"BROKEN_SEND_BEFORE_CLAIM":        "executions<=1",
		"BROKEN_ANY_ATTEMPT_RELEASES_KEY": "executions<=1",
		"BROKEN_UNKNOWN_AS_NOT_RUN":       "executions<=1",
		"BROKEN_CRASH_RELEASES_KEY":       "executions<=1",
	}},
	{"owner", "owner.pml", nil, map[string]string{
		"BROKEN_SEND_RIGHT_FROM_ECHO":  "sendRightLeft[0]==0",
		"BROKEN_SEND_RIGHT_FROM_GRANT": "sendRightLeft[0]==0",
		"BROKEN_SWITCH_EARLY":          "sendRightLeft[0]==0",
	}},
	{"quota", "quota.pml", nil, map[string]string{
		"BROKEN_NO_WAIT":             "leaseLeft[0]>0",
		"BROKEN_LEASE_FROM_ANSWER":   "leaseLeft[0]>0",
		"BROKEN_LATE_RELEASE":        "leaseLeft[0]>0",
		"BROKEN_GIVES_WITHOUT_BEGIN": "leaseLeft[0]>0",
	}},
}

// TestModels guards against protocols that break an invariant. The variants guard against invariants that cannot fail.
func TestModels(t *testing.T) {
	for _, v := range verifications {
		t.Run(v.name, func(t *testing.T) {
			out := verify(t, v.file, v.defines...)
			if !strings.Contains(out, "errors: 0") || strings.Contains(out, "Search not completed") {
				t.Fatalf("the protocol breaks an invariant, or the search is incomplete:\n%s", out)
			}
			t.Log(regexp.MustCompile(`\d+ states, stored`).FindString(out))
			for macro, assertion := range v.violations {
				out := verify(t, v.file, append([]string{"-D" + macro}, v.defines...)...)
				violated := regexp.MustCompile(`assertion violated.*`).FindString(out)
				if !strings.Contains(violated, assertion) {
					t.Errorf("%s: want a violation of %q, got %q", macro, assertion, violated)
				}
			}
		})
	}
}

// verify builds the verifier of a model with the given macros in a temporary folder, runs it and returns its output.
func verify(t *testing.T, file string, defines ...string) string {
	t.Helper()
	dir := t.TempDir()
	source, err := filepath.Abs(file)
	if err != nil {
		t.Fatal(err)
	}
	runCommand(t, dir, "spin", append(append([]string{"-a"}, defines...), source)...)
	runCommand(t, dir, "gcc", "-O2", "-DSAFETY", "-DMEMLIM=1800", "-o", "pan", "pan.c")
	return runCommand(t, dir, filepath.Join(dir, "pan"), "-m400000", "-w22", "-E")
}

// runCommand runs a program in dir and returns its standard output and standard error; a failure ends the test.
func runCommand(t *testing.T, dir, name string, arguments ...string) string {
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
