package control

import (
	"context"
	"errors"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/controlstate"
	"heatherwall.example/telemetry"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// changeTimeout bounds how long Apply waits for the decision on a change.
	changeTimeout = 5 * time.Second
	// maxChangeBytes bounds the size of a signed change.
	maxChangeBytes = 4 << 20
	// maxHistoryEntries bounds the entries of one answer to History.
	maxHistoryEntries = 1000
	// inForcePollInterval is the time between two checks of the gateways' reports.
	inForcePollInterval = 50 * time.Millisecond
)

// operatorServer serves the calls of the operators' command line.
type operatorServer struct {
	controlpb.UnimplementedOperatorsServer
	r *replica
}

// Apply decides a signed change. If another replica leads, the answer contains the leader's address. After an error the
// outcome is unknown, and the operator sends the same change with the same ID again.
func (s *operatorServer) Apply(ctx context.Context, r *controlpb.ApplyRequest) (*controlpb.ApplyAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if size := len(r.GetChange().GetChange()); size > maxChangeBytes {
		return nil, status.Error(codes.InvalidArgument, (&ChangeTooLargeError{Bytes: size}).Error())
	}
	answer, err := runInLoop(ctx, s.r.loop, func(finish func(*controlpb.ApplyAnswer, error)) {
		g := s.r.loop.groups[configurationGroup]
		if g == nil || !g.isLeader {
			finish(&controlpb.ApplyAnswer{NotLeader: true, LeaderAddress: g.leaderAddress()}, nil)
			return
		}
		if err := s.r.checkVoters(); err != nil {
			finish(nil, err)
			return
		}
		s.r.proposeChange(g, r.Change, func(outcome *controlpb.ChangeOutcome, err error) {
			finish(&controlpb.ApplyAnswer{Outcome: outcome}, err)
		})
	})
	s.r.counters.countChange(answer, err)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if answer.Outcome != nil {
		s.r.log.Log(eventChangeDecided, telemetry.F("result", answer.Outcome.Result.String()),
			telemetry.F("revision", answer.Outcome.Revision), telemetry.F("operator", api.PeerName(ctx)))
	}
	return answer, nil
}

// linearizableRead runs f in the loop after a quorum has confirmed that the applied configuration is current. Its errors
// are gRPC status errors.
func linearizableRead[T any](ctx context.Context, r *replica, f func() (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	value, err := runInLoop(ctx, r.loop, func(finish func(T, error)) {
		r.confirmConfigurationRead(func(err error) {
			if err != nil {
				var none T
				finish(none, err)
				return
			}
			finish(f())
		})
	})
	return value, readErrorStatus(err)
}

// readErrorStatus converts an error of a read to a gRPC status. OutOfRange means that no retry can succeed; Unavailable
// means that another replica or a later attempt may succeed.
func readErrorStatus(err error) error {
	var notKept *controlstate.RevisionError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notKept):
		return status.Error(codes.OutOfRange, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}

// Get returns the newest document, or that of a revision that is still kept.
func (s *operatorServer) Get(ctx context.Context, r *controlpb.GetRequest) (*controlpb.GetAnswer, error) {
	return linearizableRead(ctx, s.r, func() (*controlpb.GetAnswer, error) { return s.r.configuration.state.BuildGetAnswer(r.Revision) })
}

// History returns the decided changes from a revision onwards.
func (s *operatorServer) History(ctx context.Context, r *controlpb.HistoryRequest) (*controlpb.HistoryAnswer, error) {
	if r.Limit == 0 || r.Limit > maxHistoryEntries {
		r.Limit = maxHistoryEntries
	}
	return linearizableRead(ctx, s.r, func() (*controlpb.HistoryAnswer, error) {
		return &controlpb.HistoryAnswer{Entries: s.r.configuration.state.History(r.FromRevision, r.Limit)}, nil
	})
}

// Status returns the state of this replica and the gateways that it knows. It also answers when the replica's state is
// not current, which the status of the groups then shows.
func (s *operatorServer) Status(ctx context.Context, _ *controlpb.StatusRequest) (*controlpb.StatusAnswer, error) {
	groups, err := s.r.groupStatus(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	answer, err := runInLoop(ctx, s.r.loop, func(finish func(*controlpb.StatusAnswer, error)) {
		finish(s.r.configuration.statusAnswer(), nil)
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	answer.Groups = groups
	answer.ClusterId = s.r.loop.clusterID
	answer.Gateways = s.r.directory.gatewayStatuses(time.Now())
	answer.AnsweredBy = s.r.settings.Name
	return answer, nil
}

// InForce waits until every gateway has the revision or has lost its lease, at most until ctx ends. Only the leader
// decides this, because only it has an upper bound for the time when the revision was committed.
func (s *operatorServer) InForce(ctx context.Context, r *controlpb.InForceRequest) (*controlpb.InForceAnswer, error) {
	for {
		answer, err := runInLoop(ctx, s.r.loop, func(finish func(*controlpb.InForceAnswer, error)) {
			finish(s.r.checkInForce(r.Revision, time.Now()), nil)
		})
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		if answer.InForce || answer.NotLeader {
			return answer, nil
		}
		sleep(ctx, inForcePollInterval)
		if ctx.Err() != nil {
			return answer, nil
		}
	}
}

func (r *replica) checkInForce(revision uint64, now time.Time) *controlpb.InForceAnswer {
	g := r.loop.groups[configurationGroup]
	if g == nil || !g.isLeader {
		return &controlpb.InForceAnswer{NotLeader: true, LeaderAddress: g.leaderAddress()}
	}
	if r.configuration.revision() < revision {
		return &controlpb.InForceAnswer{}
	}
	if applied, ok := r.configuration.appliedAt(revision); ok && now.Sub(applied) > api.ConfigurationLease+api.LeaseMargin {
		return &controlpb.InForceAnswer{InForce: true}
	}
	r.refreshDirectory(now)
	inForce, waitingFor := r.directory.checkInForce(revision, g.memberIDs(), now)
	return &controlpb.InForceAnswer{InForce: inForce, WaitingFor: waitingFor}
}

func (g *group) memberIDs() []uint64 {
	var ids []uint64
	for _, m := range g.node.Status().Membership.GetMembers() {
		ids = append(ids, m.Id)
	}
	return ids
}
