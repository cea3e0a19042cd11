// Package membership tracks the backend servers and gateways that one gateway knows.
//
// A backend server announces itself to one gateway, its owner, and sends its renewals there. Each owner keeps a versioned
// table of the records of its servers. The tables spread by gossip: changes are pushed, and anti-entropy exchanges of
// digests repair losses. Evidence of a server is a proof that it was running and not leaving at some time: its own answer,
// or a heartbeat of an owner to which the server renews.
//
// The Registry is a pure state machine: it uses no socket, clock or random source, and must be used by one goroutine only.
// All times are durations on the monotonic clock of this gateway. Design: docs/design.md, sections 5.3 and 5.4.
package membership
