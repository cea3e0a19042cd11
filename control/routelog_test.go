package control

import (
	"testing"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/controlstate"
	"heatherwall.example/raft"
)

func putRoutesEntry(index, version uint64) *raftpb.Entry {
	data := append(make([]byte, proposalHeaderBytes), controlstate.EncodePutRoutesEntry(&controlpb.RouteTable{Version: version})...)
	return &raftpb.Entry{Index: index, Data: data}
}

// Guards against a table that a replica has acknowledged to the leader and does not report, and against one that it reports
// although another entry has taken its place.
func TestRouteLogFollowsTheLog(t *testing.T) {
	applied := uint64(3)
	l := &routeLog{appliedVersion: func() uint64 { return applied }}
	expect := func(step string, want uint64) {
		t.Helper()
		if got := l.newest().GetVersion(); got != want {
			t.Errorf("%s: version %d; want %d", step, got, want)
		}
	}
	l.recordSaved(raft.Ready{Entries: []*raftpb.Entry{putRoutesEntry(9, 4)}})
	if l.newest() != nil {
		t.Error("a version is reported before the membership is known")
	}
	l.recordSaved(raft.Ready{Membership: &raftpb.Membership{Members: []*raftpb.Member{{Id: 1}}}})
	expect("table in the log", 4)
	l.recordSaved(raft.Ready{Entries: []*raftpb.Entry{putRoutesEntry(10, 5), {Index: 11, Data: []byte("short")}}})
	expect("second table", 5)
	l.recordSaved(raft.Ready{Entries: []*raftpb.Entry{{Index: 10, Type: raftpb.EntryType_ENTRY_MEMBERSHIP}}})
	expect("second table replaced", 4)
	applied = 4
	l.recordApplied(9)
	expect("table applied", 4)
	l.recordSaved(raft.Ready{Snapshot: &raftpb.Snapshot{Index: 20}})
	if l.newest() != nil {
		t.Error("a version is reported while a snapshot is being restored")
	}
	applied = 8
	l.recordApplied(20)
	expect("snapshot restored", 8)
}

// Guards against an acknowledged table that a majority of the voters does not report.
func TestMajorityReportsAcknowledgedTable(t *testing.T) {
	n := newNetwork(t)
	logs := map[uint64]*routeLog{}
	for id, l := range n.loops {
		g, m := l.groups[configurationGroup], newConfigurationMachine()
		logs[id] = &routeLog{appliedVersion: func() uint64 { return m.state.RouteTable().GetVersion() }}
		g.machine, g.routes = m, logs[id]
	}
	n.electLeader(t, 1, 1, 2, 3)
	for version := uint64(1); version <= 5; version++ {
		lagging := version%2 + 2
		n.disconnected = map[uint64]bool{lagging: true}
		reporting := 0
		n.group(1).propose(controlstate.EncodePutRoutesEntry(&controlpb.RouteTable{Version: version}), func(any, error) {
			for _, l := range logs {
				if l.newest().GetVersion() >= version {
					reporting++
				}
			}
		})
		n.runUntilIdle(t)
		if reporting < 2 {
			t.Fatalf("version %d was acknowledged while %d of 3 voters reported it", version, reporting)
		}
		n.disconnected = nil
		n.tick(t, 1)
		n.tick(t, 1)
		n.tick(t, 1)
	}
}
