// Package gateway is the gateway daemon: it accepts requests of callers, selects a backend server for each, forwards the
// request and streams the answer. Backend servers announce themselves to it; gateways spread what they know of backend
// servers by gossip; a control replica confirms the configuration. docs/design.md is the reference, above all 5.2 to 5.9.
//
// One goroutine (state) owns the membership registry and the balance engine. The request path reads immutable
// snapshots. Times named "now" or "at" are durations on the monotonic clock of the process.
package gateway
