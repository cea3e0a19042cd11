package control

import (
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Memory of a replica. The collector normally lets the heap double before it runs; under a limit it runs earlier. A
// limit close to the live heap would make it run all the time, so the limit rises with the live heap.
const (
	// memoryTarget is what a replica may use in bytes, 64 MB less what the runtime does not count.
	memoryTargetBytes = 52 << 20
	// memoryHeadroom is the least room above the live heap in bytes.
	memoryHeadroomBytes = 16 << 20
	memoryLimitInterval = time.Second

	liveHeapMetric = "/gc/heap/live:bytes"
)

// limitMemory adapts the limit of the runtime to the live heap, at most once in memoryInterval.
func (r *replica) limitMemory(now time.Time) {
	if now.Sub(r.memoryLimitSetAt) < memoryLimitInterval {
		return
	}
	r.memoryLimitSetAt = now
	sample := []metrics.Sample{{Name: liveHeapMetric}}
	metrics.Read(sample)
	live := int64(sample[0].Value.Uint64())
	debug.SetMemoryLimit(max(memoryTargetBytes, live+live/4+memoryHeadroomBytes))
}
