package control

import (
	"runtime/debug"
	"runtime/metrics"
	"time"
)

// Memory limit of a replica. The garbage collector normally lets the heap double before it runs; with a memory limit it
// runs earlier. A limit close to the live heap would make it run continuously, so the limit rises with the live heap.
const (
	// memoryTargetBytes is the memory that a replica may use: 64 MB less the memory that the runtime does not count.
	memoryTargetBytes = 52 << 20
	// memoryHeadroomBytes is the minimum distance of the limit from the live heap.
	memoryHeadroomBytes = 16 << 20
	memoryLimitInterval = time.Second

	liveHeapMetric = "/gc/heap/live:bytes"
)

// limitMemory adapts the memory limit of the runtime to the live heap, at most once per memoryLimitInterval.
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
