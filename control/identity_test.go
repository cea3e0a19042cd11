package control

import (
	"crypto/tls"
	"io"
	"path/filepath"
	"testing"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/raft"
	"heatherwall.example/raft/wal"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

func newTestReplica(t *testing.T) *replica {
	t.Helper()
	r := newReplica(&settings.Control{DataFolder: t.TempDir()}, &tls.Config{}, telemetry.NewLogger(io.Discard, telemetry.Error))
	r.loop = newLoop(&raftpb.Member{Id: 7, Name: "c1"}, 1, r.log, r.counters)
	return r
}

// changeLog opens the log of a group, calls change with it and closes it.
func changeLog(t *testing.T, folder string, change func(*wal.Log) error) {
	t.Helper()
	log, err := wal.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	if err := change(log); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a claim group that never starts because its initial voters crashed between creating the folder and
// saving the first snapshot, and against initializing the log of a replica that has already voted or is not an initial
// voter.
func TestClaimGroupIsCreatedOnlyWithEmptyLog(t *testing.T) {
	voters := []*raftpb.Member{{Id: 7, Name: "c1"}, {Id: 8, Name: "c2"}}
	folderOnly := func(r *replica, folder string) { _ = wal.OS{}.MkdirAll(folder) }
	tests := []struct {
		name    string
		voters  []*raftpb.Member
		before  func(r *replica, folder string)
		created bool
	}{
		{"new", voters, func(*replica, string) {}, true},
		{"crash after the folder was made", voters, folderOnly, true},
		{"crash after the log was opened", voters, func(_ *replica, folder string) {
			changeLog(t, folder, func(*wal.Log) error { return nil })
		}, true},
		{"has voted", voters, func(_ *replica, folder string) {
			changeLog(t, folder, func(l *wal.Log) error { return l.Save(&raftpb.HardState{Term: 3, Vote: 8}, nil) })
		}, false},
		{"not an initial voter", voters[1:], folderOnly, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newTestReplica(t)
			folder := r.groupFolder(2)
			tt.before(r, folder)
			for range 2 { // a restart must change nothing
				if err := r.initializeClaimGroup(&statepb.ClaimGroup{Region: "near", Group: 2, Voters: tt.voters}); err != nil {
					t.Fatal(err)
				}
				changeLog(t, folder, func(l *wal.Log) error {
					if last, _ := l.LastIndex(); (last == raft.BootstrapIndex) != tt.created {
						t.Errorf("last index %d, want created %v", last, tt.created)
					}
					return nil
				})
			}
		})
	}
}

// Guards against a cluster that never starts because its bootstrap crashed before the first snapshot was saved.
func TestInterruptedBootstrapIsCompleted(t *testing.T) {
	r := newTestReplica(t)
	saved, err := wal.CreateIdentity(r.settings.DataFolder, r.settings.Name, 9)
	if err != nil {
		t.Fatal(err)
	}
	changeLog(t, r.groupFolder(configurationGroup), func(*wal.Log) error { return nil })
	r.options.Bootstrap = true
	id, err := r.loadOrCreateIdentity(t.Context(), nil)
	if err != nil || id != saved {
		t.Fatalf("identity %+v, %v; want %+v", id, err, saved)
	}
	changeLog(t, filepath.Join(r.settings.DataFolder, "groups", "1"), func(l *wal.Log) error {
		if last, _ := l.LastIndex(); last != raft.BootstrapIndex {
			t.Errorf("last index %d: the group was not created", last)
		}
		return nil
	})
}
