package raft

import "heatherwall.example/api/raftpb"

// Ready holds what the caller has to process, in the order of the fields, before it calls Advance. Its contents are shared
// with the node and must not be modified.
type Ready struct {
	// Snapshot has to be synced, and it replaces the log up to its index and the state machine; nil if there is none.
	// It must be synced before HardState and Entries, as Save does.
	Snapshot *raftpb.Snapshot
	// HardState has to be synced; nil if there is nothing to sync.
	HardState *raftpb.HardState
	// Entries have to be synced; they replace the stored entries from the index of the first one on.
	Entries []*raftpb.Entry
	// Messages have to be sent after the fields above have been synced.
	Messages []*raftpb.Message
	// CommittedEntries have to be applied in this order. Entries with empty data and membership changes have no effect on
	// the state machine.
	CommittedEntries []*raftpb.Entry
	// ReadStates are the results of ReadIndex. A read can be served once the log has been applied up to its index.
	ReadStates []ReadState
	// Membership is the membership in effect, possibly uncommitted, if it differs from the last one reported; nil
	// otherwise. The caller needs connections to its members.
	Membership *raftpb.Membership
}

// savedState is the hard state that was loaded at the start or returned by the last Ready that contained one.
type savedState struct {
	term, vote, commit uint64
}

// HasReady reports whether Ready would return anything to process.
func (n *Node) HasReady() bool {
	if n.log.err != nil {
		return false
	}
	return len(n.messages) > 0 || len(n.log.unstable) > 0 || n.log.snapshot != nil || len(n.readStates) > 0 ||
		n.log.applied < n.log.committed || n.mustBroadcast || n.mustSaveTermOrVote() || n.mustSaveCommit() || n.reportedMembership != n.membership()
}

func (n *Node) mustSaveTermOrVote() bool {
	return n.term != n.saved.term || n.vote != n.saved.vote
}

// mustSaveCommit reports whether the latest membership has been committed and the saved commit index does not show it. A
// restarted node must know it, see isHalfLost.
func (n *Node) mustSaveCommit() bool {
	latest := n.memberships.latest().index
	return n.saved.commit < latest && latest <= n.log.committed
}

// Ready returns what the caller has to process. Advance must be called before Ready is called again. A stopped node returns
// an empty Ready.
func (n *Node) Ready() Ready {
	if n.mustBroadcast {
		n.broadcastAppend()
	}
	r := Ready{
		Snapshot:         n.log.snapshot,
		Entries:          n.log.unstable[:len(n.log.unstable):len(n.log.unstable)],
		CommittedEntries: n.log.unapplied(n.config.MaxMessageBytes),
	}
	if n.log.err != nil {
		return Ready{}
	}
	r.Messages, n.messages = n.messages, nil
	r.ReadStates, n.readStates = n.readStates, nil
	if n.reportedMembership != n.membership() {
		n.reportedMembership = n.membership()
		r.Membership = n.reportedMembership
	}
	writes := len(r.Entries) > 0 || r.Snapshot != nil
	if n.mustSaveTermOrVote() || n.mustSaveCommit() || (writes && n.log.committed != n.saved.commit) {
		n.saved = savedState{term: n.term, vote: n.vote, commit: n.log.committed}
		r.HardState = &raftpb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
	}
	return r
}

// Saver is the stable storage that a Ready is saved to. Both methods return after the sync.
type Saver interface {
	Save(hs *raftpb.HardState, entries []*raftpb.Entry) error
	SaveSnapshot(s *raftpb.Snapshot) error
}

// Save syncs the snapshot, the hard state and the entries of a Ready. The snapshot is saved first, because the commit index
// and the entries build on it.
func (r Ready) Save(to Saver) error {
	if r.Snapshot != nil {
		if err := to.SaveSnapshot(r.Snapshot); err != nil {
			return err
		}
	}
	if r.HardState == nil && len(r.Entries) == 0 {
		return nil
	}
	return to.Save(r.HardState, r.Entries)
}

// Advance notifies the node that everything in r has been synced, sent and applied.
func (n *Node) Advance(r Ready) {
	if r.Snapshot != nil {
		n.log.markSnapshotSynced(r.Snapshot)
		n.memberships = n.memberships.compact(r.Snapshot.Index)
	}
	if len(r.Entries) > 0 {
		n.log.markSynced(r.Entries[len(r.Entries)-1])
	}
	if len(r.CommittedEntries) > 0 {
		n.log.applied = max(n.log.applied, r.CommittedEntries[len(r.CommittedEntries)-1].Index)
	}
	if n.role == Leader && len(r.Entries) > 0 {
		n.acknowledgeOwnLog()
	}
}

// acknowledgeOwnLog counts the leader itself as a replica that has synced its log up to syncedIndex.
func (n *Node) acknowledgeOwnLog() {
	if own := n.progress[n.config.ID]; own != nil {
		own.acknowledge(n.syncedIndex())
	}
	if n.advanceCommit() {
		n.mustBroadcast = true
	}
	n.afterCommit()
}

// NewSnapshot returns a snapshot with data, the state of the state machine after the entry at the index was applied. The
// caller saves it with SaveSnapshot of its storage, which compacts the log.
func (n *Node) NewSnapshot(index uint64, data []byte) (*raftpb.Snapshot, error) {
	if index > n.log.committed {
		return nil, &InvariantError{Index: index, Detail: "a snapshot was requested at an index that is not committed"}
	}
	term, ok := n.log.term(index)
	if !ok {
		return nil, &CompactedError{Index: index, First: n.log.firstIndex()}
	}
	if stored, err := n.log.storage.Snapshot(); err == nil {
		n.memberships = n.memberships.compact(stored.Index)
	}
	return &raftpb.Snapshot{Index: index, Term: term, Membership: n.memberships.at(index), Data: data}, nil
}
