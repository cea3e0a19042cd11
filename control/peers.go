package control

import (
	"context"
	"slices"
	"sync"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/telemetry"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// peerServer serves the calls of the other control replicas.
type peerServer struct {
	controlpb.UnimplementedPeersServer
	r *replica
}

// checkReplica returns the name of the calling replica and refuses callers that are not a configured replica. With
// discovery, it accepts every caller with a name.
func (s *peerServer) checkReplica(ctx context.Context) (string, error) {
	name := api.PeerName(ctx)
	if r := s.r; name != "" && r.settings.Discovery != nil {
		return name, nil
	}
	if slices.ContainsFunc(s.r.settings.Peers, hasName(name)) {
		return name, nil
	}
	err := &IdentityError{Certificate: name, Expected: "a configured control replica"}
	s.r.log.Log(eventPeerRefused, telemetry.F("error", err))
	return "", status.Error(codes.PermissionDenied, err.Error())
}

// notOpenStatus is returned to peers while this replica has no identity. That happens when it has lost its data folder
// and the group still sends to its address.
func notOpenStatus() error {
	return status.Error(codes.Unavailable, (&NotOpenError{}).Error())
}

// Exchange receives the raft messages and reports of one replica and acknowledges them.
func (s *peerServer) Exchange(stream grpc.BidiStreamingServer[controlpb.PeerBatch, controlpb.PeerBatchAck]) error {
	if !s.r.opened.Load() {
		return notOpenStatus()
	}
	name, err := s.checkReplica(stream.Context())
	if err != nil {
		return err
	}
	return s.r.runUntilStopped(func() error { return s.receiveBatches(stream, s.r.peerAddress(stream.Context(), name)) })
}

func (s *peerServer) receiveBatches(stream grpc.BidiStreamingServer[controlpb.PeerBatch, controlpb.PeerBatchAck], address string) error {
	ctx, cancel := context.WithCancel(stream.Context())
	acks := newPendingAck()
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { acks.sendAcks(ctx, stream.Send) })
	reports := &reportStream{}
	for first := true; ; first = false {
		batch, err := stream.Recv()
		if err != nil {
			return err
		}
		if err := checkCluster(batch, s.r.loop.clusterID, first); err != nil {
			return status.Error(codes.Unavailable, err.Error())
		}
		if err := s.handleBatch(batch, address, reports); err != nil {
			return status.Error(codes.Unavailable, err.Error())
		}
		acks.add(reports.heldVersion)
	}
}

// checkCluster refuses batches of another cluster. Only the first batch of a stream must contain the cluster ID,
// because a stream ends with the process that opened it.
func checkCluster(batch *controlpb.PeerBatch, cluster uint64, first bool) error {
	if batch.ClusterId == cluster || (batch.ClusterId == 0 && !first) {
		return nil
	}
	return &ClusterMismatchError{Got: batch.ClusterId, Expected: cluster}
}

func (s *peerServer) handleBatch(batch *controlpb.PeerBatch, address string, reports *reportStream) error {
	if batch.Report != nil {
		s.r.directory.applyReport(reports, batch.Report, time.Now())
	}
	if len(batch.Messages) == 0 {
		return nil
	}
	return s.r.loop.submit(func() {
		for _, m := range batch.Messages {
			s.r.loop.step(m, address)
		}
	})
}

// peerAddress returns the address at which the calling replica listens for peers: with discovery the one that the call
// contains, otherwise the configured one.
func (r *replica) peerAddress(ctx context.Context, name string) string {
	if r.settings.Discovery != nil {
		return api.PeerListenerAddress(ctx)
	}
	return r.settings.Peers[slices.IndexFunc(r.settings.Peers, hasName(name))].Address
}

// step passes a message to its group. It records the sender's address, because a joining replica has no membership yet
// and could not send an answer otherwise.
func (l *loop) step(m *raftpb.Message, address string) {
	l.peerAddresses[m.From] = address
	if g, ok := l.groups[m.Group]; ok {
		// The node returns an error for an outdated message; raft requires no answer to it.
		_ = g.node.Step(m)
	}
}

// Probe returns the cluster ID and the groups of this replica; both are empty if it belongs to no cluster.
func (s *peerServer) Probe(ctx context.Context, _ *controlpb.ProbeRequest) (*controlpb.ProbeAnswer, error) {
	if _, err := s.checkReplica(ctx); err != nil {
		return nil, err
	}
	if !s.r.opened.Load() {
		return s.r.answerWithoutCluster()
	}
	groups, err := s.r.groupStatus(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &controlpb.ProbeAnswer{Name: s.r.settings.Name, ClusterId: s.r.loop.clusterID, Groups: groups}, nil
}

// answerWithoutCluster is the answer to a probe while this replica belongs to no cluster.
func (r *replica) answerWithoutCluster() (*controlpb.ProbeAnswer, error) {
	d := r.settings.Discovery
	answer := &controlpb.ProbeAnswer{Name: r.settings.Name, Candidate: r.selfMember(r.candidateID), FirstStart: d != nil && d.FirstStart}
	if r.isJoining.Load() { // read last: an identity may have been created since
		return nil, notOpenStatus()
	}
	return answer, nil
}

// Join proposes the next membership change that adds the calling replica to a group led here. The caller repeats the
// call until it is in the membership.
func (s *peerServer) Join(ctx context.Context, r *controlpb.JoinRequest) (*controlpb.JoinAnswer, error) {
	if !s.r.opened.Load() {
		return nil, notOpenStatus()
	}
	name, err := s.checkReplica(ctx)
	if err != nil {
		return nil, err
	}
	if name != r.Member.GetName() {
		err := &IdentityError{Certificate: name, Expected: r.Member.GetName()}
		return nil, status.Error(codes.PermissionDenied, err.Error())
	}
	changes, err := runInLoop(ctx, s.r.loop, func(finish func(bool, error)) { finish(s.r.loop.joinChangesGroup(r), nil) })
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if changes && !s.r.isCurrentIdentity(ctx, r.Member) {
		s.r.log.Log(eventJoinOutdated, telemetry.F("group", r.Group), telemetry.F("replica", r.Member.GetName()), telemetry.F("id", r.Member.GetId()))
		return nil, status.Error(codes.Unavailable, (&OutdatedJoinError{Name: r.Member.GetName(), ID: r.Member.GetId()}).Error())
	}
	answer, err := runInLoop(ctx, s.r.loop, func(finish func(*controlpb.JoinAnswer, error)) {
		finish(s.r.loop.handleJoin(r), nil)
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return answer, nil
}

// groupStatus returns the status of every group of this replica.
func (r *replica) groupStatus(ctx context.Context) ([]*controlpb.GroupStatus, error) {
	return runInLoop(ctx, r.loop, func(finish func([]*controlpb.GroupStatus, error)) {
		var all []*controlpb.GroupStatus
		for _, g := range r.loop.ordered {
			all = append(all, g.status())
		}
		finish(all, nil)
	})
}

func (g *group) status() *controlpb.GroupStatus {
	st := g.node.Status()
	return &controlpb.GroupStatus{
		Group: g.id, Region: g.region, Id: g.self,
		Leader: st.Leader, LeaderAddress: g.leaderAddress(),
		Term: st.Term, Commit: st.Commit, Applied: g.applied,
		Membership: st.Membership, Current: st.HasActiveLeader,
	}
}
