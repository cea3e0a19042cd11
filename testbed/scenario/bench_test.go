package scenario

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"testing"

	"heatherwall.example/testbed/harness"
)

var (
	seed        = flag.Uint64("seed", 1, "seed of loads and faults")
	deployments = flag.String("deployment", ".", "`pattern` of the deployments")
	scenarios   = flag.String("scenario", ".", "`pattern` of the scenarios")
)

var (
	binaries harness.Binaries
	rows     []Row
)

func TestMain(m *testing.M) {
	flag.Parse()
	code := harness.RunTests(m, &binaries)
	if len(rows) > 0 {
		report()
	}
	os.Exit(code)
}

func report() {
	fmt.Printf("seed %d\n\n", *seed)
	PrintHeader(os.Stdout)
	for _, r := range rows {
		r.Print(os.Stdout)
	}
	fmt.Println()
	for _, r := range rows {
		r.PrintDetails(os.Stdout)
	}
	PrintGoals(os.Stdout, rows)
}

// BenchmarkScenarios runs every scenario with the shipped and with the baseline selection, one after the other, each in a
// cluster of its own.
func BenchmarkScenarios(b *testing.B) {
	deployment, scenario := regexp.MustCompile(*deployments), regexp.MustCompile(*scenarios)
	for _, d := range Deployments() {
		for _, s := range Scenarios() {
			if !deployment.MatchString(d.Name) || !scenario.MatchString(s.Name) {
				continue
			}
			for _, baseline := range []bool{false, true} {
				b.Run(d.Name+"/"+s.Name+"/"+Row{Baseline: baseline}.selection(), func(b *testing.B) {
					for b.Loop() {
						row := Run(b, binaries, d, s, baseline, *seed)
						rows = append(rows, row)
						b.ReportMetric(row.P99, "p99-ms")
					}
				})
			}
		}
	}
}
