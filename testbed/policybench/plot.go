package main

import (
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// drawPlots draws the 99th percentile over time of the baseline and of the policy of balance.Engine, in one file for
// each deployment and scenario.
func drawPlots(folder string, results []result) error {
	for i := range results {
		r := &results[i]
		if r.run.policy.name != engineName {
			continue
		}
		base := findResult(results, r.run.deployment.name, r.run.scenario.name, baselineName)
		if base == nil {
			continue
		}
		if err := drawPlot(folder, base, r); err != nil {
			return err
		}
	}
	return nil
}

func drawPlot(folder string, base, r *result) error {
	p := plot.New()
	p.Title.Text = r.run.deployment.name + ", " + r.run.scenario.name
	p.X.Label.Text = "s"
	p.Y.Label.Text = "p99 in ms"
	if err := plotutil.AddLines(p, baselineName, points(base), engineName, points(r)); err != nil {
		return err
	}
	name := strings.NewReplacer(" ", "-", ",", "").Replace(r.run.deployment.name + "-" + r.run.scenario.name)
	return p.Save(16*vg.Centimeter, 8*vg.Centimeter, filepath.Join(folder, name+".png"))
}

func points(r *result) plotter.XYs {
	var list plotter.XYs
	for i, h := range r.byInterval {
		list = append(list, plotter.XY{X: float64(i) * plotInterval.Seconds(), Y: float64(h.ValueAtQuantile(99)) / 1000})
	}
	return list
}
