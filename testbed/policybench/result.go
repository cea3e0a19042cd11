package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherwall.example/balance/budget"
)

// requestOutcome is the outcome of a request as its caller sees it.
type requestOutcome uint8

const (
	outcomeOK requestOutcome = iota
	outcomeFailed
	outcomeRefused
)

// result holds the figures of one run. They cover requests that arrived after the warm-up.
type result struct {
	run       run
	from, to  time.Duration
	latencies *hdrhistogram.Histogram
	requests  int
	attempts  int
	ok        int
	failed    int
	refused   int
	ejections int
	// falseFallbacks counts suspected fallbacks of servers that were warm.
	falseFallbacks int
	coldPeakRatio  float64
	overColdLimit  int
	// within and across are the bytes per second and gateway spent from the measuring budget, within the region and
	// across regions.
	within, across float64
	// byInterval holds the latencies of each plot interval in microseconds.
	byInterval []*hdrhistogram.Histogram
}

// plotInterval is the time that one point of a plot covers.
const plotInterval = 250 * time.Millisecond

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

func newResult(r run, from, to time.Duration) result {
	return result{run: r, from: from, to: to, latencies: newHistogram()}
}

func (r *result) isMeasured(t time.Duration) bool { return t >= r.from && t < r.to }

func (r *result) recordArrival(t time.Duration) {
	if r.isMeasured(t) {
		r.requests++
	}
}

func (r *result) recordAttempt(t time.Duration) {
	if r.isMeasured(t) {
		r.attempts++
	}
}

func (r *result) recordOutcome(arrived, now time.Duration, kind requestOutcome) {
	if !r.isMeasured(arrived) {
		return
	}
	latency := now - arrived
	switch kind {
	case outcomeFailed:
		r.failed++
		latency = deadlineAfter
	case outcomeRefused:
		r.refused++
		latency = deadlineAfter
	default:
		r.ok++
	}
	r.recordLatency(arrived, max(latency.Microseconds(), 1))
}

// recordLatency records a latency. Failed and refused requests count with their deadline, because policies that fail slow
// requests would otherwise seem fast.
func (r *result) recordLatency(arrived time.Duration, us int64) {
	_ = r.latencies.RecordValue(us)
	i := int((arrived - r.from) / plotInterval)
	for len(r.byInterval) <= i {
		r.byInterval = append(r.byInterval, newHistogram())
	}
	_ = r.byInterval[i].RecordValue(us)
}

func (r *result) addTotals(s *simulation) {
	for _, v := range s.servers {
		r.coldPeakRatio = max(r.coldPeakRatio, v.peakRatio)
		r.overColdLimit += v.overLimit
	}
	seconds := (r.to - startTime).Seconds() * float64(len(s.gateways))
	for _, g := range s.gateways {
		if g.limiter != nil {
			r.within += float64(g.limiter.Totals(budget.WithinRegion).Spent) / seconds
			r.across += float64(g.limiter.Totals(budget.AcrossRegions).Spent) / seconds
		}
	}
}

func (r *result) quantile(q float64) float64 { return float64(r.latencies.ValueAtQuantile(q)) / 1000 }

// goodput returns the rate of successful requests as a share of the capacity.
func (r *result) goodput() float64 {
	return float64(r.ok) / (r.run.deployment.capacity() * (r.to - r.from).Seconds())
}

func (r *result) attemptsPerRequest() float64 {
	return float64(r.attempts) / float64(max(r.requests, 1))
}

func printTable(w io.Writer, results []result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	last := ""
	for i := range results {
		r := &results[i]
		if title := r.run.deployment.name + ", " + r.run.scenario.name; title != last {
			last = title
			_ = t.Flush()
			fmt.Fprintf(w, "\n%s, load %.2f, seed %d\n", title, r.run.scenario.load, r.run.seed)
			fmt.Fprintln(t, "policy\tp50 ms\tp99 ms\tp99.9 ms\trequests\trefused\tfailed\tattempts/request\tgoodput\tcold peak\tcold over\tejections\tfalse fallbacks\tbytes/s in\tacross\t")
		}
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\t%.3f\t%.3f\t%.2f\t%d\t%d\t%d\t%.0f\t%.0f\t\n",
			r.run.policy.name, r.quantile(50), r.quantile(99), r.quantile(99.9), r.requests, r.refused, r.failed,
			r.attemptsPerRequest(), r.goodput(), r.coldPeakRatio, r.overColdLimit, r.ejections, r.falseFallbacks, r.within, r.across)
	}
	_ = t.Flush()
}
