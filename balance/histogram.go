package balance

import (
	"math/bits"
	"sync/atomic"
	"time"
)

// A histogram has eight buckets for each doubling, starting at 1 µs.
const (
	bucketsPerDoubling = 8
	histogramBuckets   = 24 * bucketsPerDoubling
	// minHistogramSamples is the number of latencies below which quantile returns none.
	minHistogramSamples = 50
)

// histogram counts latencies. The owner goroutine halves the counts periodically, so that old latencies lose weight.
type histogram struct {
	counts [histogramBuckets]atomic.Uint32
}

func (h *histogram) add(d time.Duration) { h.counts[bucketIndex(d)].Add(1) }

func bucketIndex(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 1))
	doubling := bits.Len64(us) - 1
	fraction := (us<<3)>>doubling - bucketsPerDoubling
	return min(doubling*bucketsPerDoubling+int(fraction), histogramBuckets-1)
}

// bucketEnd returns the upper bound of a bucket.
func bucketEnd(i int) time.Duration {
	doubling := i / bucketsPerDoubling
	steps := bucketsPerDoubling + i%bucketsPerDoubling + 1
	return time.Duration(steps) * time.Microsecond << doubling / bucketsPerDoubling
}

// quantile returns the latency that the given share of the counted latencies does not exceed, and false if fewer than
// minHistogramSamples are counted.
func (h *histogram) quantile(share float64) (time.Duration, bool) {
	var total uint64
	for i := range h.counts {
		total += uint64(h.counts[i].Load())
	}
	if total < minHistogramSamples {
		return 0, false
	}
	target := uint64(share * float64(total))
	var sum uint64
	for i := range h.counts {
		sum += uint64(h.counts[i].Load())
		if sum > target {
			return bucketEnd(i), true
		}
	}
	return bucketEnd(histogramBuckets - 1), true
}

// decay halves all counts. A concurrent addition may be lost, which is acceptable for an estimate.
func (h *histogram) decay() {
	for i := range h.counts {
		if n := h.counts[i].Load(); n > 0 {
			h.counts[i].Store(n / 2)
		}
	}
}
