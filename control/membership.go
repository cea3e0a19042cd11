package control

import (
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
	"heatherwall.example/telemetry"
)

// handleJoin proposes the next membership change that adds a replica to a group. A replica that lost its data folder
// returns with a new identity. Its old identity is removed first, because it can never vote again but still counts
// towards the quorum size. promoteLearners makes the learner a voter once it has synced everything committed.
func (l *loop) handleJoin(r *controlpb.JoinRequest) *controlpb.JoinAnswer {
	answer := &controlpb.JoinAnswer{ClusterId: l.clusterID}
	g, ok := l.groups[r.Group]
	if !ok || r.ClusterId != l.clusterID {
		return answer
	}
	answer.LeaderAddress = g.leaderAddress()
	if !g.isLeader {
		return answer
	}
	answer.Accepted = true
	if change := nextJoinChange(g.node.Status().Membership, r.Member); change != nil {
		l.proposeMembershipChange(g, change)
	}
	return answer
}

func nextJoinChange(membership *raftpb.Membership, joining *raftpb.Member) *raftpb.MembershipChange {
	for _, m := range membership.GetMembers() {
		if m.Id == joining.Id {
			return nil
		}
	}
	for _, m := range membership.GetMembers() {
		if m.Name == joining.Name {
			return &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, Member: m}
		}
	}
	return &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_ADD_LEARNER, Member: joining}
}

func (l *loop) proposeMembershipChange(g *group, change *raftpb.MembershipChange) {
	// An error means that another membership change is in progress; the joining replica asks again.
	if err := g.node.ProposeMembership(change); err != nil {
		return
	}
	l.log.Log(eventMembershipChangeProposed, telemetry.F("group", g.id), telemetry.F("change", change.Type.String()),
		telemetry.F("replica", change.Member.Name), telemetry.F("id", change.Member.Id))
}

// replaceVoterAfterTicks is the time without a message from a voter, in ticks, after which a caught-up learner may
// replace it. A restart of an instance is shorter, so that restarted replicas remain voters.
const replaceVoterAfterTicks = 60

// promoteLearners makes a learner a voter once it has synced everything committed so far. A voter that has been silent
// for more than replaceVoterAfterTicks is removed first. Otherwise the number of voters would grow with each replaced
// replica, until lost replicas were the majority.
func (l *loop) promoteLearners(g *group) {
	if !g.isLeader {
		return
	}
	st := g.node.Status()
	for _, replica := range st.Replicas {
		if !replica.Learner || replica.Match < st.Commit {
			continue
		}
		if lost := voterToReplace(st); lost != nil {
			l.proposeMembershipChange(g, &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, Member: lost})
			return
		}
		l.proposeMembershipChange(g, &raftpb.MembershipChange{
			Type:   raftpb.MembershipChangeType_MEMBERSHIP_PROMOTE,
			Member: findMember(st.Membership, replica.ID),
		})
		return
	}
}

// voterToReplace returns the voter that has been silent for the longest time, or nil if no voter is replaceable.
func voterToReplace(st raft.Status) *raftpb.Member {
	var lost *raftpb.Member
	var longest uint64
	for _, replica := range st.Replicas {
		m := findMember(st.Membership, replica.ID)
		if isReplaceable(m, replica.TicksSinceLastMessage) && replica.TicksSinceLastMessage > longest {
			lost, longest = m, replica.TicksSinceLastMessage
		}
	}
	return lost
}

// isReplaceable reports whether a caught-up learner may replace the member: it is a voter and has been silent for more
// than replaceVoterAfterTicks.
func isReplaceable(m *raftpb.Member, silentTicks uint64) bool {
	return !m.Learner && silentTicks > replaceVoterAfterTicks
}

func findMember(membership *raftpb.Membership, id uint64) *raftpb.Member {
	for _, m := range membership.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}
