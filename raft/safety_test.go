package raft

import (
	"errors"
	"testing"

	"heatherwall.example/api/raftpb"
)

// lastMessage returns the message that was sent last, and discards all undelivered messages.
func (c *cluster) lastMessage() *raftpb.Message {
	m := c.network[len(c.network)-1]
	c.network = nil
	return m
}

func (c *cluster) voteResponse(from, term, logIndex uint64) *raftpb.Message {
	c.deliver(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_VOTE, Group: 1, From: from, To: 1, Term: term, LogIndex: logIndex, LogTerm: logIndex,
	})
	return c.lastMessage()
}

// Guards against a second vote in the same term after a restart. The vote is granted after the term has been adopted, so
// the change of the vote alone must be saved.
func TestVoteSurvivesRestart(t *testing.T) {
	c := newCluster(t, 3)
	if !c.voteResponse(2, 5, 0).Reject {
		t.Fatal("voted for a log that is not up-to-date")
	}
	if c.voteResponse(3, 5, 1).Reject {
		t.Fatal("refused a vote for an up-to-date log")
	}
	c.crash(c.hosts[1])
	c.start(c.hosts[1])
	if !c.voteResponse(2, 5, 1).Reject {
		t.Fatal("voted twice in a term")
	}
}

// Guards against entries of an earlier term that are committed by counting replicas: a later leader may still overwrite
// them.
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	c := newCluster(t, 3)
	h := c.hosts[1]
	h.storage.Save(&raftpb.HardState{Term: 2, Commit: 1}, []*raftpb.Entry{{Index: 2, Term: 2, Data: []byte("a")}})
	c.start(h)
	for h.node.role != PreCandidate {
		h.node.Tick()
	}
	for _, kind := range []raftpb.MessageType{raftpb.MessageType_MESSAGE_PRE_VOTE_ANSWER, raftpb.MessageType_MESSAGE_VOTE_ANSWER} {
		c.deliver(&raftpb.Message{Type: kind, Group: 1, From: 2, To: 1, Term: 3})
	}
	c.deliver(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_APPEND_ANSWER, Group: 1, From: 2, To: 1, Term: 3, LogIndex: 2})
	if h.node.role != Leader || h.node.log.committed != 1 {
		t.Fatalf("%v committed %d", h.node.role, h.node.log.committed)
	}
	c.deliver(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_APPEND_ANSWER, Group: 1, From: 2, To: 1, Term: 3, LogIndex: 3})
	if h.node.log.committed != 3 {
		t.Fatalf("committed %d after an entry of the leader's own term was acknowledged", h.node.log.committed)
	}
}

// Guards against a follower that commits entries of its own log that no append of the leader has covered.
func TestFollowerCommitsOnlyEntriesCoveredByAppend(t *testing.T) {
	c := newCluster(t, 3)
	h := c.hosts[1]
	old := []*raftpb.Entry{{Index: 2, Term: 2}, {Index: 3, Term: 2}}
	h.storage.Save(&raftpb.HardState{Term: 2, Commit: 1}, old)
	c.start(h)
	c.deliver(&raftpb.Message{
		Type: raftpb.MessageType_MESSAGE_APPEND, Group: 1, From: 2, To: 1, Term: 3,
		LogIndex: 1, LogTerm: 1, Entries: old[:1], Commit: 3,
	})
	if h.node.log.committed != 2 {
		t.Fatalf("committed %d", h.node.log.committed)
	}
}

// Guards against learners and replicas outside the membership that start an election, or that vote for a candidate whose
// log contains no entry that promotes them.
func TestNonVotersNeitherVoteNorCampaign(t *testing.T) {
	learner := &raftpb.Member{Id: 1, Learner: true}
	for _, s := range []*raftpb.Snapshot{nil, BootstrapSnapshot([]*raftpb.Member{memberOf(2), learner}, nil)} {
		c := newCluster(t, 0)
		h := c.addReplica(1, s)
		if !c.voteResponse(2, 5, 1).Reject {
			t.Errorf("voted with membership %v", h.node.membership())
		}
		c.tick(4 * testElectionTicks)
		if h.node.role != Follower || h.node.term != 5 {
			t.Errorf("%v in term %d with membership %v", h.node.role, h.node.term, h.node.membership())
		}
	}
}

