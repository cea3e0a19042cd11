package raft

import (
	"testing"

	"heatherwall.example/api/raftpb"
)

// Guards against a group that waits for a full election timeout after all its replicas have been restarted together.
func TestFirstElectionTimeoutIsShort(t *testing.T) {
	for draw := range 8 {
		members := []*raftpb.Member{{Id: 1, Name: "a"}, {Id: 2, Name: "b"}, {Id: 3, Name: "c"}}
		storage := NewMemoryStorage(BootstrapSnapshot(members, nil))
		n, err := New(Config{ID: 1, Group: 1, ElectionTicks: 8, HeartbeatTicks: 2, Storage: storage, Rand: func(int) int { return draw }})
		if err != nil {
			t.Fatal(err)
		}
		for range firstElectionTicks + draw {
			n.Tick()
		}
		if n.Status().Role != PreCandidate {
			t.Errorf("draw %d: %s after %d ticks; want a pre-candidate", draw, n.Status().Role, firstElectionTicks+draw)
		}
	}
}

// Guards against a follower that keeps the short initial election timeout and starts an election between two heartbeats.
func TestShortElectionTimeoutEndsOnceLeaderIsKnown(t *testing.T) {
	members := []*raftpb.Member{{Id: 1, Name: "a"}, {Id: 2, Name: "b"}, {Id: 3, Name: "c"}}
	storage := NewMemoryStorage(BootstrapSnapshot(members, nil))
	n, err := New(Config{ID: 1, Group: 1, ElectionTicks: 8, HeartbeatTicks: 2, Storage: storage, Rand: func(int) int { return 0 }})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Step(&raftpb.Message{Type: raftpb.MessageType_MESSAGE_HEARTBEAT, Group: 1, From: 2, To: 1, Term: 2}); err != nil {
		t.Fatal(err)
	}
	for range 7 {
		n.Tick()
	}
	if n.Status().Role != Follower {
		t.Error("the follower started an election before the minimum election timeout")
	}
}

// Guards against reads that wait for the next heartbeat right after an election, which delays each burst of reads by a
// heartbeat interval, and against read rounds at every tick in normal operation.
func TestNewLeaderStartsReadRoundEachTick(t *testing.T) {
	members := []*raftpb.Member{{Id: 1, Name: "a"}, {Id: 2, Name: "b"}, {Id: 3, Name: "c"}}
	storage := NewMemoryStorage(BootstrapSnapshot(members, nil))
	n, err := New(Config{ID: 1, Group: 1, ElectionTicks: 8, HeartbeatTicks: 4, Storage: storage, Rand: func(int) int { return 0 },
		BatchReads: true, ReadsWithHeartbeats: true})
	if err != nil {
		t.Fatal(err)
	}
	n.term = 2
	n.becomeLeader()
	n.log.commitTo(n.log.lastIndex())
	rounds := func(ticks int) uint64 {
		before := n.reads.round
		for range ticks {
			n.addRead(readRequest{id: 1, from: 2})
			n.Tick()
			for _, id := range n.otherMembers() {
				n.progress[id].lastMessageTick = n.ticks
			}
		}
		return n.reads.round - before
	}
	if got := rounds(8); got != 8 {
		t.Errorf("%d rounds in the first 8 ticks; want 8", got)
	}
	n.leaderSince -= 100
	if got := rounds(8); got != 2 {
		t.Errorf("%d rounds in 8 later ticks; want 2, one for each heartbeat", got)
	}
}

// Guards against an election that fails and waits for a full election timeout because voters were unreachable when the
// campaign started: after all machines have restarted together, connections open one after another.
func TestCampaignRepeatsUnansweredVoteRequests(t *testing.T) {
	members := []*raftpb.Member{{Id: 1, Name: "a"}, {Id: 2, Name: "b"}, {Id: 3, Name: "c"}, {Id: 4, Name: "d"}, {Id: 5, Name: "e"}}
	storage := NewMemoryStorage(BootstrapSnapshot(members, nil))
	n, err := New(Config{ID: 1, Group: 1, ElectionTicks: 8, HeartbeatTicks: 2, Storage: storage, Rand: func(int) int { return 7 }})
	if err != nil {
		t.Fatal(err)
	}
	for range firstElectionTicks + 7 {
		n.Tick()
	}
	n.messages = nil // no request arrives
	response := &raftpb.Message{Type: raftpb.MessageType_MESSAGE_PRE_VOTE_ANSWER, Group: 1, From: 2, To: 1, Term: n.term + 1}
	if err := n.Step(response); err != nil {
		t.Fatal(err)
	}
	n.Tick()
	asked := map[uint64]bool{}
	for _, m := range n.messages {
		if m.Type != raftpb.MessageType_MESSAGE_PRE_VOTE || m.Term != n.term+1 {
			t.Errorf("sent %s of term %d", m.Type, m.Term)
		}
		asked[m.To] = true
	}
	if len(asked) != 3 || asked[2] {
		t.Errorf("second requests went to %v; want 3, 4 and 5", asked)
	}
}

// Guards against a repeated vote request whose term differs from the one in which the candidate voted for itself, or which
// no longer carries the transfer flag.
func TestRepeatedVoteRequestKeepsTermAndTransfer(t *testing.T) {
	members := []*raftpb.Member{{Id: 1, Name: "a"}, {Id: 2, Name: "b"}, {Id: 3, Name: "c"}}
	storage := NewMemoryStorage(BootstrapSnapshot(members, nil))
	n, err := New(Config{ID: 1, Group: 1, ElectionTicks: 8, HeartbeatTicks: 2, Storage: storage, Rand: func(int) int { return 7 }})
	if err != nil {
		t.Fatal(err)
	}
	n.campaign(false, true)
	n.messages = nil
	n.Tick()
	if len(n.messages) != 2 {
		t.Fatalf("%d messages; want one to each of the two other voters", len(n.messages))
	}
	for _, m := range n.messages {
		if m.Type != raftpb.MessageType_MESSAGE_VOTE || m.Term != n.term || !m.Transfer {
			t.Errorf("repeated %s of term %d with transfer %t; want the same vote request as the first one", m.Type, m.Term, m.Transfer)
		}
	}
}
