package raft

import "heatherwall.example/api/raftpb"

// appendToLog appends entries, replacing conflicting ones, and updates the membership history accordingly.
func (n *Node) appendToLog(entries []*raftpb.Entry) {
	n.log.append(entries)
	if n.log.err != nil {
		return
	}
	var err error
	n.memberships, err = n.memberships.truncate(entries[0].Index).add(entries)
	if err != nil {
		n.log.fail(err)
	}
}

func (n *Node) handleAppend(m *raftpb.Message) {
	if n.log.err != nil {
		return
	}
	if m.LogIndex < n.log.committed {
		n.acknowledgeAppend(m.From, n.log.committed)
		return
	}
	if !n.log.matches(m.LogIndex, m.LogTerm) {
		n.rejectAppend(m)
		return
	}
	if i, ok := n.log.firstConflict(m.Entries); ok {
		n.appendToLog(m.Entries[i:])
	}
	if n.log.err != nil {
		return
	}
	last := m.LogIndex + uint64(len(m.Entries))
	n.log.commitTo(min(m.Commit, last))
	n.acknowledgeAppend(m.From, last)
}

func (n *Node) acknowledgeAppend(to, index uint64) {
	n.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_APPEND_ANSWER, To: to, LogIndex: index})
}

// rejectAppend rejects an append. Its hint is the highest index at which the two logs can still match, so that the leader
// can skip the indexes in between.
func (n *Node) rejectAppend(m *raftpb.Message) {
	hint, term := n.log.lastWithTermAtMost(m.LogIndex, m.LogTerm)
	n.send(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_APPEND_ANSWER, To: m.From, Reject: true,
		LogIndex: m.LogIndex, RejectHint: hint, LogTerm: term,
	})
}

func (n *Node) handleHeartbeat(m *raftpb.Message) {
	if n.log.err != nil {
		return
	}
	n.log.commitTo(m.Commit)
	n.send(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_HEARTBEAT_ANSWER, To: m.From, ReadId: m.ReadId})
}

func (n *Node) handleSnapshot(m *raftpb.Message) {
	if n.log.err != nil {
		return
	}
	s := m.Snapshot
	switch {
	case s.Index <= n.log.committed:
		n.acknowledgeAppend(m.From, n.log.committed)
		return
	case n.log.matches(s.Index, s.Term):
		n.log.commitTo(s.Index)
	default:
		n.log.restore(s)
		n.memberships = membershipHistory{{index: s.Index, membership: s.Membership}}
	}
	n.acknowledgeAppend(m.From, s.Index)
}
