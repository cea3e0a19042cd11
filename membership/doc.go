// Package membership holds the backend servers and gateways as one gateway knows them.
//
// A backend server announces itself to one gateway, its owner, and renews there. The owner's records spread by gossip:
// changes are pushed, and exchanges of digests repair losses. The Registry is a pure state machine: it uses no socket,
// clock or random source, and belongs to one goroutine. All times are durations on the monotonic clock of this gateway.
//
// Source: docs/design.md, sections 5.3 and 5.4.
package membership
