// Package balance selects backend servers for the requests of one gateway.
//
// One goroutine owns the Engine and feeds it events and ticks. Request goroutines read the current Snapshot, call
// Pick, send the request, and report its end with Attempt.Done. The structure of a Snapshot is immutable; the counters
// of its servers are atomic. The package reads neither a clock nor a random source: times are durations on the caller's
// monotonic clock, and each Query carries a random value.
//
// Source: docs/design.md, sections 3.1, 5.4 and 5.9.
package balance
