package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherwall.example/balance/budget"
)

// endKind is the end of a request as its caller sees it.
type endKind uint8

const (
	endOK endKind = iota
	endFailed
	endRefused
)

// result holds the figures of one run, of requests that arrived after the warm-up.
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
	// falseFallbacks are servers suspected of a fallback that were warm.
	falseFallbacks int
	peakCold       float64
	overCold       int
	// within and across are measuring bytes per second and gateway.
	within, across float64
	// byTime holds the 99th percentile of each plot interval in ms.
	slices []*hdrhistogram.Histogram
}

// plotInterval is the time that one point of a plot covers.
const plotInterval = 250 * time.Millisecond

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 10_000_000, 3) }

func newResult(r run, from, to time.Duration) result {
	return result{run: r, from: from, to: to, latencies: newHistogram()}
}

func (r *result) counts(t time.Duration) bool { return t >= r.from && t < r.to }

func (r *result) arrived(t time.Duration) {
	if r.counts(t) {
		r.requests++
	}
}

func (r *result) attempt(t time.Duration) {
	if r.counts(t) {
		r.attempts++
	}
}

func (r *result) ended(arrived, now time.Duration, kind endKind) {
	if !r.counts(arrived) {
		return
	}
	latency := now - arrived
	switch kind {
	case endFailed:
		r.failed++
		latency = deadlineAfter
	case endRefused:
		r.refused++
		latency = deadlineAfter
	default:
		r.ok++
	}
	r.record(arrived, max(latency.Microseconds(), 1))
}

// record takes a latency; a request that failed or was refused counts with its deadline, or else policies that fail
// slow requests would seem fast.
func (r *result) record(arrived time.Duration, us int64) {
	_ = r.latencies.RecordValue(us)
	i := int((arrived - r.from) / plotInterval)
	for len(r.slices) <= i {
		r.slices = append(r.slices, newHistogram())
	}
	_ = r.slices[i].RecordValue(us)
}

func (r *result) finish(s *simulation) {
	for _, v := range s.servers {
		r.peakCold = max(r.peakCold, v.peakRatio)
		r.overCold += v.overLimit
	}
	seconds := (r.to - start).Seconds() * float64(len(s.gateways))
	for _, g := range s.gateways {
		if g.limiter != nil {
			r.within += float64(g.limiter.Totals(budget.WithinRegion).Spent) / seconds
			r.across += float64(g.limiter.Totals(budget.AcrossRegions).Spent) / seconds
		}
	}
}

func (r *result) quantile(q float64) float64 { return float64(r.latencies.ValueAtQuantile(q)) / 1000 }

// goodput is the share of capacity that ended in time.
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
			r.attemptsPerRequest(), r.goodput(), r.peakCold, r.overCold, r.ejections, r.falseFallbacks, r.within, r.across)
	}
	_ = t.Flush()
}
