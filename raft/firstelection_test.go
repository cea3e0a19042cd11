package raft

import (
	"testing"

	"heatherwall.example/api/raftpb"
)

// Guards against a group that waits for a whole election timeout after all its replicas were restarted together.
func TestFirstElectionComesSoon(t *testing.T) {
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
