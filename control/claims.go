package control

import (
	"context"
	"strings"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/controlstate"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// maxKeyTimeAhead is how far the time in a key may be ahead of this replica's clock.
	maxKeyTimeAhead = 10 * time.Minute
	// claimRetention is how long claims are kept; older keys are refused.
	claimRetention = time.Hour
	// floorInterval is the time between two entries that raise the retention floor.
	floorInterval = 10 * time.Second
	// claimTimeout bounds the decision on one claim or completion.
	claimTimeout = 2 * time.Second
	// maxCommandsPerEntry bounds the commands of one log entry.
	maxCommandsPerEntry = 1024
)

// claimServer claims idempotency keys for gateways in the claim group of this replica's region.
type claimServer struct {
	controlpb.UnimplementedClaimsServer
	r *replica
}

// claimBatch collects the commands that arrive while the log syncs; they are proposed as one entry. Only the loop uses
// it.
type claimBatch struct {
	group    *group
	commands []*pendingClaimCommand
}

// checkHolder refuses holders that do not start with the gateway's own name, so that no instance can complete or repeat
// the claim of another one.
func checkHolder(ctx context.Context, holder string) error {
	name := api.PeerName(ctx)
	if name != "" && strings.HasPrefix(holder, name+"/") {
		return nil
	}
	err := &IdentityError{Certificate: name, Expected: "holder " + holder}
	return status.Error(codes.PermissionDenied, err.Error())
}

// Claim claims an idempotency key. CLAIM_NOT_LEADER with an address redirects the gateway to the leader. After an error
// the outcome is unknown, and the same holder may claim again.
func (s *claimServer) Claim(ctx context.Context, r *controlpb.ClaimRequest) (*controlpb.ClaimAnswer, error) {
	if err := checkHolder(ctx, r.Holder); err != nil {
		return nil, err
	}
	answer, err := s.claimKey(ctx, r)
	s.r.counters.countClaim(answer, err)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return answer, nil
}

func (s *claimServer) claimKey(ctx context.Context, r *controlpb.ClaimRequest) (*controlpb.ClaimAnswer, error) {
	if r.KeyTimeMs > uint64(time.Now().Add(maxKeyTimeAhead).UnixMilli()) {
		return &controlpb.ClaimAnswer{Result: controlpb.ClaimResult_CLAIM_KEY_INVALID}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	return runInLoop(ctx, s.r.loop, func(finish func(*controlpb.ClaimAnswer, error)) {
		s.r.queueClaimCommand(r.Region, controlstate.NewClaimCommand(r), func(result controlstate.CommandResult, leader string, err error) {
			if leader != "" || isNotLeaderError(err) {
				finish(&controlpb.ClaimAnswer{Result: controlpb.ClaimResult_CLAIM_NOT_LEADER, LeaderAddress: leader}, nil)
				return
			}
			finish(&controlpb.ClaimAnswer{Result: result.Claim, Kept: result.Kept}, err)
		})
	})
}

// Complete records the outcome of a claimed request; only the holder of the claim may call it.
func (s *claimServer) Complete(ctx context.Context, r *controlpb.CompleteRequest) (*controlpb.CompleteAnswer, error) {
	if err := checkHolder(ctx, r.Holder); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	answer, err := runInLoop(ctx, s.r.loop, func(finish func(*controlpb.CompleteAnswer, error)) {
		s.r.queueClaimCommand(r.Region, controlstate.NewCompleteCommand(r), func(result controlstate.CommandResult, leader string, err error) {
			if leader != "" || isNotLeaderError(err) {
				finish(&controlpb.CompleteAnswer{LeaderAddress: leader}, nil)
				return
			}
			finish(&controlpb.CompleteAnswer{Accepted: result.Accepted}, err)
		})
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return answer, nil
}

// queueClaimCommand adds a command to the batch of its region. On a follower, done receives the leader's address
// instead.
func (r *replica) queueClaimCommand(region string, command *statepb.ClaimsCommand, done claimCallback) {
	g := r.loop.claimGroup(region)
	if g == nil {
		done(controlstate.CommandResult{}, "", &NoGroupError{Region: region})
		return
	}
	if !g.isLeader {
		if leader := g.leaderAddress(); leader != "" {
			done(controlstate.CommandResult{}, leader, nil)
			return
		}
		done(controlstate.CommandResult{}, "", &StaleError{Group: g.id})
		return
	}
	b, ok := r.batches[g.id]
	if !ok {
		b = &claimBatch{group: g}
		r.batches[g.id] = b
	}
	b.commands = append(b.commands, &pendingClaimCommand{command: command, done: done})
	if len(b.commands) >= maxCommandsPerEntry {
		b.flush()
	}
}

func (l *loop) claimGroup(region string) *group {
	for _, g := range l.groups {
		if g.region != "" && g.region == region {
			return g
		}
	}
	return nil
}
