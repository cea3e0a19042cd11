package control

import (
	"testing"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
)

// Guards against a group that accumulates lost voters, and against one that removes replicas which only restart.
func TestVoterToReplace(t *testing.T) {
	members := &raftpb.Membership{Members: []*raftpb.Member{{Id: 1}, {Id: 2}, {Id: 3}, {Id: 4, Learner: true}}}
	status := func(second, third, learner uint64) raft.Status {
		return raft.Status{Membership: members, Replicas: []raft.ReplicaStatus{
			{ID: 1}, {ID: 2, TicksSinceLastMessage: second}, {ID: 3, TicksSinceLastMessage: third}, {ID: 4, Learner: true, TicksSinceLastMessage: learner},
		}}
	}
	for _, c := range []struct {
		status raft.Status
		lost   uint64
	}{
		{status(0, 0, 0), 0},
		{status(replaceVoterAfterTicks, 10, 500), 0},
		{status(replaceVoterAfterTicks+1, 0, 0), 2},
		{status(100, 200, 500), 3},
	} {
		if got := voterToReplace(c.status).GetId(); got != c.lost {
			t.Errorf("%+v: voter to replace %d; want %d", c.status.Replicas, got, c.lost)
		}
	}
}
