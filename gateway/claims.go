package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// Timing of claims.
const (
	claimTryTimeout    = 500 * time.Millisecond
	claimRetryInterval = 20 * time.Millisecond
	// claimTotalTimeout bounds the time that a request spends on its claim.
	claimTotalTimeout = 2 * time.Second
	completeTimeout   = 5 * time.Second
)

// Outcomes of a claimed request.
const (
	outcomeUnknown = controlpb.Outcome_OUTCOME_UNKNOWN
	outcomeRan     = controlpb.Outcome_OUTCOME_RAN
	outcomeNotRun  = controlpb.Outcome_OUTCOME_NOT_RUN
)

func outcomeOf(maybeRan bool) controlpb.Outcome {
	if maybeRan {
		return outcomeUnknown
	}
	return outcomeNotRun
}

// heldClaim is the claim of one request.
type heldClaim struct {
	region string
	key    []byte // 16 bytes
	timeMs uint64
	holder string
	// kept is set when the request ran before and its answer was kept.
	kept *controlpb.KeptAnswer
}

// newClaim derives the key of the claim group: keys of different members, tenants and services never meet.
func newClaim(c *call, key uuid.UUID) *heldClaim {
	h := sha256.New()
	for _, field := range []string{c.caller.Tenant.Member.Name, c.caller.Tenant.Name, c.rule.Service.Name} {
		writeField(h, field)
	}
	h.Write(key[:])
	return &heldClaim{
		region: c.rule.Service.ClaimRegion,
		key:    h.Sum(nil)[:fingerprintBytes],
		timeMs: binary.BigEndian.Uint64(key[:8]) >> 16,
	}
}

// claimer takes and completes claims.
type claimer interface {
	// Claim asks the claim group of a region; lost tells, when err is set, whether an unanswered request may have
	// reached a leader.
	Claim(ctx context.Context, request *controlpb.ClaimRequest) (answer *controlpb.ClaimAnswer, lost bool, err error)
	Complete(ctx context.Context, request *controlpb.CompleteRequest) error
}

// takeClaim takes the key in the claim group before the first byte is sent to a backend server. Nothing is sent
// without a granted claim.
func (p *requestPath) takeClaim(c *call) *Refusal {
	if c.claim == nil {
		return nil
	}
	held := c.claim
	held.holder = p.holders.next()
	if !c.placement.Home.Contains(held.region) {
		return refuse(ClaimsUnavailable, "the claim region lies outside the home regions of the request")
	}
	ctx, cancel := context.WithTimeout(c.ctx, min(claimTotalTimeout, time.Until(c.deadline)))
	defer cancel()
	answer, lost, err := p.claims.Claim(ctx, &controlpb.ClaimRequest{
		Region: held.region, Key: held.key, Fingerprint: c.fingerprint[:], KeyTimeMs: held.timeMs, Holder: held.holder,
	})
	if err != nil {
		return p.claimFailed(c, lost, err)
	}
	return claimRefusal(held, answer)
}

// claimFailed refuses a request whose claim was not answered. A claim that may have reached the leader is given back in
// the background: this gateway holds it alone and has not sent the request. Until then the key may also belong to an
// earlier request that ran, so ran is unknown.
func (p *requestPath) claimFailed(c *call, lost bool, err error) *Refusal {
	p.log.Log(eventClaimFailed, telemetry.F("region", c.claim.region), telemetry.F("error", err))
	if !lost {
		return refuse(ClaimsUnavailable, "the claim group of the service could not be reached").after(time.Second)
	}
	p.complete(c, outcomeNotRun, nil)
	return refuse(ClaimsUnavailable, "the claim was not answered").withRan(RanUnknown).after(time.Second)
}

