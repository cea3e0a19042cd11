package gateway

import "runtime/debug"

const (
	// gcPercent is the heap growth in percent that starts a garbage collection. Instances that serve a catalogue are small
	// and many, so there memory costs more than the CPU time of the garbage collector.
	gcPercent = 40
	// memoryLimitFraction is the fraction of the process's memory that the Go runtime may use; system stacks and kernel
	// buffers use the rest.
	memoryLimitFraction = 0.7
)

// limitMemory sets the garbage collection target, and the memory limit of the Go runtime for a process with the given
// number of mebibytes. With 0 it sets no memory limit.
func limitMemory(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(megabytes) * (1 << 20)))
	}
}
