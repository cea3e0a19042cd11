// Package raft implements the Raft consensus algorithm as a deterministic state machine without I/O: Node takes ticks,
// messages and proposals, and returns in Ready what the caller has to sync, send and apply. It uses no clock, socket,
// file or global random source.
//
// The caller's loop is:
//
//	for n.HasReady() {
//		r := n.Ready()
//		// r.Save(storage): sync r.Snapshot, r.HardState and r.Entries
//		// send r.Messages
//		// restore r.Snapshot, then apply r.CommittedEntries, then serve r.ReadStates whose index has been applied
//		n.Advance(r)
//	}
//
// A membership change takes effect as soon as its entry is in the log, committed or not, and is reverted when the entry
// is truncated. At most one membership change is uncommitted at a time.
package raft
