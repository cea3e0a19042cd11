package control

import (
	"context"
	"io"
	"net"
	"testing"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// Guards against a voter that is taken for lost although its process may still act, and against one that is never found
// because its process has come back with an empty data folder.
func TestHasLostData(t *testing.T) {
	const cluster = 9
	voter := &raftpb.Member{Id: 1, Name: "c1"}
	candidate := func(id uint64) *raftpb.Member { return &raftpb.Member{Id: id, Name: "c1"} }
	groups := func(id uint64) []*controlpb.GroupStatus { return []*controlpb.GroupStatus{{Group: 1, Id: id}} }
	for name, c := range map[string]struct {
		answer *controlpb.ProbeAnswer
		want   bool
	}{
		"same identity":                      {&controlpb.ProbeAnswer{Name: "c1", ClusterId: cluster, Groups: groups(1)}, false},
		"another identity":                   {&controlpb.ProbeAnswer{Name: "c1", ClusterId: cluster, Groups: groups(2)}, true},
		"another name":                       {&controlpb.ProbeAnswer{Name: "c2", ClusterId: cluster, Groups: groups(2)}, false},
		"another cluster":                    {&controlpb.ProbeAnswer{Name: "c1", ClusterId: 8, Groups: groups(2)}, false},
		"no groups yet":                      {&controlpb.ProbeAnswer{Name: "c1", ClusterId: cluster}, false},
		"no identity":                        {&controlpb.ProbeAnswer{Name: "c1", Candidate: candidate(2)}, true},
		"about to take the voter's identity": {&controlpb.ProbeAnswer{Name: "c1", Candidate: candidate(1)}, false},
		"build that names no candidate":      {&controlpb.ProbeAnswer{Name: "c1"}, false},
	} {
		if got := hasLostData(voter, cluster, c.answer); got != c.want {
			t.Errorf("%s: lost %t, want %t", name, got, c.want)
		}
	}
}

// probedPeer answers probes as a replica with the identity id of the cluster 9.
type probedPeer struct {
	controlpb.UnimplementedPeersServer
	id uint64
}

func (p *probedPeer) Probe(context.Context, *controlpb.ProbeRequest) (*controlpb.ProbeAnswer, error) {
	return &controlpb.ProbeAnswer{Name: "c1", ClusterId: 9, Groups: []*controlpb.GroupStatus{{Group: configurationGroup, Id: p.id}}}, nil
}

// Guards against a join request that a frozen leader reads late: its sender has lost its data folder since and is a voter
// under another identity, which the request would remove.
func TestOutdatedJoinIsRefused(t *testing.T) {
	const earlier, current = 1, 2
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := api.NewServer(nil, maxMessageBytes)
	controlpb.RegisterPeersServer(server, &probedPeer{id: current})
	go server.Serve(listener)
	t.Cleanup(server.Stop)
	s := &settings.Control{}
	s.Name, s.Peer.Address = "c2", "127.0.0.1:2"
	r := newReplica(s, nil, telemetry.NewLogger(io.Discard, telemetry.Error))
	r.loop = newLoop(&raftpb.Member{Id: 7, Name: "c2"}, 9, r.log, r.counters)
	member := func(id uint64) *raftpb.Member {
		return &raftpb.Member{Id: id, Name: "c1", Address: listener.Addr().String()}
	}
	if r.isCurrentIdentity(t.Context(), member(earlier)) {
		t.Error("the earlier identity of a replica would join")
	}
	if !r.isCurrentIdentity(t.Context(), member(current)) {
		t.Error("the current identity of a replica would not join")
	}
	server.Stop()
	if r.isCurrentIdentity(t.Context(), member(current)) {
		t.Error("a replica that does not answer would join")
	}
}
