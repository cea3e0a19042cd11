package scenario

import (
	"fmt"
	"io"
)

// goal is one figure that the shipped selection must reach in one scenario; an empty scenario means all of them.
type goal struct {
	scenario string
	text     string
	limit    float64
	atLeast  bool
	figure   func(f figures) float64
}

// figures are the rows that a goal compares.
type figures struct{ shipped, baseline, steady *Row }

func p99Ratio(f figures) float64 { return f.shipped.P99 / f.baseline.P99 }

func p99AllRatio(f figures) float64 { return f.shipped.P99All / f.baseline.P99All }

var goals = []goal{
	{noisy, "p99 of answers against two choices", 0.5, false, p99Ratio},
	{noisy, "p99 of all requests against two choices", 0.5, false, p99AllRatio},
	{straggling, "p99 of answers against two choices", 0.5, false, p99Ratio},
	{straggling, "p99 of all requests against two choices", 0.5, false, p99AllRatio},
	{coldFallback, "p99 of answers against two choices", 0.5, false, p99Ratio},
	{coldFallback, "p99 of all requests against two choices", 0.5, false, p99AllRatio},
	{overloaded, "goodput as share of capacity", 0.95, true, func(f figures) float64 { return f.shipped.Goodput }},
	{overloaded, "attempts per request", 1.1, false, func(f figures) float64 { return f.shipped.Attempts }},
	{"", "peak at a cold server in times of what it bears", 1, false, func(f figures) float64 { return f.shipped.ColdPeak }},
	{domainPlanned, "failed or refused requests", 0, false, func(f figures) float64 { return float64(f.shipped.Failed + f.shipped.Refused) }},
	{domainPlanned, "p99 against steady at the same load", 1.2, false, func(f figures) float64 { return f.shipped.P99 / f.steady.P99 }},
	{"", "bytes of measuring within a region, share of the budget", 1, false, func(f figures) float64 { return f.shipped.Within / budgetWithin }},
	{"", "bytes of measuring across regions, share of the budget", 1, false, func(f figures) float64 { return f.shipped.Across / budgetAcross }},
}

// PrintGoals compares the rows with the goals.
func PrintGoals(w io.Writer, rows []Row) {
	for i := range rows {
		r := &rows[i]
		if r.Baseline {
			continue
		}
		f := figures{shipped: r, baseline: find(rows, r.Deployment, r.Scenario, true), steady: find(rows, r.Deployment, steadyLow, false)}
		for _, g := range goals {
			if g.scenario == "" || g.scenario == r.Scenario {
				g.print(w, f)
			}
		}
	}
}

func (g goal) print(w io.Writer, f figures) {
	if f.baseline == nil || (g.scenario == domainPlanned && f.steady == nil) {
		return
	}
	v := g.figure(f)
	verdict, bound := "missed", "at most"
	if g.atLeast {
		bound = "at least"
	}
	if v == g.limit || v > g.limit == g.atLeast {
		verdict = "met"
	}
	fmt.Fprintf(w, "goal %s: %s, %s: %s: %.3f, %s %.2f\n", verdict, f.shipped.Deployment, f.shipped.Scenario, g.text, v, bound, g.limit)
}

func find(rows []Row, deployment, scenario string, baseline bool) *Row {
	for i := range rows {
		r := &rows[i]
		if r.Deployment == deployment && r.Scenario == scenario && r.Baseline == baseline {
			return r
		}
	}
	return nil
}
