package raft

import "testing"

// Guards against a leader that was paused while a new leader was elected, and then still confirms a read index from outdated
// responses.
func TestStaleLeaderConfirmsNoRead(t *testing.T) {
	c := newCluster(t, 3)
	old := c.leader()
	c.propose(old, "a")
	pausedNode := old.node
	old.node = nil
	c.propose(c.leader(), "b")
	c.isolate(old.id)
	old.node = pausedNode
	if err := old.node.ReadIndex(7); err != nil {
		t.Fatal(err)
	}
	c.processReady(old)
	c.tick(1)
	if len(old.reads) != 0 {
		t.Fatalf("read confirmed without a quorum: %v", old.reads)
	}
	c.isolate()
	c.tick(2 * testElectionTicks)
	if len(old.reads) != 0 {
		t.Fatalf("read of the old term confirmed: %v", old.reads)
	}
}

// Guards against read requests that followers do not forward, and against a read index below the commit index.
func TestReadIndexFromEveryReplica(t *testing.T) {
	c := newCluster(t, 3)
	l := c.leader()
	c.propose(l, "a")
	for _, id := range c.ids() {
		h := c.hosts[id]
		if err := h.node.ReadIndex(id); err != nil {
			t.Fatal(err)
		}
		c.deliverAll()
		if len(h.reads) != 1 || h.reads[0].ID != id || h.reads[0].Index != l.node.log.committed {
			t.Errorf("replica %d: reads %v", id, h.reads)
		}
	}
}

// Guards against a leader that does not step down after it has lost contact with a quorum.
func TestLeaderWithoutQuorumStepsDown(t *testing.T) {
	c := newCluster(t, 3)
	l := c.leader()
	c.isolate(l.id)
	c.tick(testElectionTicks + 1)
	if l.node.Status().Role == Leader || l.node.Status().HasActiveLeader {
		t.Fatalf("status %+v", l.node.Status())
	}
}