// claimRefusal is nil when the request may run, or when a kept answer is to be sent.
func claimRefusal(held *heldClaim, a *controlpb.ClaimAnswer) *Refusal {
	switch a.GetResult() {
	case controlpb.ClaimResult_CLAIM_GRANTED, controlpb.ClaimResult_CLAIM_GRANTED_AGAIN:
		return nil
	case controlpb.ClaimResult_CLAIM_KEPT_ANSWER:
		held.kept = a.GetKept()
		return nil
	case controlpb.ClaimResult_CLAIM_IN_PROGRESS:
		return refuse(KeyInProgress, "a request with this key was accepted and has not ended").after(time.Second)
	case controlpb.ClaimResult_CLAIM_ALREADY_RUN:
		return refuse(AlreadyRun, "a request with this key has run; its answer was not kept")
	case controlpb.ClaimResult_CLAIM_KEY_REUSED:
		return refuse(KeyReused, "the key was used for a different request")
	case controlpb.ClaimResult_CLAIM_KEY_EXPIRED:
		return refuse(KeyExpired, "the key is older than the claims that are kept")
	case controlpb.ClaimResult_CLAIM_KEY_INVALID:
		return refuse(KeyInvalid, "the time in the key lies too far in the future")
	case controlpb.ClaimResult_CLAIM_FULL:
		return refuse(ClaimsUnavailable, "the claim group is full; the key was not taken").after(time.Second)
	case controlpb.ClaimResult_CLAIM_OUTCOME_UNKNOWN:
		return refuse(OutcomeUnknown, "a request with this key was sent; whether it ran is not known")
	}
	return refuse(ClaimsUnavailable, "the claim group gave no usable answer").withRan(RanUnknown)
}

// complete records the outcome of a claimed request in the background. A failure leaves the claim open, which is safe:
// repeats are refused.
func (p *requestPath) complete(c *call, outcome controlpb.Outcome, kept *controlpb.KeptAnswer) {
	if c.claim == nil {
		return
	}
	request := &controlpb.CompleteRequest{Region: c.claim.region, Key: c.claim.key, Holder: c.claim.holder, Outcome: outcome, Kept: kept}
	p.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), completeTimeout)
		defer cancel()
		if err := p.claims.Complete(ctx, request); err != nil {
			p.counters.Total("claim_completions_failed").Inc(1)
			p.log.Log(eventCompleteFailed, telemetry.F("region", request.Region), telemetry.F("error", err))
		}
	})
}

// holderNames makes values that identify attempts to claim: gateway, incarnation and a number.
type holderNames struct {
	prefix string
	last   atomic.Uint64
}

func newHolderNames(gateway string, incarnation uint64) *holderNames {
	return &holderNames{prefix: fmt.Sprintf("%s/%d/", gateway, incarnation)}
}

func (h *holderNames) next() string {
	return fmt.Sprintf("%s%d", h.prefix, h.last.Add(1))
}

// ClaimGroupError reports that the claim group of a region gave no answer.
type ClaimGroupError struct {
	Region string
	Last   error // nil when no leader is known
}

func (e *ClaimGroupError) Error() string {
	if e.Last == nil {
		return fmt.Sprintf("claim group of %s: no leader is known", e.Region)
	}
	return fmt.Sprintf("claim group of %s: %v", e.Region, e.Last)
}

func (e *ClaimGroupError) Unwrap() error { return e.Last }

// NotLeaderError reports a replica that answered without leading the group; it recorded nothing.
type NotLeaderError struct {
	Address string
}

func (e *NotLeaderError) Error() string {
	return "replica " + e.Address + " does not lead the claim group"
}

// NotConnectedError reports that no connection to a replica was open; nothing was sent.
type NotConnectedError struct {
	Address string
}

func (e *NotConnectedError) Error() string { return "no connection to replica " + e.Address }

// claimClient talks to the leaders of claim groups. It keeps one connection for each replica.
type claimClient struct {
	replicas    []settings.Peer
	leaders     func() map[string]string // leader addresses by region, from the lease
	connections *connections

	mu      sync.Mutex
	learned map[string]string // newer than leaders: taken from answers
}

func newClaimClient(replicas []settings.Peer, leaders func() map[string]string, connections *connections) *claimClient {
	return &claimClient{replicas: replicas, leaders: leaders, connections: connections, learned: map[string]string{}}
}

