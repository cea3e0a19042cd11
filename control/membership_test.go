package control

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
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
		{status(demoteVoterAfterTicks, 10, 500), 0},
		{status(demoteVoterAfterTicks+1, 0, 0), 2},
		{status(100, 200, 500), 3},
	} {
		if got := voterToReplace(c.status).GetId(); got != c.lost {
			t.Errorf("%+v: voter to replace %d; want %d", c.status.Replicas, got, c.lost)
		}
	}
}

const (
	// catchUpTicks is the time after its start at which a replica that replaces a lost one must be a full member.
	catchUpTicks = 40
	// joinTicks is the time between two join requests.
	joinTicks = 5
)

// memberNetwork is a network whose replicas maintain their membership and may be lost for good and replaced.
type memberNetwork struct {
	*network
	t      *testing.T
	nextID uint64
}

func newMemberNetwork(t *testing.T, size uint64) *memberNetwork {
	random := rand.New(rand.NewSource(1))
	n := &memberNetwork{network: newNetworkOf(t, size, func(_ uint64, limit int) int { return random.Intn(limit) }), t: t, nextID: size}
	for _, l := range n.loops {
		n.maintain(l)
	}
	return n
}

func (n *memberNetwork) maintain(l *loop) {
	g := l.groups[configurationGroup]
	l.tickHooks = append(l.tickHooks, func(time.Time) { l.maintainMembership(g) })
}

// run lets the connected replicas tick. Those that are not members ask the leader to add them.
func (n *memberNetwork) run(ticks int) {
	n.t.Helper()
	for i := range ticks {
		n.tick(n.t, n.connected()...)
		if i%joinTicks > 0 {
			continue
		}
		for _, id := range n.connected() {
			if leader := n.leader(); leader != nil && findMember(n.group(id).node.Status().Membership, id) == nil {
				leader.handleJoin(&controlpb.JoinRequest{Group: configurationGroup, ClusterId: 1, Member: networkMember(id)})
			}
		}
	}
}

func (n *memberNetwork) connected() []uint64 {
	return slices.DeleteFunc(n.ids(), func(id uint64) bool { return n.disconnected[id] })
}

// leader returns the connected replica that leads in the highest term; nil if there is none.
func (n *memberNetwork) leader() *loop {
	var leader *loop
	var term uint64
	for _, id := range n.connected() {
		if st := n.group(id).node.Status(); st.Role == raft.Leader && st.Term > term {
			leader, term = n.loops[id], st.Term
		}
	}
	return leader
}

func (n *memberNetwork) start() {
	n.t.Helper()
	n.nextID++
	m := networkMember(n.nextID)
	n.addReplica(n.t, m, nil)
	n.maintain(n.loops[m.Id])
}

// lose disconnects a replica for good: the leader, or the connected other replica with the lowest ID.
func (n *memberNetwork) lose(leading bool) {
	n.t.Helper()
	lost := n.connected()[0]
	if leader := n.leader(); leader != nil && leading {
		lost = leader.self.Id
	} else if leader != nil {
		lost = slices.DeleteFunc(n.connected(), func(id uint64) bool { return id == leader.self.Id })[0]
	} else if leading {
		n.t.Fatal("no replica leads")
	}
	n.disconnected[lost] = true
}

// requireVoters checks that the voters are exactly the connected replicas.
func (n *memberNetwork) requireVoters() {
	n.t.Helper()
	leader := n.leader()
	if leader == nil {
		n.t.Fatal("no replica leads")
	}
	var voters []uint64
	for _, m := range leader.groups[configurationGroup].node.Status().CommittedMembership.GetMembers() {
		if !m.Learner {
			voters = append(voters, m.Id)
		}
	}
	if !slices.Equal(voters, n.connected()) {
		n.t.Fatalf("voters %v, connected replicas %v", voters, n.connected())
	}
}

// requireCommit checks that the connected replicas commit an entry.
func (n *memberNetwork) requireCommit() {
	n.t.Helper()
	n.run(4 * electionTicks)
	leader := n.leader()
	if leader == nil {
		n.t.Fatal("no replica leads")
	}
	committed := false
	leader.groups[configurationGroup].propose([]byte("x"), func(_ any, err error) { committed = err == nil })
	n.run(electionTicks)
	if !committed {
		n.t.Fatal("no entry is committed")
	}
}

