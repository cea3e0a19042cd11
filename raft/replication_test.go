package raft

import (
	"slices"
	"testing"

	"heatherwall.example/api/raftpb"
)

// Guards against entries that are lost or applied in different orders when no faults occur.
func TestReplicatesInOrder(t *testing.T) {
	c := newCluster(t, 3)
	l := c.leader()
	want := []string{"a", "b", "c"}
	for _, data := range want {
		c.propose(l, data)
	}
	c.tick(testHeartbeatTicks)
	for _, id := range c.ids() {
		if got := c.hosts[id].appliedData(); !slices.Equal(got, want) {
			t.Errorf("replica %d applied %v", id, got)
		}
	}
}

// Guards against a replica with a lost disk that cannot be replaced by a new one, and against data loss if the leader fails
// right after the replacement.
func TestLostDiskIsReplacedByNewReplica(t *testing.T) {
	c := newCluster(t, 3)
	l := c.leader()
	c.propose(l, "a")
	lost := l.id%3 + 1
	delete(c.hosts, lost)
	c.addReplica(4, nil)
	c.changeMembership(l, raftpb.MembershipChangeType_MEMBERSHIP_REMOVE, lost)
	c.changeMembership(l, raftpb.MembershipChangeType_MEMBERSHIP_ADD_LEARNER, 4)
	c.tick(testHeartbeatTicks + 1)
	c.changeMembership(l, raftpb.MembershipChangeType_MEMBERSHIP_PROMOTE, 4)
	delete(c.hosts, l.id)
	next := c.leader()
	c.propose(next, "b")
	c.tick(testHeartbeatTicks)
	if got := c.hosts[4].appliedData(); !slices.Equal(got, []string{"a", "b"}) {
		t.Fatalf("new replica applied %v", got)
	}
}

func (c *cluster) changeMembership(l *host, kind raftpb.MembershipChangeType, id uint64) {
	c.t.Helper()
	if err := l.node.ProposeMembership(&raftpb.MembershipChange{Type: kind, Member: memberOf(id)}); err != nil {
		c.t.Fatal(err)
	}
	c.deliverAll()
}
