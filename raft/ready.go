package raft

import "heatherwall.example/api/raftpb"

// Ready is what the caller has to do, in the order of the fields, before it calls Advance. Everything in it is shared
// with the node and must not be modified.
type Ready struct {
	// Snapshot is to be synced and replaces the log up to its index and the state machine; nil if there is none.
	// It must be synced before HardState and Entries, as Save does.
	Snapshot *raftpb.Snapshot
	// HardState is to be synced; nil if there is no need. A change of only the commit index does not need a sync.
	HardState *raftpb.HardState
	// Entries are to be synced; they replace stored entries from the first one's index on.
	Entries []*raftpb.Entry
	// Messages are to be sent after the above has been synced.
	Messages []*raftpb.Message
	// CommittedEntries entries are to be applied, in this order. Entries with empty data and membership changes have no
	// effect on the state machine.
	CommittedEntries []*raftpb.Entry
	// ReadStates can be served once the log has been applied up to their index.
	ReadStates []ReadState
	// Membership is the membership in effect, if it differs from the last one reported; nil otherwise. It may be
	// uncommitted; it tells to whom connections are needed.
	Membership *raftpb.Membership
}

// savedState is the hard state that the caller has been given last.
type savedState struct {
	term, vote, commit uint64
}

// HasReady tells whether Ready has anything to do.
func (n *Node) HasReady() bool {
	if n.log.err != nil {
		return false
	}
	return len(n.messages) > 0 || len(n.log.unstable) > 0 || n.log.snapshot != nil || len(n.readStates) > 0 ||
		n.log.applied < n.log.committed || n.mustBroadcast || n.mustSaveTermOrVote() || n.reportedMembership != n.membership()
}

func (n *Node) mustSaveTermOrVote() bool {
	return n.term != n.saved.term || n.vote != n.saved.vote
}

// Ready returns what there is to do. It must be followed by Advance before it is called again. A node that has failed
// returns nothing.
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
	if n.mustSaveTermOrVote() || (writes && n.log.committed != n.saved.commit) {
		n.saved = savedState{term: n.term, vote: n.vote, commit: n.log.committed}
		r.HardState = &raftpb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
	}
	return r
}

// Saver stores what a Ready contains. Both methods return after the sync.
type Saver interface {
	Save(hs *raftpb.HardState, entries []*raftpb.Entry) error
	SaveSnapshot(s *raftpb.Snapshot) error
}

// Save syncs a Ready. The snapshot goes first, because the commit index and the entries refer to it.
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

// Advance tells the node that everything in r has been synced, sent and applied.
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

// acknowledgeOwnLog counts what the leader itself has synced.
func (n *Node) acknowledgeOwnLog() {
	if own := n.progress[n.config.ID]; own != nil {
		own.acknowledge(n.syncedIndex())
	}
	if n.advanceCommit() {
		n.mustBroadcast = true
	}
	n.afterCommit()
}

// NewSnapshot returns a snapshot of the state machine's data after the applied entry with the index. The caller stores
// it with SaveSnapshot of its storage, which compacts the log.
func (n *Node) NewSnapshot(index uint64, data []byte) (*raftpb.Snapshot, error) {
	if index > n.log.committed {
		return nil, &InvariantError{Index: index, Detail: "snapshot of an entry that is not committed"}
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
