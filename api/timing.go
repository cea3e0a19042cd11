package api

import "time"

// Timing that control replicas and gateways must agree on; docs/design.md, section 5.2, derives it.
const (
	// ConfigurationLease is how long a gateway may serve after it sent a renewal that was confirmed. It counts on the
	// gateway's monotonic clock.
	ConfigurationLease = 3 * time.Second
	// LeaseRenewInterval is the time between two renewals of a gateway.
	LeaseRenewInterval = 600 * time.Millisecond
	// ConnectTimeout bounds one attempt to open a connection between daemons. An instance without power does not answer the
	// first packet, which would be sent again after a second; a new attempt finds it up earlier. A handshake takes two round
	// trips, 50 ms between regions.
	ConnectTimeout = 250 * time.Millisecond
	// LeaseMargin is added where another instance waits for a lease to run out, for clocks that run at different speed.
	LeaseMargin = 200 * time.Millisecond
)
