// Command policybench compares policies for selecting backend servers in virtual time: open-loop arrivals at the
// gateways of one deployment, each with its own balance.Engine, and servers with slots and a queue. Runs with the same
// flags print the same table. It models no network, gossip or control group.
package main

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"runtime"
	"sync"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of arrivals, work and faults")
	scenario := flag.String("scenario", ".", "regular expression of scenario names")
	policy := flag.String("policy", ".", "regular expression of policy names")
	deployment := flag.String("deployment", ".", "regular expression of deployment names")
	plots := flag.String("plots", "", "folder for PNG plots; none if empty")
	workers := flag.Int("parallel", max(1, runtime.NumCPU()/3), "runs at the same time")
	flag.Parse()
	results := runAll(selectRuns(*seed, *deployment, *scenario, *policy), *workers)
	printTable(os.Stdout, results)
	printGoals(os.Stdout, results)
	if *plots == "" {
		return
	}
	if err := drawPlots(*plots, results); err != nil {
		fmt.Fprintln(os.Stderr, "policybench:", err)
		os.Exit(1)
	}
}

// run is one policy in one scenario of one deployment.
type run struct {
	deployment deployment
	scenario   scenario
	policy     policy
	seed       uint64
}

func selectRuns(seed uint64, deploymentName, scenarioName, policyName string) []run {
	d, s, p := regexp.MustCompile(deploymentName), regexp.MustCompile(scenarioName), regexp.MustCompile(policyName)
	var list []run
	for _, dep := range deployments {
		for _, sc := range scenarios {
			for _, po := range policies() {
				if d.MatchString(dep.name) && s.MatchString(sc.name) && p.MatchString(po.name) {
					list = append(list, run{dep, sc, po, seed})
				}
			}
		}
	}
	return list
}

// runAll runs several simulations in parallel and returns their results in the order of the runs.
func runAll(runs []run, workers int) []result {
	results := make([]result, len(runs))
	next := make(chan int)
	var done sync.WaitGroup
	for range workers {
		done.Go(func() {
			for i := range next {
				results[i] = newSimulation(runs[i]).run()
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	done.Wait()
	return results
}
