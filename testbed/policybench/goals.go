package main

import (
	"fmt"
	"io"
)

// goal is a limit that the policy of balance.Engine must meet for one metric of one scenario.
type goal struct {
	scenario string
	text     string
	limit    float64
	atLeast  bool
	metric   func(c comparison) float64
}

// comparison holds the results from which the metric of a goal is calculated.
type comparison struct{ engine, baseline, steady *result }

func p99Ratio(c comparison) float64 { return c.engine.quantile(99) / c.baseline.quantile(99) }

func p99AgainstSteady(c comparison) float64 { return c.engine.quantile(99) / c.steady.quantile(99) }

func failedOrRefused(c comparison) float64 { return float64(c.engine.failed + c.engine.refused) }

var goals = []goal{
	{"noisy neighbours", "p99 against two choices", 0.5, false, p99Ratio},
	{"stragglers", "p99 against two choices", 0.5, false, p99Ratio},
	{"cold fallback", "p99 against two choices", 0.5, false, p99Ratio},
	{"overload 1.5", "goodput as share of capacity", 0.95, true, func(c comparison) float64 { return c.engine.goodput() }},
	{"overload 1.5", "attempts per request", 1.1, false, func(c comparison) float64 { return c.engine.attemptsPerRequest() }},
	{"cold start", "requests over the limit of a cold server", 0, false, func(c comparison) float64 { return float64(c.engine.overColdLimit) }},
	{"cold fallback", "requests over the limit of a cold server, from 300 ms on", 0, false, func(c comparison) float64 { return float64(c.engine.overColdLimit) }},
	{"domain out and back", "failed or refused requests", 0, false, failedOrRefused},
	{"domain out and back", "p99 against steady at the same load", 1.2, false, p99AgainstSteady},
}

// steadyLowLoad is the name of the steady scenario at the load of the domain scenarios.
const steadyLowLoad = "steady, low load"

func printGoals(w io.Writer, results []result) {
	for _, d := range deployments {
		for _, g := range goals {
			c := comparison{
				engine:   findResult(results, d.name, g.scenario, engineName),
				baseline: findResult(results, d.name, g.scenario, baselineName),
				steady:   findResult(results, d.name, steadyLowLoad, engineName),
			}
			if c.engine == nil || c.baseline == nil || c.steady == nil {
				continue
			}
			v := g.metric(c)
			verdict, bound := "missed", "at most"
			if g.atLeast {
				bound = "at least"
			}
			if v == g.limit || v > g.limit == g.atLeast {
				verdict = "met"
			}
			fmt.Fprintf(w, "goal %s: %s, %s: %s: %.3f, %s %.2f\n", verdict, d.name, g.scenario, g.text, v, bound, g.limit)
		}
	}
}

func findResult(results []result, deployment, scenario, policy string) *result {
	for i := range results {
		r := &results[i]
		if r.run.deployment.name == deployment && r.run.scenario.name == scenario && r.run.policy.name == policy {
			return r
		}
	}
	return nil
}
