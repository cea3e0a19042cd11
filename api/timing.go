package api

import "time"

// Timing on which control replicas and gateways must agree; docs/design.md, section 5.2, derives it.
const (
	// ConfigurationLease is how long a gateway may serve, on its own monotonic clock, after it sent a lease renewal that a
	// control replica confirmed.
	ConfigurationLease = 3 * time.Second
	// LeaseRenewInterval is the time between two lease renewals of a gateway.
	LeaseRenewInterval = 600 * time.Millisecond
	// ConnectTimeout limits one attempt to open a TCP connection between daemons. An instance that is down does not answer the
	// first packet, and TCP retransmits it only after a second, so a new attempt notices earlier that the instance is back. A
	// round trip between regions takes 25 ms.
	ConnectTimeout = 250 * time.Millisecond
	// OpenTimeout limits one attempt to open a connection and a stream between daemons, from the start of the TCP connection
	// until the TLS handshake has ended and the stream is open. A handshake takes long on a busy instance. An instance whose
	// process is suspended accepts TCP connections and never ends the handshake; with this limit, a gateway whose replica
	// stops to answer can try one such replica and another one before its lease expires.
	OpenTimeout = time.Second
	// LeaseMargin is added when another instance waits for a lease to expire, because clocks may run at different rates.
	LeaseMargin = 200 * time.Millisecond
)
