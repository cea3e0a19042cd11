package api

import "time"

// Timing on which control replicas and gateways must agree; docs/design.md, section 5.2, derives it.
const (
	// ConfigurationLease is how long a gateway may serve, on its own monotonic clock, after it sent a lease renewal that a
	// control replica confirmed.
	ConfigurationLease = 3 * time.Second
	// LeaseRenewInterval is the time between two lease renewals of a gateway.
	LeaseRenewInterval = 600 * time.Millisecond
	// ConnectTimeout limits one attempt to open a connection between daemons. An instance that is down does not answer the
	// first packet, and TCP retransmits it only after a second, so a new attempt notices earlier that the instance is back. A
	// handshake takes two round trips, 50 ms between regions.
	ConnectTimeout = 250 * time.Millisecond
	// LeaseMargin is added when another instance waits for a lease to expire, because clocks may run at different rates.
	LeaseMargin = 200 * time.Millisecond
)
