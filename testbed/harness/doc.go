// Package harness starts the real binary and stand-ins as processes on loopback for the process tests and the bench. It
// ends only processes that it started, by their ids, also when a test fails.
package harness
