package control

import (
	"slices"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
	"heatherwall.example/telemetry"
)

// proposeMembershipChange reports whether the change was proposed. It is not while another change is in progress; callers
// try again later.
func (l *loop) proposeMembershipChange(g *group, change *raftpb.MembershipChange) bool {
	if err := g.node.ProposeMembership(change); err != nil {
		return false
	}
	l.log.Log(eventMembershipChangeProposed, telemetry.F("group", g.id), telemetry.F("change", change.Type.String()),
		telemetry.F("replica", change.Member.Name), telemetry.F("id", change.Member.Id))
	return true
}

const (
	// demoteVoterAfterTicks is the time without a message from a voter, in ticks, after which the voter is demoted. Together
	// with an election it is shorter than the 4 s after which an instance that replaces a lost one counts as caught up:
	// from then on the group has to bear the next loss.
	demoteVoterAfterTicks = 20
	// removeLearnerAfterTicks is the time without a message from a learner, in ticks, after which the learner is removed. A
	// learner costs no quorum, only heartbeats, so an instance that returns within this time needs no request to join.
	removeLearnerAfterTicks = 300
	// defaultMinVoters is the number of voters that a demotion leaves: two voters of three keep every entry on two disks.
	defaultMinVoters = 3
)

// minVotersFor returns the number of voters that a demotion leaves so that, after the loss of the given number of disks, the
// other voters are still a majority. Each entry is then on the disk of one of them.
func minVotersFor(lostDisks int) int { return max(2*lostDisks+1, defaultMinVoters) }

// minVotersToAcknowledge returns the number of voters without which only reports of servers are acknowledged: a majority of
// fewer voters may be among the given number of lost disks.
func minVotersToAcknowledge(lostDisks int) int { return 2 * lostDisks }

// checkVoters returns a *TooFewVotersError if an entry that the configuration group commits now could be lost with as many
// disks as the settings say may be lost at once. It is safe for concurrent use.
func (r *replica) checkVoters() error {
	needed := minVotersToAcknowledge(r.settings.ToleratedDiskLosses)
	if n := int(r.counters.voters.Value()); n < needed {
		return &TooFewVotersError{Voters: n, Needed: needed}
	}
	return nil
}

// maintainMembership keeps the voters of a group led here equal to the replicas in contact: it demotes voters that are
// silent and promotes learners that have synced everything committed. A lost voter that stayed would count towards the
// quorum size for good, and each replaced instance would leave one more.
//
// A demotion takes two changes, REMOVE and ADD_LEARNER, which replicas of earlier builds know as well. The leader sends to
// a learner again as soon as it returns, so that it is a voter again within a few heartbeats. If the leader is lost
// between the two changes, the replica asks to join; see mayHaveBeenRemoved.
func (l *loop) maintainMembership(g *group) {
	if !g.isLeader {
		g.demoting = nil
		return
	}
	st := g.node.Status()
	change := nextMaintenanceChange(st, g.demoting, l.minVoters)
	if change == nil || !l.proposeMembershipChange(g, change) {
		return
	}
	g.demoting = nil
	if change.Type == raftpb.MembershipChangeType_MEMBERSHIP_REMOVE && !change.Member.Learner {
		g.demoting = change.Member
	}
}

// nextMaintenanceChange returns the next change that maintainMembership proposes, or nil if there is none. demoting is the
// voter whose demotion has begun, or nil. A lost voter is demoted before a learner is promoted: without it the quorum is
// never larger, with one more voter it may be. Where the demotion would leave fewer than minVoters, the promotion comes first,
// because a smaller group keeps entries on fewer disks.
func nextMaintenanceChange(st raft.Status, demoting *raftpb.Member, minVoters int) *raftpb.MembershipChange {
	if st.MembershipPending {
		return nil
	}
	if demoting != nil && !isMember(st.Membership, demoting) {
		return &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_ADD_LEARNER, Member: demoting}
	}
	if lost := voterToReplace(st); lost != nil && countVoters(st.Membership) > minVoters {
		return &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, Member: lost}
	}
	if ready := caughtUpLearner(st); ready != nil {
		return &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_PROMOTE, Member: ready}
	}
	if gone := expiredLearner(st); gone != nil {
		return &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, Member: gone}
	}
	return nil
}

// isMember reports whether the membership contains a member with the ID or the name of m.
func isMember(membership *raftpb.Membership, m *raftpb.Member) bool {
	return slices.ContainsFunc(membership.GetMembers(), func(other *raftpb.Member) bool { return other.Id == m.Id || other.Name == m.Name })
}

// caughtUpLearner returns a learner that has synced everything committed, or nil.
func caughtUpLearner(st raft.Status) *raftpb.Member {
	for _, replica := range st.Replicas {
		if replica.Learner && replica.Match >= st.Commit {
			return findMember(st.Membership, replica.ID)
		}
	}
	return nil
}

// expiredLearner returns a learner that has been silent for more than removeLearnerAfterTicks, or nil.
func expiredLearner(st raft.Status) *raftpb.Member {
	for _, replica := range st.Replicas {
		if replica.Learner && replica.TicksSinceLastMessage > removeLearnerAfterTicks {
			return findMember(st.Membership, replica.ID)
		}
	}
	return nil
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

// isReplaceable reports whether the member is a voter and has been silent for more than demoteVoterAfterTicks.
func isReplaceable(m *raftpb.Member, silentTicks uint64) bool {
	return !m.Learner && silentTicks > demoteVoterAfterTicks
}

func countVoters(membership *raftpb.Membership) int {
	n := 0
	for _, m := range membership.GetMembers() {
		if !m.Learner {
			n++
		}
	}
	return n
}

func findMember(membership *raftpb.Membership, id uint64) *raftpb.Member {
	for _, m := range membership.GetMembers() {
		if m.Id == id {
			return m
		}
	}
	return nil
}
