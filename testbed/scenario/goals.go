package scenario

import (
	"fmt"
	"io"
)

// goal is a limit that the shipped selection must meet for one metric of one scenario, or of all scenarios if scenario is
// empty.
type goal struct {
	scenario string
	text     string
	limit    float64
	atLeast  bool
	metric   func(c comparison) float64
}

// comparison holds the rows from which the metric of a goal is calculated.
type comparison struct{ shipped, baseline, steady *Row }

func p99Ratio(c comparison) float64 { return c.shipped.P99 / c.baseline.P99 }

func p99AllRatio(c comparison) float64 { return c.shipped.P99All / c.baseline.P99All }

var goals = []goal{
	{noisyScenario, "p99 of answers against two choices", 0.5, false, p99Ratio},
	{noisyScenario, "p99 of all requests against two choices", 0.5, false, p99AllRatio},
	{stragglersScenario, "p99 of answers against two choices", 0.5, false, p99Ratio},
	{stragglersScenario, "p99 of all requests against two choices", 0.5, false, p99AllRatio},
	{coldFallbackScenario, "p99 of answers against two choices", 0.5, false, p99Ratio},
	{coldFallbackScenario, "p99 of all requests against two choices", 0.5, false, p99AllRatio},
	{overloadScenario, "goodput as share of capacity", 0.95, true, func(c comparison) float64 { return c.shipped.Goodput }},
	{overloadScenario, "attempts per request", 1.1, false, func(c comparison) float64 { return c.shipped.Attempts }},
	{"", "peak load of a cold server as a multiple of its capacity", 1, false, func(c comparison) float64 { return c.shipped.ColdPeak }},
	{domainOutScenario, "failed or refused requests", 0, false, func(c comparison) float64 { return float64(c.shipped.Failed + c.shipped.Refused) }},
	{domainOutScenario, "p99 against steady at the same load", 1.2, false, func(c comparison) float64 { return c.shipped.P99 / c.steady.P99 }},
	{"", "measuring bytes within a region, share of the budget", 1, false, func(c comparison) float64 { return c.shipped.WithinRegion / budgetWithinRegion }},
	{"", "measuring bytes across regions, share of the budget", 1, false, func(c comparison) float64 { return c.shipped.AcrossRegions / budgetAcrossRegions }},
}

// PrintGoals prints for each goal whether the rows meet it.
func PrintGoals(w io.Writer, rows []Row) {
	for i := range rows {
		r := &rows[i]
		if r.Baseline {
			continue
		}
		c := comparison{shipped: r, baseline: findRow(rows, r.Deployment, r.Scenario, true), steady: findRow(rows, r.Deployment, steadyLowScenario, false)}
		for _, g := range goals {
			if g.scenario == "" || g.scenario == r.Scenario {
				g.print(w, c)
			}
		}
	}
}

func (g goal) print(w io.Writer, c comparison) {
	if c.baseline == nil || (g.scenario == domainOutScenario && c.steady == nil) {
		return
	}
	v := g.metric(c)
	verdict, bound := "missed", "at most"
	if g.atLeast {
		bound = "at least"
	}
	if v == g.limit || v > g.limit == g.atLeast {
		verdict = "met"
	}
	fmt.Fprintf(w, "goal %s: %s, %s: %s: %.3f, %s %.2f\n", verdict, c.shipped.Deployment, c.shipped.Scenario, g.text, v, bound, g.limit)
}

func findRow(rows []Row, deployment, scenario string, baseline bool) *Row {
	for i := range rows {
		r := &rows[i]
		if r.Deployment == deployment && r.Scenario == scenario && r.Baseline == baseline {
			return r
		}
	}
	return nil
}
