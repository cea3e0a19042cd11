package control

import (
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/raft"
	"heatherwall.example/raft/wal"
)

// Guards against a second cluster beside one that exists, against a bootstrap replica that holds the only copy although other seeds
// answer, and against a cluster that nobody bootstraps.
func TestBootstrapDecisions(t *testing.T) {
	candidate := &controlpb.ProbeAnswer{Candidate: &raftpb.Member{Id: 5}, FirstStart: true}
	wiped := &controlpb.ProbeAnswer{Candidate: &raftpb.Member{Id: 6}}
	older := &controlpb.ProbeAnswer{Name: "c2"}
	member := &controlpb.ProbeAnswer{ClusterId: 9}
	for _, tt := range []struct {
		name       string
		firstStart bool
		waited     time.Duration
		answers    []*controlpb.ProbeAnswer
		want       bootstrapStep
	}{
		{"all are candidates", true, 0, []*controlpb.ProbeAnswer{candidate, candidate}, bootstrapWithCandidates},
		{"one is late", true, bootstrapWait / 2, []*controlpb.ProbeAnswer{candidate, nil}, waitForSeeds},
		{"one is missing", true, bootstrapWait, []*controlpb.ProbeAnswer{candidate, nil}, bootstrapWithCandidates},
		{"one belongs to a cluster", true, bootstrapWait, []*controlpb.ProbeAnswer{candidate, member}, joinCluster},
		{"none answers yet", true, bootstrapAloneAfter / 2, []*controlpb.ProbeAnswer{nil, nil}, waitForSeeds},
		{"none answers", true, bootstrapAloneAfter, []*controlpb.ProbeAnswer{nil, nil}, bootstrapAlone},
		{"older builds", true, bootstrapWait, []*controlpb.ProbeAnswer{older, older}, bootstrapAlone},
		{"the only seed", true, 0, nil, bootstrapAlone},
		{"the bootstrap replica was wiped before it bootstrapped", false, 0, []*controlpb.ProbeAnswer{candidate, candidate}, bootstrapWithCandidates},
		{"the bootstrap replica was wiped, another seed too", false, time.Hour, []*controlpb.ProbeAnswer{candidate, wiped}, waitForSeeds},
		{"the bootstrap replica was wiped, another seed is down", false, time.Hour, []*controlpb.ProbeAnswer{candidate, nil}, waitForSeeds},
		{"the bootstrap replica was wiped later", false, 0, []*controlpb.ProbeAnswer{candidate, member}, joinCluster},
		{"the bootstrap replica was wiped, the only seed", false, time.Hour, nil, waitForSeeds},
	} {
		answers := &seedAnswers{asked: len(tt.answers)}
		for _, a := range tt.answers {
			answers.add(a)
		}
		if got := answers.next(tt.firstStart, tt.waited); got != tt.want {
			t.Errorf("%s: step %d, want %d", tt.name, got, tt.want)
		}
	}
}

// Guards against a replica that lost its data folder and takes the place of its earlier run among the initial voters: the
// ID in the offer must be the one of this run of the process.
func TestBootstrapIsAcceptedByOneRunOfAProcess(t *testing.T) {
	r := newTestReplica(t)
	r.settings.Name = "c1"
	voters := func(id uint64) *controlpb.BootstrapRequest {
		return &controlpb.BootstrapRequest{ClusterId: 9, Voters: []*raftpb.Member{{Id: 1, Name: "c0"}, {Id: id, Name: "c1"}, {Id: 3, Name: "c2"}}}
	}
	if _, accepted, err := r.acceptBootstrap(voters(r.candidateID + 1)); accepted || err != nil {
		t.Fatalf("an offer for another run: accepted %v, %v", accepted, err)
	}
	id, accepted, err := r.acceptBootstrap(voters(r.candidateID))
	if !accepted || err != nil || id.ID != r.candidateID || id.ClusterID != 9 {
		t.Fatalf("identity %+v, accepted %v, %v", id, accepted, err)
	}
	if _, err := r.answerWithoutCluster(); err == nil {
		t.Error("a probe is told that the replica belongs to no cluster")
	}
	changeLog(t, r.groupFolder(configurationGroup), func(l *wal.Log) error {
		s, err := l.Snapshot()
		if err == nil && (s.GetIndex() != raft.BootstrapIndex || len(s.GetMembership().GetMembers()) != 3) {
			t.Errorf("first membership %v", s)
		}
		return err
	})
}
