package scenario

import (
	"fmt"
	"io"
)

// Row holds the figures of one run. Latencies are in milliseconds, rates in bytes per second and gateway (the gateway
// with the most), times in seconds; a time of -1 was not seen.
type Row struct {
	Deployment string
	Scenario   string
	Baseline   bool
	// P50, P99 and P999 are of successful answers.
	P50, P99, P999 float64
	// P99All counts a request that was not answered with the deadline.
	P99All          float64
	Requests        int
	Refused, Failed int
	Reasons         map[string]int
	// Retries and Hedges are per request; Attempts are requests that reached servers, per request.
	Retries, Hedges, Attempts float64
	// Goodput is a share of the nominal capacity; MeasuredGoodput of the capacity at the work times that were measured.
	Goodput, MeasuredGoodput float64
	ColdPeak                 float64
	ColdOver                 int64
	Within, Across           float64
	// EmptyAfter is the time from the domain's leaving to the last request that it received, FirstAfter the time from
	// its return to the first, HalfAfter to half of its former share, FailingFor the time in which callers saw failures.
	EmptyAfter, FirstAfter, HalfAfter, FailingFor float64
	SideP99                                       float64
	SideFailed                                    int
	Notes                                         []string
}

const (
	shipped    = "shipped"
	twoChoices = "two choices"
)

func (r Row) selection() string {
	if r.Baseline {
		return twoChoices
	}
	return shipped
}

// PrintHeader writes the head of the table.
func PrintHeader(w io.Writer) {
	fmt.Fprintln(w, "| deployment | scenario | selection | p50 ms | p99 ms | p99.9 ms | p99 of all ms | requests | refused | failed | retries per request | hedges per request | attempts per request | goodput | cold: peak | cold: over | B/s within | across | empty after s | first again s | half share s | failures for s | side p99 ms | side not answered |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

// Print writes a row of the table.
func (r Row) Print(w io.Writer) {
	fmt.Fprintf(w, "| %s | %s | %s | %.1f | %.1f | %.1f | %.1f | %d | %d | %d | %.4f | %.3f | %s | %.3f | %.2f | %d | %.0f | %.0f | %s | %s | %s | %s | %.1f | %d |\n",
		r.Deployment, r.Scenario, r.selection(), r.P50, r.P99, r.P999, r.P99All, r.Requests, r.Refused, r.Failed, r.Retries, r.Hedges,
		seen(r.Attempts > 0, r.Attempts, 3), r.Goodput, r.ColdPeak, r.ColdOver, r.Within, r.Across,
		seen(r.EmptyAfter >= 0, r.EmptyAfter, 2), seen(r.FirstAfter >= 0, r.FirstAfter, 2), seen(r.HalfAfter >= 0, r.HalfAfter, 2),
		seen(r.FailingFor >= 0, r.FailingFor, 2), r.SideP99, r.SideFailed)
}

func seen(yes bool, v float64, digits int) string {
	if !yes {
		return "–"
	}
	return fmt.Sprintf("%.*f", digits, v)
}

// PrintDetails writes what the table has no column for.
func (r Row) PrintDetails(w io.Writer) {
	if len(r.Reasons) > 0 {
		fmt.Fprintf(w, "%s, %s, %s: sendings refused: %v\n", r.Deployment, r.Scenario, r.selection(), r.Reasons)
	}
	if r.MeasuredGoodput > 0 {
		fmt.Fprintf(w, "%s, %s, %s: goodput of the capacity at measured work times: %.3f\n", r.Deployment, r.Scenario, r.selection(), r.MeasuredGoodput)
	}
	const most = 16
	for i, n := range r.Notes {
		if i == most {
			fmt.Fprintf(w, "  and %d more\n", len(r.Notes)-most)
			break
		}
		fmt.Fprintf(w, "  %s\n", n)
	}
}
