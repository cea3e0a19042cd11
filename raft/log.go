package raft

import (
	"errors"
	"slices"

	"heatherwall.example/api/raftpb"
)

// replicatedLog is the log of a node: the stored entries followed by the entries that have not been synced yet.
//
// Invariants: applied <= committed <= lastIndex; entries from index offset on are in unstable and are never read from
// storage; a committed entry is never replaced.
type replicatedLog struct {
	storage Storage
	// snapshot is a received snapshot that has not been synced yet; nil if there is none. It replaces the stored log.
	snapshot *raftpb.Snapshot
	unstable []*raftpb.Entry
	offset   uint64

	committed uint64
	applied   uint64
	// err is the first storage error or violated invariant; it stops the node.
	err error
}

func newReplicatedLog(s Storage, committed uint64) (*replicatedLog, error) {
	last, err := s.LastIndex()
	if err != nil {
		return nil, err
	}
	snapshot, err := s.Snapshot()
	if err != nil {
		return nil, err
	}
	committed = max(committed, snapshot.Index)
	if committed > last {
		return nil, &InvariantError{Index: committed, Detail: "the stored commit index is beyond the last entry"}
	}
	return &replicatedLog{storage: s, offset: last + 1, committed: committed, applied: snapshot.Index}, nil
}

func (l *replicatedLog) fail(err error) {
	if l.err == nil {
		l.err = err
	}
}

func (l *replicatedLog) firstIndex() uint64 {
	if l.snapshot != nil {
		return l.snapshot.Index + 1
	}
	first, err := l.storage.FirstIndex()
	if err != nil {
		l.fail(err)
	}
	return first
}

func (l *replicatedLog) lastIndex() uint64 {
	return l.offset + uint64(len(l.unstable)) - 1
}

func (l *replicatedLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of the entry at the index, and false if the index is compacted or not in the log.
func (l *replicatedLog) term(index uint64) (uint64, bool) {
	switch {
	case index > l.lastIndex():
		return 0, false
	case index >= l.offset:
		return l.unstable[index-l.offset].Term, true
	case l.snapshot != nil:
		return l.snapshot.Term, index == l.snapshot.Index
	}
	term, err := l.storage.Term(index)
	if err != nil {
		l.failUnlessAbsent(err)
		return 0, false
	}
	return term, true
}

func (l *replicatedLog) failUnlessAbsent(err error) {
	if !isAbsent(err) {
		l.fail(err)
	}
}

// isAbsent reports whether the error only means that the index is not stored, rather than a failure of the storage.
func isAbsent(err error) bool {
	var compacted *CompactedError
	var unavailable *UnavailableError
	return errors.As(err, &compacted) || errors.As(err, &unavailable)
}

func (l *replicatedLog) matches(index, term uint64) bool {
	got, ok := l.term(index)
	return ok && got == term
}

// isUpToDate reports whether a candidate's log, given the index and term of its last entry, is at least as up-to-date as
// this log.
func (l *replicatedLog) isUpToDate(index, term uint64) bool {
	own := l.lastTerm()
	return term > own || (term == own && index >= l.lastIndex())
}

// entries returns the entries in [lo, hi), limited to maxBytes bytes but at least one entry.
func (l *replicatedLog) entries(lo, hi, maxBytes uint64) ([]*raftpb.Entry, error) {
	if lo >= hi {
		return nil, nil
	}
	if first := l.firstIndex(); lo < first {
		return nil, &CompactedError{Index: lo, First: first}
	}
	if lo >= l.offset {
		return LimitEntries(l.unstable[lo-l.offset:hi-l.offset], maxBytes), nil
	}
	stored, err := l.storage.Entries(lo, min(hi, l.offset), maxBytes)
	if err != nil {
		return nil, err
	}
	if hi <= l.offset || uint64(len(stored)) < l.offset-lo {
		return stored, nil
	}
	both := append(slices.Clip(stored), l.unstable[:hi-l.offset]...)
	return LimitEntries(both, maxBytes), nil
}

// append adds entries. Existing entries from the first new index on are replaced.
func (l *replicatedLog) append(entries []*raftpb.Entry) {
	from := entries[0].Index
	switch {
	case from <= l.committed:
		l.fail(&InvariantError{Index: from, Detail: "an append would replace a committed entry"})
	case from == l.lastIndex()+1:
		l.unstable = append(l.unstable, entries...)
	case from <= l.offset:
		l.offset = from
		l.unstable = slices.Clone(entries)
	default:
		// The slice is cloned because a Ready may still refer to the old one.
		l.unstable = append(slices.Clone(l.unstable[:from-l.offset]), entries...)
	}
}

// firstConflict returns the position of the first entry that is missing from the log or conflicts with it, and false if
// the log contains all entries.
func (l *replicatedLog) firstConflict(entries []*raftpb.Entry) (int, bool) {
	for i, e := range entries {
		if !l.matches(e.Index, e.Term) {
			return i, true
		}
	}
	return 0, false
}

// lastWithTermAtMost returns the highest index not above from whose term is at most term, and the term at that index (0 if
// it is not known). It is the highest index at which the diverged logs of a leader and a follower can match.
func (l *replicatedLog) lastWithTermAtMost(from, term uint64) (uint64, uint64) {
	for index := min(from, l.lastIndex()); index > 0; index-- {
		got, ok := l.term(index)
		if !ok {
			return index, 0
		}
		if got <= term {
			return index, got
		}
	}
	return 0, 0
}

func (l *replicatedLog) commitTo(index uint64) {
	if index > l.lastIndex() {
		l.fail(&InvariantError{Index: index, Detail: "the commit index is beyond the last entry"})
		return
	}
	l.committed = max(l.committed, index)
}

func (l *replicatedLog) restore(s *raftpb.Snapshot) {
	l.snapshot = s
	l.unstable = nil
	l.offset = s.Index + 1
	l.committed = s.Index
	l.applied = s.Index
}

// markSynced records that the log up to and including the entry has been synced, unless the entry has been replaced
// since.
func (l *replicatedLog) markSynced(e *raftpb.Entry) {
	if e.Index < l.offset || !l.matches(e.Index, e.Term) {
		return
	}
	l.unstable = l.unstable[e.Index+1-l.offset:]
	l.offset = e.Index + 1
}

func (l *replicatedLog) markSnapshotSynced(s *raftpb.Snapshot) {
	if l.snapshot != nil && l.snapshot.Index == s.Index {
		l.snapshot = nil
	}
}

// unapplied returns the next committed entries that have not been applied yet, limited to maxBytes bytes but at least one
// entry.
func (l *replicatedLog) unapplied(maxBytes uint64) []*raftpb.Entry {
	if l.snapshot != nil || l.applied >= l.committed {
		return nil
	}
	entries, err := l.entries(l.applied+1, l.committed+1, maxBytes)
	if err != nil {
		l.fail(err)
	}
	return entries
}
