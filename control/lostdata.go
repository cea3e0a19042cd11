package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/telemetry"
)

// probeVotersAfter is the time without a leader after which a replica asks the other voters whether they still have their
// data. It is longer than an election.
const probeVotersAfter = 2 * time.Second

// findLostData asks the voters of groups without a leader whether they still have their data, and tells the groups which
// have not. After the loss of half of the voters of a group, the other half can then go on.
func (r *replica) findLostData(ctx context.Context, voters []*raftpb.Member) {
	lost := r.probeForLostData(ctx, voters)
	if len(lost) == 0 {
		return
	}
	// If the replica is stopping or overloaded, the next call finds them again.
	_ = r.loop.submit(func() { r.loop.markDataLost(lost) })
}

// leaderlessVoters returns the other voters of the groups that have had no leader for probeVotersAfter.
func (l *loop) leaderlessVoters(now time.Time) []*raftpb.Member {
	var list []*raftpb.Member
	for _, g := range l.ordered {
		if g.leaderSeenAt.IsZero() || now.Sub(g.leaderSeenAt) < probeVotersAfter {
			g.isLeaderless = false
			continue
		}
		if !g.isLeaderless {
			g.isLeaderless = true
			l.log.Log(eventNoLeader, telemetry.F("group", g.id), telemetry.F("voters", g.voterCount()), telemetry.F("lost", g.lostVoterCount()))
		}
		for _, m := range g.node.Status().Membership.GetMembers() {
			isListed := func(other *raftpb.Member) bool { return other.Id == m.Id }
			if !m.Learner && m.Id != g.self && !slices.ContainsFunc(list, isListed) {
				list = append(list, m)
			}
		}
	}
	return list
}

// probeForLostData returns those of the members whose address answers with another identity.
func (r *replica) probeForLostData(ctx context.Context, members []*raftpb.Member) []*raftpb.Member {
	isLost := make([]bool, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			answer, err := r.probe(ctx, m.Address)
			isLost[i] = err == nil && hasLostData(m, r.loop.clusterID, answer)
		})
	}
	wg.Wait()
	var lost []*raftpb.Member
	for i, m := range members {
		if isLost[i] {
			lost = append(lost, m)
		}
	}
	return lost
}

// hasLostData reports whether the answer of the process at a member's address proves that the member's data folder is gone:
// the process has the member's name, and another identity or none. A process takes its identity from its data folder and
// keeps it, so the member will never act again.
func hasLostData(m *raftpb.Member, cluster uint64, answer *controlpb.ProbeAnswer) bool {
	if answer.Name != m.Name {
		return false
	}
	if answer.ClusterId == 0 {
		return answer.Candidate != nil && answer.Candidate.Id != m.Id
	}
	id := identityIn(answer, cluster)
	return id != 0 && id != m.Id
}

// identityIn returns the identity of the process that answered a probe; 0 if it does not belong to the cluster.
func identityIn(answer *controlpb.ProbeAnswer, cluster uint64) uint64 {
	if answer.ClusterId != cluster || len(answer.Groups) == 0 {
		return 0
	}
	return answer.Groups[0].Id
}

// markDataLost tells each group which of its voters have lost their data.
func (l *loop) markDataLost(lost []*raftpb.Member) {
	for _, g := range l.ordered {
		for _, m := range lost {
			if g.lostData[m.Id] || findMember(g.node.Status().Membership, m.Id) == nil {
				continue
			}
			g.lostData[m.Id] = true
			g.node.MarkDataLost(m.Id)
			l.log.Log(eventVoterDataLost, telemetry.F("group", g.id), telemetry.F("replica", m.Name), telemetry.F("id", m.Id),
				telemetry.F("voters", g.voterCount()), telemetry.F("lost", g.lostVoterCount()))
		}
	}
}

// lostVoterCount returns the number of voters, in the committed membership that this replica knows, that have lost their data.
func (g *group) lostVoterCount() int {
	if len(g.lostData) == 0 {
		return 0 // the usual case, at each tick
	}
	n := 0
	for _, m := range g.node.Status().CommittedMembership.GetMembers() {
		if !m.Learner && g.lostData[m.Id] {
			n++
		}
	}
	return n
}
