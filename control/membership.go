package control

import (
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
	"heatherwall.example/telemetry"
)

// join proposes the next step that brings a replica into a group. A replica that lost its data folder comes back with
// a new identity: its old identity is removed first, because it can never vote again and would only weigh on the
// quorum. Promotion follows in promoteLearners once the learner has synced everything committed.
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
	// A refusal means that another change is under way; the joining replica asks again.
	if err := g.node.ProposeMembership(change); err != nil {
		return
	}
	l.log.Log(eventMembershipChangeProposed, telemetry.F("group", g.id), telemetry.F("change", change.Type.String()),
		telemetry.F("replica", change.Member.Name), telemetry.F("id", change.Member.Id))
}

// replaceAfterTicks is the silence of a voter, in ticks, after which a learner that is ready takes its place. A restart
// of a machine takes less, so that replicas which come back keep their places.
const replaceVoterAfterTicks = 60

// promoteLearners makes a learner a voter once it has synced everything that is committed now. A voter that has been
// silent for long is removed before, so that the number of voters does not grow with each replica that is replaced, and
// a majority of them does not come to consist of lost ones.
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

// lostVoter returns the voter that has been silent for the longest time, if that is long enough to replace it.
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

// isReplaceable tells whether a replica that is ready may take the place of a voter.
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
