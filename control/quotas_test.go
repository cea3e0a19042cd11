package control

import (
	"slices"
	"testing"
	"time"

	"heatherwall.example/quota"
	"heatherwall.example/raft"
)

// contactStatus is the status of leader 1 of four voters and a learner, of which replica 3 has been silent.
func contactStatus(silentTicks uint64) raft.Status {
	return raft.Status{ID: 1, Replicas: []raft.ReplicaStatus{
		{ID: 1}, {ID: 2, TicksSinceLastMessage: 1, TicksSinceLastRead: 3},
		{ID: 3, TicksSinceLastMessage: silentTicks, TicksSinceLastRead: silentTicks + 5}, {ID: 4}, {ID: 5, Learner: true},
	}}
}

// Guards against an owner that loses its slots because it has become the leader, and leaves their workspaces without tokens.
func TestNewLeaderKeepsItsSlots(t *testing.T) {
	first, _ := quota.Owners{}.Reassign(nil, []uint64{1, 2, 3, 4})
	owners := quota.Owners{}.Assign(1, quota.Assignment{Owners: first})
	live, _ := replicasInContact(contactStatus(0))
	if _, changed := owners.Reassign(live, quotaCandidates(live, 1)); changed {
		t.Error("slots moved although all owners are in contact")
	}
	live, silent := replicasInContact(contactStatus(quotaOwnerLostAfterTicks))
	next, changed := owners.Reassign(live, quotaCandidates(live, 1))
	if !changed {
		t.Error("the slots of a lost owner stay")
	}
	for i, id := range next {
		if was := first[i]; was != 3 && id != was || was == 3 && id != 2 && id != 4 {
			t.Errorf("slot %d of replica %d goes to %d", i, was, id)
		}
	}
	if want := (quotaOwnerLostAfterTicks - 1) * tickInterval; silent[3] != want {
		t.Errorf("silent for %s; want %s", silent[3], want)
	}
}

// Guards against a wait that is cut short for a replica whose read requests still arrive, although nothing reaches it.
func TestReadRequestsCountAsContact(t *testing.T) {
	st := contactStatus(50)
	st.Replicas[2].TicksSinceLastRead = 2
	if _, silent := replicasInContact(st); silent[3] != time.Duration(1)*tickInterval {
		t.Errorf("silent for %s; want one tick", silent[3])
	}
}

// Guards against slots at a leader whose loss would then stop them too, and against none at all in a small group.
func TestFollowersOwnSlots(t *testing.T) {
	if got := quotaCandidates([]uint64{1, 2}, 1); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("candidates %v of two replicas; want both", got)
	}
	if got := quotaCandidates([]uint64{1, 2, 3}, 1); !slices.Equal(got, []uint64{2, 3}) {
		t.Errorf("candidates %v of three replicas; want the followers", got)
	}
}
