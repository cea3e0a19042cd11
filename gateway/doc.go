// Package gateway implements the gateway daemon. It accepts requests of callers, selects a backend server for each, forwards
// the request and streams the response. A control replica confirms the configuration. docs/design.md is the reference, above
// all sections 5.2 to 5.9.
//
// There are two modes. In document mode backend servers announce themselves to the gateways, which share their knowledge of
// backend servers by gossip; one goroutine (gossipState) owns the membership registry and the balance engine. In catalogue
// mode the control replicas distribute the backend servers; one goroutine (catalogueBackends) owns the balance engine. The
// request path reads immutable snapshots. A time of type time.Duration, such as a parameter "now" or "at", is measured on the
// monotonic clock of the process.
package gateway
