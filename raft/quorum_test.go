package raft

import (
	"fmt"
	"slices"
	"testing"

	"heatherwall.example/api/raftpb"
)

// lose removes replicas together with their storage. The others do not learn of it.
func (c *cluster) lose(ids ...uint64) {
	for _, id := range ids {
		delete(c.hosts, id)
	}
}

func (c *cluster) markLost(ids ...uint64) {
	for _, h := range c.hosts {
		for _, id := range ids {
			h.node.MarkDataLost(id)
		}
	}
}

// hasLeader reports whether a running replica leads and is in contact with a quorum.
func (c *cluster) hasLeader() bool {
	for _, h := range c.hosts {
		if h.node.role == Leader && h.node.hasQuorum() {
			return true
		}
	}
	return false
}

// Guards against a group that never has a leader again after the loss of half of its voters' disks, and against a group
// that gives up its quorum because voters are merely silent.
func TestOtherHalfOfLostVotersIsQuorum(t *testing.T) {
	for _, size := range []int{2, 4, 6} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			c := newCluster(t, size)
			c.propose(c.leader(), "before")
			c.tick(2 * testHeartbeatTicks)
			var lost []uint64
			for id := range uint64(size / 2) {
				lost = append(lost, id+1)
			}
			c.lose(lost...)
			c.tick(10 * testElectionTicks)
			if c.hasLeader() {
				t.Fatal("half of the voters elected a leader without knowing that the others are lost")
			}
			c.markLost(lost[1:]...)
			c.tick(10 * testElectionTicks)
			if c.hasLeader() {
				t.Fatal("a leader was elected although one voter may return")
			}
			c.markLost(lost...)
			c.tick(10 * testElectionTicks)
			if !c.hasLeader() {
				t.Fatal("the other half elected no leader")
			}
			l := c.leader()
			if l.value != "before" {
				t.Fatalf("the leader has %q", l.value)
			}
			for _, id := range lost {
				c.changeMembership(l, raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, id)
			}
			c.propose(l, "after")
			for _, h := range c.hosts {
				if h.value != "after" {
					t.Errorf("replica %d has %q", h.id, h.value)
				}
			}
		})
	}
}

// Guards against the loss of an acknowledged entry: while a promotion is not committed, the previous voters may have
// committed the entry by a majority that has lost its storage since.
func TestHalfOfUncommittedVotersIsNoQuorum(t *testing.T) {
	c := newCluster(t, 3)
	l := c.leader()
	c.changeMembership(l, raftpb.MembershipChangeType_MEMBERSHIP_ADD_LEARNER, 4)
	c.addReplica(4, nil)
	c.tick(4 * testHeartbeatTicks)
	var others []uint64
	for id := uint64(1); id <= 3; id++ {
		if id != l.id {
			others = append(others, id)
		}
	}
	c.isolate(others...)
	promotion := &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_PROMOTE, Member: memberOf(4)}
	if err := l.node.ProposeMembership(promotion); err != nil {
		t.Fatal(err)
	}
	c.deliverAll()
	if !isVoter(c.hosts[4].node.membership(), 4) {
		t.Fatal("the promotion has not reached the promoted replica")
	}
	c.lose(others...)
	c.markLost(others...)
	c.tick(10 * testElectionTicks)
	if c.hasLeader() {
		t.Fatal("half of voters that are not committed elected a leader")
	}
}

// Guards against a restarted replica that no longer knows that its voters are committed: with half of them lost, the group
// would never have a leader again.
func TestRestartKeepsCommittedVoters(t *testing.T) {
	c := newCluster(t, 5)
	l := c.leader()
	removed := uint64(5)
	if l.id == removed {
		removed = 4
	}
	c.changeMembership(l, raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, removed)
	c.tick(2 * testHeartbeatTicks)
	c.lose(removed)
	lost := c.ids()[:2]
	c.lose(lost...)
	for _, id := range c.ids() {
		c.crash(c.hosts[id])
		c.start(c.hosts[id])
	}
	c.markLost(lost...)
	c.tick(10 * testElectionTicks)
	if !c.hasLeader() {
		t.Fatal("no leader after the restart")
	}
}

// Checks for each size of a group and each number of lost disks that the other voters form a quorum, and that each majority
// that may have committed an entry includes one of them; and that this does not hold for smaller groups, so that a group must
// not become that small.
func TestQuorumAfterLostDisks(t *testing.T) {
	for size := 3; size <= 11; size++ {
		for lost := 1; lost <= 2; lost++ {
			t.Run(fmt.Sprintf("%d voters, %d lost", size, lost), func(t *testing.T) {
				n := newCluster(t, size).hosts[uint64(size)].node
				for id := 1; id <= lost; id++ {
					n.MarkDataLost(uint64(id))
				}
				survives := size >= 2*lost
				if got := n.isQuorum(func(id uint64) bool { return id > uint64(lost) }); got != survives {
					t.Errorf("the other voters form a quorum: %t, want %t", got, survives)
				}
				if got := n.isQuorum(func(id uint64) bool { return id <= uint64(lost) }); got == survives {
					t.Errorf("the lost voters may have committed an entry alone: %t, want %t", got, !survives)
				}
			})
		}
	}
}

// Guards against the loss of an acknowledged entry: a removal that only half of the four previous voters have must not be
// committed. The other half would not know of it, and could go on without it after the loss of the first half.
func TestRemovalFromEvenNumberNeedsBothHalves(t *testing.T) {
	c := newCluster(t, 4)
	l := c.leader()
	c.propose(l, "a")
	others := slices.DeleteFunc(c.ids(), func(id uint64) bool { return id == l.id })
	removed, kept := others[0], others[1]
	c.isolate(removed, kept)
	change := &raftpb.MembershipChange{Type: raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, Member: memberOf(removed)}
	if err := l.node.ProposeMembership(change); err != nil {
		t.Fatal(err)
	}
	index := l.node.log.lastIndex()
	c.deliverAll()
	if l.node.log.committed >= index {
		t.Fatal("two of four voters committed a removal")
	}
	c.isolate(removed)
	c.tick(4 * testElectionTicks)
	if l := c.leader(); l.node.log.committed < index {
		t.Fatal("three of four voters did not commit the removal")
	}
}
