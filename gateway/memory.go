package gateway

import "runtime/debug"

const (
	// gcPercent is the growth of the heap in percent at which the collector runs. Instances that serve a catalogue are
	// small and many, so memory costs more there than the processor time of the collector.
	gcPercent = 40
	// memoryLimitFraction is the part of the memory of the process that the runtime may use; stacks of the system and the buffers of
	// the kernel take the rest.
	memoryLimitFraction = 0.7
)

// limitMemory sets the limits of the runtime for a process with so many megabytes; 0 leaves the limit open.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(megabytes) * (1 << 20)))
	}
}