// Guards against lost replicas that remain voters beside those that replaced them, until the group has no quorum.
func TestReplacedReplicasLeaveTheQuorum(t *testing.T) {
	replacements := map[string]func(n *memberNetwork){
		"leader lost first": func(n *memberNetwork) {
			n.lose(true)
			n.run(10)
			n.start()
		},
		"follower lost first": func(n *memberNetwork) {
			n.lose(false)
			n.run(20)
			n.start()
		},
		"follower lost long before": func(n *memberNetwork) {
			n.lose(false)
			n.run(100)
			n.start()
		},
		"successor started first": func(n *memberNetwork) {
			n.start()
			n.run(catchUpTicks)
			n.lose(true)
		},
	}
	for name, replace := range replacements {
		for _, size := range []uint64{3, 5} {
			t.Run(fmt.Sprintf("%s, %d replicas", name, size), func(t *testing.T) {
				n := newMemberNetwork(t, size)
				n.run(20)
				for range 6 {
					replace(n)
					n.run(catchUpTicks)
					n.requireVoters()
				}
				n.lose(true)
				if size == 5 {
					n.lose(false) // a region with two replicas
				}
				n.requireCommit()
			})
		}
	}
}

// Guards against a demotion that costs a replica its vote for longer than its absence, or that leaves too few disks.
func TestSilentVotersReturn(t *testing.T) {
	n := newMemberNetwork(t, 5)
	n.run(20)
	n.disconnected[4], n.disconnected[5] = true, true
	n.run(2 * demoteVoterAfterTicks)
	n.requireVoters()
	n.disconnected[3] = true
	n.run(2 * demoteVoterAfterTicks)
	if voters := n.leader().groups[configurationGroup].voterCount(); voters != defaultMinVoters {
		t.Fatalf("%d voters are left, want %d", voters, defaultMinVoters)
	}
	clear(n.disconnected)
	n.run(10)
	n.requireVoters()
}

// Guards against a group that becomes so small, while voters are silent or one of them is replaced, that the tolerated number
// of lost disks may hold all copies of an entry, or that the other voters are no majority.
func TestGroupStaysLargeEnoughForLostDisks(t *testing.T) {
	for lostDisks := 1; lostDisks <= 2; lostDisks++ {
		for size := uint64(2*lostDisks + 1); size <= 11; size++ {
			t.Run(fmt.Sprintf("%d replicas, %d lost disks", size, lostDisks), func(t *testing.T) {
				minVoters := minVotersFor(lostDisks)
				n := newMemberNetwork(t, size)
				n.setMinVoters(minVoters)
				n.run(20)
				runChecked := func() {
					for range demoteVoterAfterTicks + 5 {
						n.run(1)
						n.requireLargeEnough(lostDisks)
					}
				}
				for len(n.connected()) >= minVoters {
					n.lose(false)
					runChecked()
				}
				n.start() // replaces the silent voter that could not be demoted
				n.setMinVoters(minVoters)
				runChecked()
				n.requireVoters()
				clear(n.disconnected)
				runChecked()
				n.requireVoters()
			})
		}
	}
}

func (n *memberNetwork) setMinVoters(minVoters int) {
	for _, l := range n.loops {
		l.minVoters = minVoters
	}
}

// requireLargeEnough checks that no replica knows a membership in which the lost disks may hold all copies of an entry that
// a majority has, or after whose loss the other voters are no majority.
func (n *memberNetwork) requireLargeEnough(lostDisks int) {
	n.t.Helper()
	for _, id := range n.connected() {
		members := n.group(id).node.Status().Membership
		if len(members.GetMembers()) == 0 {
			continue // it has not joined yet
		}
		voters := countVoters(members)
		majority := voters/2 + 1
		if majority <= lostDisks || voters-lostDisks < majority {
			n.t.Fatalf("replica %d knows %d voters, too few for %d lost disks", id, voters, lostDisks)
		}
	}
}

// Guards against learners that never return and receive heartbeats for good.
func TestSilentLearnerIsRemoved(t *testing.T) {
	n := newMemberNetwork(t, 5)
	n.run(20)
	n.lose(false)
	n.run(removeLearnerAfterTicks + 2*demoteVoterAfterTicks)
	if members := n.leader().groups[configurationGroup].node.Status().Membership.GetMembers(); len(members) != 4 {
		t.Fatalf("%d members, want 4: %v", len(members), members)
	}
}
