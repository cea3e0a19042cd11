package raft

import (
	"slices"

	"heatherwall.example/api/raftpb"
)

// MemoryStorage is a Storage that keeps everything in memory and simulates crashes. What Save and SaveSnapshot store
// survives Crash; what SaveUnsynced stores survives only if Sync is called before Crash.
type MemoryStorage struct {
	current memoryState
	synced  memoryState
}

type memoryState struct {
	hardState *raftpb.HardState
	snapshot  *raftpb.Snapshot
	// entries start at the index after the snapshot and have no gap.
	entries []*raftpb.Entry
}

// NewMemoryStorage returns a storage that contains the snapshot. It is empty if the snapshot is nil.
func NewMemoryStorage(s *raftpb.Snapshot) *MemoryStorage {
	if s == nil {
		s = &raftpb.Snapshot{}
	}
	state := memoryState{hardState: &raftpb.HardState{Term: s.Term, Commit: s.Index}, snapshot: s}
	return &MemoryStorage{current: state, synced: state}
}

// Save stores and syncs a hard state, if it is not nil, and entries.
func (s *MemoryStorage) Save(hs *raftpb.HardState, entries []*raftpb.Entry) error {
	if err := s.SaveUnsynced(hs, entries); err != nil {
		return err
	}
	s.Sync()
	return nil
}

// SaveUnsynced stores like Save but does not sync.
func (s *MemoryStorage) SaveUnsynced(hs *raftpb.HardState, entries []*raftpb.Entry) error {
	if hs != nil {
		s.current.hardState = hs
	}
	if len(entries) == 0 {
		return nil
	}
	from, first := entries[0].Index, s.first()
	if from < first {
		return &CompactedError{Index: from, First: first}
	}
	if from > s.last()+1 {
		return &UnavailableError{Index: from, Last: s.last()}
	}
	if from <= s.last() {
		// The slice is cloned because the synced state and messages may still refer to the old one.
		s.current.entries = slices.Clone(s.current.entries[:from-first])
	}
	s.current.entries = append(s.current.entries, entries...)
	return nil
}

// SaveSnapshot stores and syncs a snapshot and removes the entries up to its index, or the whole log if the log does not
// contain the snapshot's last entry.
func (s *MemoryStorage) SaveSnapshot(snapshot *raftpb.Snapshot) error {
	if snapshot.Index <= s.current.snapshot.Index {
		return nil
	}
	var rest []*raftpb.Entry
	if term, err := s.Term(snapshot.Index); err == nil && term == snapshot.Term {
		rest = slices.Clone(s.current.entries[snapshot.Index+1-s.first():])
	}
	s.current.snapshot = snapshot
	s.current.entries = rest
	s.Sync()
	return nil
}

// Sync makes everything stored so far survive Crash.
func (s *MemoryStorage) Sync() { s.synced = s.current }

// Crash discards everything that has not been synced.
func (s *MemoryStorage) Crash() {
	s.synced.entries = slices.Clip(s.synced.entries)
	s.current = s.synced
}

func (s *MemoryStorage) first() uint64 { return s.current.snapshot.Index + 1 }

func (s *MemoryStorage) last() uint64 {
	return s.current.snapshot.Index + uint64(len(s.current.entries))
}

// InitialState implements Storage.
func (s *MemoryStorage) InitialState() (*raftpb.HardState, *raftpb.Membership, error) {
	membership := s.current.snapshot.Membership
	if membership == nil {
		membership = &raftpb.Membership{}
	}
	return s.current.hardState, membership, nil
}

// Entries implements Storage.
func (s *MemoryStorage) Entries(lo, hi, maxBytes uint64) ([]*raftpb.Entry, error) {
	if lo < s.first() {
		return nil, &CompactedError{Index: lo, First: s.first()}
	}
	if hi > s.last()+1 {
		return nil, &UnavailableError{Index: hi - 1, Last: s.last()}
	}
	return LimitEntries(s.current.entries[lo-s.first():hi-s.first()], maxBytes), nil
}

// Term implements Storage.
func (s *MemoryStorage) Term(index uint64) (uint64, error) {
	switch {
	case index == s.current.snapshot.Index:
		return s.current.snapshot.Term, nil
	case index < s.first():
		return 0, &CompactedError{Index: index, First: s.first()}
	case index > s.last():
		return 0, &UnavailableError{Index: index, Last: s.last()}
	}
	return s.current.entries[index-s.first()].Term, nil
}

// FirstIndex implements Storage.
func (s *MemoryStorage) FirstIndex() (uint64, error) { return s.first(), nil }

// LastIndex implements Storage.
func (s *MemoryStorage) LastIndex() (uint64, error) { return s.last(), nil }

// Snapshot implements Storage.
func (s *MemoryStorage) Snapshot() (*raftpb.Snapshot, error) { return s.current.snapshot, nil }