// Claim implements claimer. It retries with the same holder, so a claim granted to a lost answer is granted again.
func (c *claimClient) Claim(ctx context.Context, request *controlpb.ClaimRequest) (*controlpb.ClaimAnswer, bool, error) {
	lost := false
	var answer *controlpb.ClaimAnswer
	err := c.each(ctx, request.Region, func(ctx context.Context, address string, client controlpb.ClaimsClient) (string, error) {
		a, err := client.Claim(ctx, request)
		if err != nil {
			lost = true
			return "", err
		}
		switch a.GetResult() {
		case controlpb.ClaimResult_CLAIM_NOT_LEADER:
			return a.GetLeaderAddress(), &NotLeaderError{Address: address}
		case controlpb.ClaimResult_CLAIM_UNSPECIFIED:
			lost = true
			return a.GetLeaderAddress(), &NotLeaderError{Address: address}
		}
		answer = a
		return "", nil
	})
	return answer, lost, err
}

// Complete implements claimer.
func (c *claimClient) Complete(ctx context.Context, request *controlpb.CompleteRequest) error {
	return c.each(ctx, request.Region, func(ctx context.Context, address string, client controlpb.ClaimsClient) (string, error) {
		a, err := client.Complete(ctx, request)
		if err != nil {
			return "", err
		}
		if !a.GetAccepted() && a.GetLeaderAddress() != "" {
			return a.GetLeaderAddress(), &NotLeaderError{Address: address}
		}
		if !a.GetAccepted() {
			return "", &NotLeaderError{Address: address}
		}
		return "", nil
	})
}

// claimCall asks one replica; leader is the address that its answer names.
type claimCall func(ctx context.Context, address string, client controlpb.ClaimsClient) (leader string, err error)

// each calls replicas, the known leader first, until one succeeds or ctx ends.
func (c *claimClient) each(ctx context.Context, region string, call claimCall) error {
	failed := &ClaimGroupError{Region: region}
	for i := 0; ctx.Err() == nil; i++ {
		address := c.candidate(region, i)
		if address == "" {
			return failed
		}
		leader, err := c.try(ctx, address, call)
		if err == nil {
			c.learn(region, address)
			return nil
		}
		failed.Last = err
		c.learn(region, leader)
		if leader == "" || leader == address {
			sleep(ctx, claimRetryInterval)
		}
	}
	return failed
}

func (c *claimClient) try(ctx context.Context, address string, call claimCall) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTryTimeout)
	defer cancel()
	conn, err := c.connection(address)
	if err != nil {
		return "", err
	}
	if !waitReady(ctx, conn.ClientConn) {
		return "", &NotConnectedError{Address: address}
	}
	leader, err := call(ctx, address, controlpb.NewClaimsClient(conn))
	c.connections.report(conn, err)
	return leader, err
}

// waitReady waits for an open connection, so that a request to an unreachable replica counts as not sent.
func waitReady(ctx context.Context, conn *grpc.ClientConn) bool {
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return true
		}
		if state == connectivity.TransientFailure || state == connectivity.Shutdown {
			conn.ResetConnectBackoff()
			return false
		}
		conn.Connect()
		if !conn.WaitForStateChange(ctx, state) {
			return false
		}
	}
}

// candidate returns the learned leader, then the one from the lease, then the replicas of the region in turn.
func (c *claimClient) candidate(region string, try int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if learned := c.learned[region]; learned != "" {
		return learned
	}
	if leader := c.leaders()[region]; leader != "" && try == 0 {
		return leader
	}
	var local []string
	for _, r := range c.replicas {
		if r.Region == region {
			local = append(local, r.Address)
		}
	}
	if len(local) == 0 {
		return c.leaders()[region]
	}
	return local[try%len(local)]
}

// learn remembers the leader of a region; "" forgets it.
func (c *claimClient) learn(region, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.learned[region] = address
}

func (c *claimClient) connection(address string) (*connection, error) {
	name := ""
	for _, r := range c.replicas {
		if r.Address == address {
			name = r.Name
		}
	}
	return c.connections.get(name, address)
}
