// Package process holds the tests that run the real binary and stand-ins as processes on loopback.
package process
