package raft

import "heatherwall.example/api/raftpb"

// Storage reads the synced state of a replica. Entries that it returns are shared and must not be modified.
type Storage interface {
	// InitialState returns the last hard state and the membership of the last snapshot. Neither is nil.
	InitialState() (*raftpb.HardState, *raftpb.Membership, error)
	// Entries returns the entries in [lo, hi), limited to maxBytes bytes but at least one entry. It fails with
	// *CompactedError or *UnavailableError.
	Entries(lo, hi, maxBytes uint64) ([]*raftpb.Entry, error)
	// Term returns the term of the entry at the index. The entry just before FirstIndex is included.
	Term(index uint64) (uint64, error)
	FirstIndex() (uint64, error)
	LastIndex() (uint64, error)
	// Snapshot returns the last snapshot. Its index is 0 if there is none.
	Snapshot() (*raftpb.Snapshot, error)
}

// entryOverheadBytes approximates the encoded size of an entry without its data.
const entryOverheadBytes = 32

// EntrySize returns the approximate encoded size of an entry in bytes.
func EntrySize(e *raftpb.Entry) uint64 {
	return uint64(len(e.Data)) + entryOverheadBytes
}

// LimitEntries returns the longest prefix of the entries that has at most maxBytes bytes, but at least one entry.
func LimitEntries(entries []*raftpb.Entry, maxBytes uint64) []*raftpb.Entry {
	total := uint64(0)
	for i, e := range entries {
		total += EntrySize(e)
		if i > 0 && total > maxBytes {
			return entries[:i:i]
		}
	}
	return entries
}
