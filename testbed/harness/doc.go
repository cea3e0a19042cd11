// Package harness starts the real binary and stand-in backend servers as processes on loopback, for the process tests and
// benchmarks. It ends only processes that it started, by their process IDs, even when a test fails.
package harness
