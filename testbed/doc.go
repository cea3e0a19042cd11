// Package testbed holds the test-only parts of the project: a stand-in backend server, a load generator, the comparison
// of their journals, development certificates, settings for a local setup, a TCP relay, benchmarks and the tests that run
// the real binary as processes. None of it is shipped.
package testbed
