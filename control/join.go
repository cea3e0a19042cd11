package control

import (
	"context"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/telemetry"
)

// joinInterval is the time between two requests to be added to a group.
const joinInterval = 500 * time.Millisecond

// rejoinAfter is the time without a leader after which a member asks to be added again. It may have been removed during
// a network partition and would not be informed of that. The time is longer than two elections.
const rejoinAfter = 4 * time.Second

// membershipCheck is what a replica finds when it looks at the membership of its groups.
type membershipCheck struct {
	// toJoin holds the groups that the replica should be a member of but may not be.
	toJoin []uint64
	// leaderless holds the other voters of the groups that have had no leader for a while.
	leaderless []*raftpb.Member
}

// runJoinLoop asks, until ctx ends, to be added to each group that this replica should be a member of but is not. It also
// looks for voters that have lost their data while a group has no leader.
func (r *replica) runJoinLoop(ctx context.Context) {
	next := 0
	for ctx.Err() == nil {
		check, err := runInLoop(ctx, r.loop, func(finish func(membershipCheck, error)) {
			finish(membershipCheck{toJoin: r.groupsToJoin(), leaderless: r.loop.leaderlessVoters(time.Now())}, nil)
		})
		if err != nil {
			sleep(ctx, joinInterval)
			continue
		}
		candidates := r.candidateAddresses()
		for _, g := range check.toJoin {
			if len(candidates) > 0 {
				r.requestJoin(ctx, g, candidates[next%len(candidates)])
			}
		}
		next++
		r.findLostData(ctx, check.leaderless)
		sleep(ctx, joinInterval)
	}
}

// groupsToJoin returns the groups whose membership, as far as this replica knows, does not contain it, and those from
// which it may have been removed.
func (r *replica) groupsToJoin() []uint64 {
	var ids []uint64
	for _, g := range r.loop.ordered {
		if findMember(g.node.Status().Membership, g.self) == nil || r.mayHaveBeenRemoved(g) {
			ids = append(ids, g.id)
		}
	}
	return ids
}

// requestJoin sends a join request to one peer and, if that peer returns another leader address, to the leader.
func (r *replica) requestJoin(ctx context.Context, group uint64, address string) {
	r.log.Log(eventJoining, telemetry.F("group", group), telemetry.F("peer", address))
	for range 2 {
		answer, err := r.sendJoinRequest(ctx, group, address)
		if err != nil || answer.Accepted || answer.LeaderAddress == "" || answer.LeaderAddress == address {
			return
		}
		address = answer.LeaderAddress
	}
}

func (r *replica) sendJoinRequest(ctx context.Context, group uint64, address string) (*controlpb.JoinAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := r.peerDialer().dial(address)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	return controlpb.NewPeersClient(conn).Join(ctx, &controlpb.JoinRequest{Group: group, ClusterId: r.loop.clusterID, Member: r.loop.self})
}

// mayHaveBeenRemoved reports whether the group has had no leader for so long that this replica may have been removed.
func (r *replica) mayHaveBeenRemoved(g *group) bool {
	return !g.leaderSeenAt.IsZero() && time.Since(g.leaderSeenAt) > rejoinAfter
}

// handleJoin proposes the next membership change that adds a replica to a group. A replica that lost its data folder
// returns with a new identity. Its old identity is removed first, because it can never vote again but still counts
// towards the quorum size; at the same address, its data is gone. maintainMembership makes the learner a voter once it has synced everything committed.
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
	change := nextJoinChange(g.node.Status().Membership, r.Member)
	if change == nil {
		return answer
	}
	if change.Type == raftpb.MembershipChangeType_MEMBERSHIP_REMOVE && change.Member.Address == r.Member.Address {
		l.markDataLost([]*raftpb.Member{change.Member})
	}
	l.proposeMembershipChange(g, change)
	return answer
}

// joinChangesGroup reports whether the join request would change a group that is led here.
func (l *loop) joinChangesGroup(r *controlpb.JoinRequest) bool {
	g, ok := l.groups[r.Group]
	return ok && r.ClusterId == l.clusterID && g.isLeader && nextJoinChange(g.node.Status().Membership, r.Member) != nil
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

// isCurrentIdentity reports whether the process at a joining member's address has its identity now. A join request may be
// read long after it was sent, when the process has lost its data folder and joined under another identity.
func (r *replica) isCurrentIdentity(ctx context.Context, m *raftpb.Member) bool {
	answer, err := r.probe(ctx, m.GetAddress())
	return err == nil && answer.Name == m.GetName() && identityIn(answer, r.loop.clusterID) == m.GetId()
}
