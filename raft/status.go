package raft

import "heatherwall.example/api/raftpb"

// Status describes a node at one moment.
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
	// CommittedMembership is the newest membership that no change of leader takes back; Membership may be newer.
	CommittedMembership *raftpb.Membership
	// Voter tells whether the node is a voter in Membership.
	Voter bool
	// HasActiveLeader tells whether the node leads with a quorum, or has heard from a leader within an election timeout.
	HasActiveLeader bool
	// TransferTo is the replica that the leadership is being transferred to; 0 otherwise.
	TransferTo uint64
	// Replicas describes all members, in the order of ids; only on the leader.
	Replicas []ReplicaStatus
}

// ReplicaStatus is what the leader knows of a member.
type ReplicaStatus struct {
	ID      uint64
	Learner bool
	// Match is the last index that the member is known to have synced.
	Match uint64
	// TicksSinceLastMessage is the number of ticks since the last message of the member; 0 for the leader itself.
	TicksSinceLastMessage uint64
}

// Status returns the present state.
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
		}
		s.Replicas = append(s.Replicas, status)
	}
	return s
}
