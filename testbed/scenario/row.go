package scenario

import (
	"fmt"
	"io"
)

// Row holds the figures of one run. Latencies are in milliseconds and times in seconds; a time is -1 if the event was not
// observed. Rates are in bytes per second, of the gateway with the highest rate.
type Row struct {
	Deployment string
	Scenario   string
	Baseline   bool
	// P50, P99 and P999 are latencies of successful requests.
	P50, P99, P999 float64
	// P99All also covers requests without an answer, whose latency counts as the deadline.
	P99All          float64
	Requests        int
	Refused, Failed int
	Reasons         map[string]int
	// Retries and Hedges are per request of a caller. Attempts is the number of requests that reached servers, per
	// request of a caller.
	Retries, Hedges, Attempts float64
	// Goodput is the rate of successful requests as a share of the nominal capacity. MeasuredGoodput is its share of the
	// capacity at the measured work times.
	Goodput, MeasuredGoodput    float64
	ColdPeak                    float64
	ColdOverCapacity            int64
	WithinRegion, AcrossRegions float64
	// EmptyAfter is the time from when the domain left to the last request that it received. FirstAfter is the time from
	// its return to its first request, and HalfAfter the time from its return until it had half of its former share.
	// FailingFor is the time from when the domain left to the last failure that a caller saw.
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

// PrintHeader writes the header of the table.
func PrintHeader(w io.Writer) {
	fmt.Fprintln(w, "| deployment | scenario | selection | p50 ms | p99 ms | p99.9 ms | p99 of all ms | requests | refused | failed | retries per request | hedges per request | attempts per request | goodput | cold: peak | cold: over | B/s within | across | empty after s | first again s | half share s | failures for s | side p99 ms | side not answered |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|")
}

// Print writes a row of the table.
func (r Row) Print(w io.Writer) {
	fmt.Fprintf(w, "| %s | %s | %s | %.1f | %.1f | %.1f | %.1f | %d | %d | %d | %.4f | %.3f | %s | %.3f | %.2f | %d | %.0f | %.0f | %s | %s | %s | %s | %.1f | %d |\n",
		r.Deployment, r.Scenario, r.selection(), r.P50, r.P99, r.P999, r.P99All, r.Requests, r.Refused, r.Failed, r.Retries, r.Hedges,
		formatIf(r.Attempts > 0, r.Attempts, 3), r.Goodput, r.ColdPeak, r.ColdOverCapacity, r.WithinRegion, r.AcrossRegions,
		formatIf(r.EmptyAfter >= 0, r.EmptyAfter, 2), formatIf(r.FirstAfter >= 0, r.FirstAfter, 2), formatIf(r.HalfAfter >= 0, r.HalfAfter, 2),
		formatIf(r.FailingFor >= 0, r.FailingFor, 2), r.SideP99, r.SideFailed)
}

func formatIf(present bool, v float64, digits int) string {
	if !present {
		return "–"
	}
	return fmt.Sprintf("%.*f", digits, v)
}

// PrintDetails writes the figures and notes that have no column in the table.
func (r Row) PrintDetails(w io.Writer) {
	if len(r.Reasons) > 0 {
		fmt.Fprintf(w, "%s, %s, %s: refused attempts: %v\n", r.Deployment, r.Scenario, r.selection(), r.Reasons)
	}
	if r.MeasuredGoodput > 0 {
		fmt.Fprintf(w, "%s, %s, %s: goodput of the capacity at measured work times: %.3f\n", r.Deployment, r.Scenario, r.selection(), r.MeasuredGoodput)
	}
	const maxNotes = 16
	for i, n := range r.Notes {
		if i == maxNotes {
			fmt.Fprintf(w, "  and %d more\n", len(r.Notes)-maxNotes)
			break
		}
		fmt.Fprintf(w, "  %s\n", n)
	}
}
