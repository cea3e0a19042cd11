// Package balance selects backend servers for the requests of one gateway.
//
// One goroutine owns the Engine and feeds it events and ticks. Request goroutines read the current Snapshot, call
// Pick, send the request, and report its end with Attempt.Done. A Snapshot is immutable in structure; the counters of
// its servers are atomic. The package reads no clock and no random source: times are durations on the monotonic clock
// of the caller, and random values come with each Query.
//
// Source: docs/design.md, sections 3.1, 5.4 and 5.9.
package balance
