package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"heatherwall.example/testbed/journal"
)

const (
	minLatency         = int64(time.Microsecond)
	maxLatency         = int64(time.Minute)
	significantFigures = 3
)

// Summary counts the outcomes of a load. Latencies are in microseconds and run from the due time of a request to its
// outcome, so that a stalled generator does not hide them.
type Summary struct {
	Requests int `json:"requests"`
	Attempts int `json:"sendings"`
	// OK, RefusedNotRun and Unknown count requests by the outcome of their last attempt.
	OK            int `json:"ok"`
	RefusedNotRun int `json:"refused_not_run"`
	Unknown       int `json:"unknown"`
	// Failed counts requests to which a backend server responded with a status of 500 or above.
	Failed      int            `json:"failed"`
	Mismatched  int            `json:"mismatched"`
	Interrupted int            `json:"cut"`
	Unreachable int            `json:"unreached"`
	Reasons     map[string]int `json:"reasons"`
	P50         float64        `json:"p50_us"`
	P99         float64        `json:"p99_us"`
	// P99All is the 99th percentile over all requests; each one that is not OK counts with maxLatency.
	P99All  float64 `json:"p99_all_us"`
	P999    float64 `json:"p999_us"`
	Max     float64 `json:"max_us"`
	Seconds float64 `json:"seconds"`
	Seed    uint64  `json:"seed"`
}

// Line returns the summary as one line.
func (s Summary) Line() string {
	names := make([]string, 0, len(s.Reasons))
	for name := range s.Reasons {
		names = append(names, name)
	}
	slices.Sort(names)
	var reasons strings.Builder
	for _, name := range names {
		fmt.Fprintf(&reasons, " %s=%d", name, s.Reasons[name])
	}
	return fmt.Sprintf("load: requests=%d sendings=%d ok=%d refused_not_run=%d unknown=%d mismatched=%d cut=%d unreached=%d p50=%.0fus p99=%.0fus max=%.0fus seconds=%.1f%s",
		s.Requests, s.Attempts, s.OK, s.RefusedNotRun, s.Unknown, s.Mismatched, s.Interrupted, s.Unreachable, s.P50, s.P99, s.Max, s.Seconds, reasons.String())
}

// JSON returns the summary as a JSON object.
func (s Summary) JSON() string {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // numbers and strings can always be encoded
	}
	return string(text)
}

// tally accumulates the summary while requests are in flight.
type tally struct {
	mu      sync.Mutex
	summary Summary
	latency *hdrhistogram.Histogram
	// latencyAll records maxLatency for each request that is not OK.
	latencyAll *hdrhistogram.Histogram
}

func newTally(seed uint64) *tally {
	return &tally{
		summary:    Summary{Reasons: map[string]int{}, Seed: seed},
		latency:    hdrhistogram.New(minLatency, maxLatency, significantFigures),
		latencyAll: hdrhistogram.New(minLatency, maxLatency, significantFigures),
	}
}

func (t *tally) recordAttempt(c journal.Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Attempts++
	switch c.Outcome {
	case journal.Refused:
		t.summary.Reasons[c.Reason]++
	case journal.Interrupted:
		t.summary.Interrupted++
	case journal.Unreachable:
		t.summary.Unreachable++
	}
	if c.Mismatch != "" {
		t.summary.Mismatched++
	}
}

func (t *tally) recordRequest(last journal.Call, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.summary.Requests++
	recorded := maxLatency
	defer func() { t.latencyAll.RecordValue(recorded) }()
	switch {
	case last.Outcome == journal.OK && last.Status >= http.StatusInternalServerError:
		t.summary.Failed++
	case last.Outcome == journal.OK:
		t.summary.OK++
		recorded = min(max(int64(latency), minLatency), maxLatency)
		t.latency.RecordValue(recorded)
	case last.Outcome == journal.Unreachable, last.Outcome == journal.Refused && last.Ran == journal.RanNo:
		t.summary.RefusedNotRun++
	default:
		t.summary.Unknown++
	}
}

func (t *tally) summarize(elapsed time.Duration) Summary {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.summary
	s.P50 = micros(t.latency.ValueAtQuantile(50))
	s.P99 = micros(t.latency.ValueAtQuantile(99))
	s.P999 = micros(t.latency.ValueAtQuantile(99.9))
	s.P99All = micros(t.latencyAll.ValueAtQuantile(99))
	s.Max = micros(t.latency.Max())
	s.Seconds = elapsed.Seconds()
	return s
}

func micros(ns int64) float64 { return float64(ns) / float64(time.Microsecond) }
