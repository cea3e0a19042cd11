package raft

import "heatherwall.example/api/raftpb"

// Status describes the state of a node at one point in time.
type Status struct {
	ID, Group uint64
	Role      Role
	Term      uint64
	// Leader is 0 if none is known.
	Leader            uint64
	Commit, Applied   uint64
	LastIndex         uint64
	Membership        *raftpb.Membership
	MembershipPending bool
	// CommittedMembership is the latest committed membership. Membership may be newer, and is then reverted if its entry is
	// lost with the leader.
	CommittedMembership *raftpb.Membership
	// Voter reports whether the node is a voter in Membership.
	Voter bool
	// HasActiveLeader reports whether the node is the leader and in contact with a quorum, or has received a message from
	// the leader within the minimum election timeout.
	HasActiveLeader bool
	// TransferTo is the replica that the leadership is being transferred to; 0 otherwise.
	TransferTo uint64
	// Replicas describes all members in ascending order of their IDs. It is set only on the leader.
	Replicas []ReplicaStatus
}

// ReplicaStatus is the leader's view of a member.
type ReplicaStatus struct {
	ID      uint64
	Learner bool
	// Match is the last index that the member is known to have synced.
	Match uint64
	// TicksSinceLastMessage counts the ticks since the last message from the member; 0 for the leader itself.
	TicksSinceLastMessage uint64
	// TicksSinceLastRead counts the ticks since the last read request from the member, or since the leader was elected; 0 for
	// the leader itself.
	TicksSinceLastRead uint64
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	s := Status{
		ID: n.config.ID, Group: n.config.Group, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.committed, Applied: n.log.applied, LastIndex: n.log.lastIndex(),
		Membership: n.membership(), MembershipPending: n.memberships.latest().index > n.log.committed,
		CommittedMembership: n.memberships.at(n.log.committed),
		Voter:               isVoter(n.membership(), n.config.ID), HasActiveLeader: n.hasActiveLeader(), TransferTo: n.transferTo,
	}
	if n.role != Leader {
		return s
	}
	s.HasActiveLeader = n.hasQuorum()
	for _, member := range n.membership().GetMembers() {
		p := n.progress[member.Id]
		status := ReplicaStatus{ID: member.Id, Learner: member.Learner, Match: p.match}
		if member.Id != n.config.ID {
			status.TicksSinceLastMessage = n.ticks - p.lastMessageTick
			status.TicksSinceLastRead = n.ticks - p.lastReadTick
		}
		s.Replicas = append(s.Replicas, status)
	}
	return s
}
