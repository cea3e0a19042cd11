// Package testbed holds the test-only parts of the project: a stand-in backend server, a load generator, the comparison
// of their journals, development certificates, settings for a local setup, a TCP relay and the tests that run the real
// binary as processes. Nothing of it is shipped.
package testbed
