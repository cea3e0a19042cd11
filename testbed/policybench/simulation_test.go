package main

import (
	"slices"
	"testing"
	"time"
)

func testRun(t *testing.T, scenarioName, policyName string) result {
	t.Helper()
	i := slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == scenarioName })
	j := slices.IndexFunc(policies(), func(p policy) bool { return p.name == policyName })
	if i < 0 || j < 0 {
		t.Fatalf("no scenario %q or no policy %q", scenarioName, policyName)
	}
	sc := scenarios[i]
	sc.length = 2 * time.Second
	return newSimulation(run{deployments[1], sc, policies()[j], 7}).run()
}

// Guards against requests that the bench loses or counts twice.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, sc := range []string{"steady", "noisy neighbours", "fast failers", "overload 1.5", "cold fallback"} {
		for _, p := range []string{baseline, ours, "ours -queue"} {
			r := testRun(t, sc, p)
			if r.requests == 0 || r.ok+r.failed+r.refused != r.requests {
				t.Errorf("%s, %s: %d requests, %d ok, %d failed, %d refused", sc, p, r.requests, r.ok, r.failed, r.refused)
			}
		}
	}
}

// Guards against runs that depend on anything but the seed.
func TestSameSeedSameResult(t *testing.T) {
	a, b := testRun(t, "noise and cold fallback", ours), testRun(t, "noise and cold fallback", ours)
	if a.quantile(99) != b.quantile(99) || a.attempts != b.attempts || a.within != b.within || a.overCold != b.overCold {
		t.Fatalf("two runs with the same seed differ: %v %v", a, b)
	}
}

// Guards against a model in which more than all slots work at once.
func TestGoodputWithinCapacity(t *testing.T) {
	r := testRun(t, "overload 1.5", baseline)
	if g := r.goodput(); g > 1.05 || g < 0.5 {
		t.Fatalf("goodput %.3f of capacity", g)
	}
}