// Guards against the promotion of a learner that lacks the entry that added it: it could not vote after the loss of the
// leader, and the group would have no majority.
func TestPromotionNeedsEntryThatAddedTheLearner(t *testing.T) {
	c := newCluster(t, 3)
	l := c.leader()
	c.propose(l, "a")
	c.changeMembership(l, raftpb.MembershipChangeType_MEMBERSHIP_ADD_LEARNER, 4)
	l.node.progress[4].match = l.node.promotionIndex // as if a snapshot taken at the last heartbeat had arrived
	err := l.node.ProposeMembership(&raftpb.MembershipChange{
		Type: raftpb.MembershipChangeType_MEMBERSHIP_PROMOTE, Member: memberOf(4),
	})
	var behind *NotCaughtUpError
	if !errors.As(err, &behind) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a membership change before the leader knows which earlier membership changes are committed.
func TestMembershipChangeNeedsCommitInTerm(t *testing.T) {
	c := newCluster(t, 2)
	l := c.leader()
	c.propose(l, "a")
	l.node.term++ // as if newly elected: nothing of this term is committed
	err := l.node.ProposeMembership(&raftpb.MembershipChange{Member: memberOf(9)})
	var early *NoCommitInTermError
	if !errors.As(err, &early) {
		t.Fatalf("got %v", err)
	}
}

// Guards against half of an even number of replicas being counted as a majority.
func TestHalfOfVotersIsNoQuorum(t *testing.T) {
	for _, size := range []int{2, 4} {
		c := newCluster(t, size)
		l := c.leader()
		before := l.node.log.committed
		var others []uint64
		for _, id := range c.ids() {
			if id != l.id && len(others) < size/2 {
				others = append(others, id)
			}
		}
		c.isolate(others...)
		c.propose(l, "a")
		if l.node.log.committed != before {
			t.Errorf("%d of %d replicas committed", size-size/2, size)
		}
	}
}

// Guards against a leader that counts its own entry as synced before Advance has confirmed the sync.
func TestLeaderCountsOnlyWhatItHasSynced(t *testing.T) {
	c := newCluster(t, 1)
	l := c.leader().node
	before := l.log.committed
	if err := l.Propose([]byte("a")); err != nil {
		t.Fatal(err)
	}
	r := l.Ready()
	if err := l.Propose([]byte("b")); err != nil {
		t.Fatal(err)
	}
	if err := r.Save(c.hosts[1].storage); err != nil {
		t.Fatal(err)
	}
	l.Advance(r)
	if l.log.committed != before+1 {
		t.Fatalf("committed %d, synced %d", l.log.committed, before+1)
	}
}

// Measures the time from a proposal to its commit on three replicas in memory, one proposal at a time.
func BenchmarkProposeToCommit(b *testing.B) {
	c := newCluster(b, 3)
	l := c.leader()
	for b.Loop() {
		if err := l.node.Propose([]byte("0123456789abcdef")); err != nil {
			b.Fatal(err)
		}
		c.deliverAll()
		for _, h := range c.hosts {
			h.applied = nil
		}
	}
}

// Guards against a count of voters that includes an uncommitted membership change, which can be lost with the leader: the
// group would appear to tolerate a failure that it does not tolerate yet.
func TestStatusReportsCommittedMembership(t *testing.T) {
	members := []*raftpb.Member{{Id: 1, Name: "a"}, {Id: 2, Name: "b"}}
	storage := NewMemoryStorage(BootstrapSnapshot(members, nil))
	n, err := New(Config{ID: 1, Group: 1, ElectionTicks: 8, HeartbeatTicks: 2, Storage: storage, Rand: func(int) int { return 0 }})
	if err != nil {
		t.Fatal(err)
	}
	n.term = 2
	n.becomeLeader()
	n.log.commitTo(n.log.lastIndex())
	change := &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_ADD_LEARNER, Member: &raftpb.Member{Id: 3, Name: "c"}}
	if err := n.ProposeMembership(change); err != nil {
		t.Fatal(err)
	}
	if s := n.Status(); len(s.Membership.Members) != 3 || len(s.CommittedMembership.GetMembers()) != 2 {
		t.Errorf("%d members in effect, %d committed; want 3 and 2", len(s.Membership.Members), len(s.CommittedMembership.GetMembers()))
	}
	n.log.commitTo(n.log.lastIndex())
	if s := n.Status(); len(s.CommittedMembership.GetMembers()) != 3 {
		t.Errorf("%d members committed; want 3", len(s.CommittedMembership.GetMembers()))
	}
}
