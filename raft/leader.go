package raft

import (
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/raftpb"
)

func (n *Node) becomeLeader() {
	n.role = Leader
	n.hasSeenLeader = true
	n.leaderSince = n.ticks
	n.leader = n.config.ID
	n.votes = nil
	n.progress = map[uint64]*progress{}
	n.reads = readQueue{}
	n.promotionIndex = n.log.lastIndex()
	n.transferTo = 0
	n.updateProgress()
	// The leader needs an entry of its own term: entries of earlier terms are committed only together with such an entry.
	n.appendEntry(raftpb.EntryType_ENTRY_DATA, nil)
	n.heartbeatElapsed = 0
}

// updateProgress adds and removes entries of progress so that it covers exactly the current members.
func (n *Node) updateProgress() {
	for id := range n.progress {
		if findMember(n.membership(), id) == nil {
			delete(n.progress, id)
		}
	}
	for _, member := range n.membership().GetMembers() {
		if n.progress[member.Id] == nil {
			n.progress[member.Id] = &progress{next: n.log.lastIndex() + 1, lastMessageTick: n.ticks, lastReadTick: n.ticks}
		}
	}
	if own := n.progress[n.config.ID]; own != nil {
		own.match = max(own.match, n.syncedIndex())
	}
}

// syncedIndex returns the last index that the node itself has synced.
func (n *Node) syncedIndex() uint64 { return n.log.offset - 1 }

// Propose appends data to the log if the node is the leader. The entry appears in Ready.CommittedEntries once it is
// committed; it may also be lost with the leadership.
// Errors: *NotLeaderError, *TransferInProgressError, *EntryTooLargeError.
func (n *Node) Propose(data []byte) error {
	if err := n.checkProposal(uint64(len(data))); err != nil {
		return err
	}
	n.appendEntry(raftpb.EntryType_ENTRY_DATA, data)
	return n.log.err
}

// ProposeOrForward appends data to the log if the node is the leader, and otherwise forwards it once to the leader, which
// sends no response. The caller learns the outcome from Ready.CommittedEntries or, if the proposal is idempotent, retries
// it after a timeout. The error is *NotLeaderError if no leader is known, or one of the errors of Propose.
func (n *Node) ProposeOrForward(data []byte) error {
	if n.role == Leader || n.log.err != nil {
		return n.Propose(data)
	}
	if n.leader == 0 {
		return &NotLeaderError{}
	}
	if size := uint64(len(data)); size > n.config.MaxEntryBytes {
		return &EntryTooLargeError{Size: size, Max: n.config.MaxEntryBytes}
	}
	n.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_PROPOSE, To: n.leader, Proposal: data})
	return nil
}

// handlePropose appends a proposal that a follower forwarded. A proposal that cannot be appended is dropped; the
// follower's caller gives up on it after a timeout.
func (n *Node) handlePropose(m *raftpb.Message) {
	if n.role == Leader {
		_ = n.Propose(m.Proposal)
	}
}

func (n *Node) checkProposal(size uint64) error {
	switch {
	case n.log.err != nil:
		return n.log.err
	case n.role != Leader:
		return &NotLeaderError{Leader: n.leader}
	case n.transferTo != 0:
		return &TransferInProgressError{To: n.transferTo}
	case size > n.config.MaxEntryBytes:
		return &EntryTooLargeError{Size: size, Max: n.config.MaxEntryBytes}
	}
	return nil
}

// ProposeMembership appends a membership change, which takes effect at once and becomes permanent when it is committed.
// Errors besides those of Propose: *MembershipPendingError, *NoCommitInTermError, *NotCaughtUpError,
// *InvalidMembershipChangeError.
func (n *Node) ProposeMembership(c *raftpb.MembershipChange) error {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return &InvalidMembershipChangeError{ID: c.GetMember().GetId(), Reason: ReasonUndecodable}
	}
	if err := n.checkProposal(uint64(len(data))); err != nil {
		return err
	}
	if err := n.checkMembershipChange(c); err != nil {
		return err
	}
	n.appendEntry(raftpb.EntryType_ENTRY_MEMBERSHIP, data)
	return n.log.err
}

func (n *Node) checkMembershipChange(c *raftpb.MembershipChange) error {
	if pending := n.memberships.latest().index; pending > n.log.committed {
		return &MembershipPendingError{Index: pending}
	}
	if !n.hasCommittedInTerm() {
		return &NoCommitInTermError{Term: n.term}
	}
	if _, err := ChangeMembership(n.membership(), c); err != nil {
		return err
	}
	if c.Type != raftpb.MembershipChangeType_MEMBERSHIP_PROMOTE {
		return nil
	}
	// The learner must also have the entry that added it: a replica that is not a member according to its own log cannot
	// vote, and its vote is needed if the leader is lost right after the promotion.
	needed := max(n.promotionIndex, n.memberships.latest().index)
	if p := n.progress[c.Member.Id]; p.match < needed {
		return &NotCaughtUpError{ID: c.Member.Id, Match: p.match, Needed: needed}
	}
	return nil
}

func (n *Node) hasCommittedInTerm() bool {
	return n.log.matches(n.log.committed, n.term)
}

