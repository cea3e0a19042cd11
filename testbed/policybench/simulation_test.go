package main

import (
	"slices"
	"testing"
	"time"
)

func runScenario(t *testing.T, scenarioName, policyName string) result {
	t.Helper()
	i := slices.IndexFunc(scenarios, func(s scenario) bool { return s.name == scenarioName })
	j := slices.IndexFunc(policies(), func(p policy) bool { return p.name == policyName })
	if i < 0 || j < 0 {
		t.Fatalf("no scenario %q or no policy %q", scenarioName, policyName)
	}
	sc := scenarios[i]
	sc.duration = 2 * time.Second
	return newSimulation(run{deployments[1], sc, policies()[j], 7}).run()
}

// Guards against requests that the simulation loses or counts twice.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, sc := range []string{"steady", "noisy neighbours", "fast failers", "overload 1.5", "cold fallback"} {
		for _, p := range []string{baselineName, engineName, "ours -queue"} {
			r := runScenario(t, sc, p)
			if r.requests == 0 || r.ok+r.failed+r.refused != r.requests {
				t.Errorf("%s, %s: %d requests, %d ok, %d failed, %d refused", sc, p, r.requests, r.ok, r.failed, r.refused)
			}
		}
	}
}

// Guards against results that depend on anything but the seed.
func TestSameSeedSameResult(t *testing.T) {
	a, b := runScenario(t, "noise and cold fallback", engineName), runScenario(t, "noise and cold fallback", engineName)
	if a.quantile(99) != b.quantile(99) || a.attempts != b.attempts || a.within != b.within || a.overColdLimit != b.overColdLimit {
		t.Fatalf("two runs with the same seed differ: %v %v", a, b)
	}
}

// Guards against a model that runs more requests at once than the servers have slots.
func TestGoodputWithinCapacity(t *testing.T) {
	r := runScenario(t, "overload 1.5", baselineName)
	if g := r.goodput(); g > 1.05 || g < 0.5 {
		t.Fatalf("goodput %.3f of capacity", g)
	}
}