func (n *Node) appendEntry(t raftpb.EntryType, data []byte) {
	e := &raftpb.Entry{Term: n.term, Index: n.log.lastIndex() + 1, Type: t, Data: data}
	n.appendToLog([]*raftpb.Entry{e})
	if t == raftpb.EntryType_ENTRY_MEMBERSHIP {
		n.updateProgress()
	}
	n.mustBroadcast = true
}

// broadcastAppend sends new entries and the commit index to all members. It runs in Ready, so that proposals made since
// the last Ready are batched into the same messages.
func (n *Node) broadcastAppend() {
	n.mustBroadcast = false
	for _, id := range n.otherMembers() {
		n.sendAppend(id)
		n.sendRemainingAppends(id)
	}
}

// sendRemainingAppends sends further appends until the replica has been sent the whole log or its window of in-flight
// appends is full.
func (n *Node) sendRemainingAppends(id uint64) {
	p := n.progress[id]
	for p.state == stateReplicate && !p.isPaused() && p.next <= n.log.lastIndex() && n.log.err == nil {
		n.sendAppend(id)
	}
}

// sendAppend sends one append with the next entries for the replica, or a snapshot if those are compacted, unless the
// replica is paused. An append without entries still carries the commit index and lets the replica reject it if entries
// are missing.
func (n *Node) sendAppend(id uint64) {
	p := n.progress[id]
	if p == nil || p.isPaused() {
		return
	}
	previous := p.next - 1
	term, ok := n.log.term(previous)
	if !ok || p.next < n.log.firstIndex() {
		n.sendSnapshot(id, p)
		return
	}
	entries, err := n.log.entries(p.next, n.log.lastIndex()+1, n.config.MaxMessageBytes)
	if err != nil {
		n.log.failUnlessAbsent(err)
		return
	}
	n.send(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_APPEND, To: id, LogIndex: previous, LogTerm: term,
		Entries: entries, Commit: n.log.committed,
	})
	p.recordSent(previous+uint64(len(entries)), len(entries))
}

func (n *Node) sendSnapshot(id uint64, p *progress) {
	s := n.log.snapshot
	if s == nil {
		stored, err := n.log.storage.Snapshot()
		if err != nil {
			n.log.fail(err)
			return
		}
		s = stored
	}
	p.becomeSnapshot(s.Index, n.ticks)
	n.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_SNAPSHOT, To: id, Snapshot: s})
}

// retrySnapshots resumes replication to replicas that have not acknowledged a snapshot for snapshotRetryTimeouts election
// timeouts.
func (n *Node) retrySnapshots() {
	limit := uint64(snapshotRetryTimeouts * n.config.ElectionTicks)
	for _, id := range n.otherMembers() {
		if p := n.progress[id]; p.state == stateSnapshot && n.ticks-p.snapshotSentTick >= limit {
			p.becomeProbe()
			p.next = p.match + 1
			n.sendAppend(id)
		}
	}
}

func (n *Node) handleAppendResponse(m *raftpb.Message) {
	p := n.progress[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.lastMessageTick = n.ticks
	if m.Reject {
		n.handleReject(m, p)
		return
	}
	if m.LogIndex > n.log.lastIndex() {
		n.log.fail(&InvariantError{Index: m.LogIndex, Detail: "a follower acknowledged an entry that the leader does not have"})
		return
	}
	wasPaused := p.isPaused()
	advanced := p.acknowledge(m.LogIndex)
	if p.state == stateProbe || (p.state == stateSnapshot && p.match >= p.snapshotIndex) {
		p.becomeReplicate()
	}
	if advanced && n.advanceCommit() {
		n.mustBroadcast = true
	} else if wasPaused {
		n.sendAppend(m.From)
	}
	n.sendRemainingAppends(m.From)
	n.afterCommit()
	if n.role == Leader && advanced {
		n.sendTimeoutNowIfCaughtUp(m.From)
	}
}

func (n *Node) handleReject(m *raftpb.Message, p *progress) {
	next := m.RejectHint + 1
	if m.LogTerm > 0 {
		index, _ := n.log.lastWithTermAtMost(m.RejectHint, m.LogTerm)
		next = index + 1
	}
	if p.decreaseNext(m.LogIndex, next) {
		n.sendAppend(m.From)
	}
}

// advanceCommit commits the entries that a quorum of the voters has synced. Only entries of the leader's own term are
// committed by counting replicas; earlier entries are committed with them. It reports whether the commit index advanced.
func (n *Node) advanceCommit() bool {
	index := n.quorumValue(func(p *progress) uint64 { return p.match })
	if index <= n.log.committed || !n.log.matches(index, n.term) {
		return false
	}
	n.log.commitTo(index)
	return true
}

// afterCommit handles what depends on the commit index: it releases held reads, and the leader steps down if its own
// removal is committed.
func (n *Node) afterCommit() {
	if n.role != Leader {
		return
	}
	n.releaseHeldReads()
	if n.memberships.latest().index <= n.log.committed && !isVoter(n.membership(), n.config.ID) {
		n.becomeFollower(n.term, 0)
	}
}
