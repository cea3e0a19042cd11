package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/telemetry"
)

// Timeouts of claims.
const (
	// claimTotalTimeout limits the time that a request waits for its claim, including retries.
	claimTotalTimeout    = 2 * time.Second
	claimCompleteTimeout = 5 * time.Second
)

// Outcomes of a claimed request.
const (
	outcomeUnknown = controlpb.Outcome_OUTCOME_UNKNOWN
	outcomeRan     = controlpb.Outcome_OUTCOME_RAN
	outcomeNotRun  = controlpb.Outcome_OUTCOME_NOT_RUN
)

// outcomeAfterRefusal returns the outcome of a claimed request that got no response.
func outcomeAfterRefusal(mayHaveRun bool) controlpb.Outcome {
	if mayHaveRun {
		return outcomeUnknown
	}
	return outcomeNotRun
}

// requestClaim is the claim of one request on its idempotency key.
type requestClaim struct {
	region string
	key    []byte // 16 bytes
	timeMs uint64
	holder string
	// keptAnswer is set if the request ran before and its response was stored.
	keptAnswer *controlpb.KeptAnswer
}

// newClaim derives the key of the claim by hashing, so that keys of different members, tenants and services never
// collide.
func newClaim(c *call, key uuid.UUID) *requestClaim {
	h := sha256.New()
	for _, field := range []string{c.caller.Tenant.Member.Name, c.caller.Tenant.Name, c.rule.Service.Name} {
		writeLengthPrefixed(h, field)
	}
	h.Write(key[:])
	return &requestClaim{
		region: c.rule.Service.ClaimRegion,
		key:    h.Sum(nil)[:fingerprintBytes],
		timeMs: binary.BigEndian.Uint64(key[:8]) >> 16,
	}
}

// claimer claims idempotency keys and completes the claims.
type claimer interface {
	// Claim sends a claim to the claim group of its region. If err is set, lost reports whether the claim may have
	// reached a leader, whose answer was lost.
	Claim(ctx context.Context, request *controlpb.ClaimRequest) (answer *controlpb.ClaimAnswer, lost bool, err error)
	// Complete records the outcome of a claimed request.
	Complete(ctx context.Context, request *controlpb.CompleteRequest) error
}

// takeClaim claims the idempotency key before anything is sent to a backend server. Nothing is sent unless the claim is
// granted.
func (p *requestPath) takeClaim(c *call) *Refusal {
	if c.claim == nil {
		return nil
	}
	claim := c.claim
	claim.holder = p.claimHolders.next()
	if !c.placement.Home.Contains(claim.region) {
		return refuse(ReasonClaimsUnavailable, "the claim region lies outside the home regions of the request")
	}
	ctx, cancel := context.WithTimeout(c.ctx, min(claimTotalTimeout, time.Until(c.deadline)))
	defer cancel()
	answer, lost, err := p.claims.Claim(ctx, &controlpb.ClaimRequest{
		Region: claim.region, Key: claim.key, Fingerprint: c.fingerprint[:], KeyTimeMs: claim.timeMs, Holder: claim.holder,
	})
	if err != nil {
		return p.refuseFailedClaim(c, lost, err)
	}
	return claimRefusal(claim, answer)
}

// refuseFailedClaim refuses a request whose claim got no answer. A claim that may have reached the leader is released
// in the background, which is safe: only this gateway can hold it, and the request has not been sent. The key may also
// belong to an earlier request that ran, so Ran is RanUnknown.
func (p *requestPath) refuseFailedClaim(c *call, lost bool, err error) *Refusal {
	p.log.Log(eventClaimFailed, telemetry.F("region", c.claim.region), telemetry.F("error", err))
	if !lost {
		return refuse(ReasonClaimsUnavailable, "the claim group of the service could not be reached").withRetryAfter(time.Second)
	}
	p.completeClaim(c, outcomeNotRun, nil)
	return refuse(ReasonClaimsUnavailable, "the claim was not answered").withRan(RanUnknown).withRetryAfter(time.Second)
}

// claimRefusal returns nil if the request may run, or if the stored response is to be sent.
func claimRefusal(claim *requestClaim, a *controlpb.ClaimAnswer) *Refusal {
	switch a.GetResult() {
	case controlpb.ClaimResult_CLAIM_GRANTED, controlpb.ClaimResult_CLAIM_GRANTED_AGAIN:
		return nil
	case controlpb.ClaimResult_CLAIM_KEPT_ANSWER:
		claim.keptAnswer = a.GetKept()
		return nil
	case controlpb.ClaimResult_CLAIM_IN_PROGRESS:
		return refuse(ReasonKeyInProgress, "a request with this key was accepted and has not ended").withRetryAfter(time.Second)
	case controlpb.ClaimResult_CLAIM_ALREADY_RUN:
		return refuse(ReasonAlreadyRun, "a request with this key has run; its answer was not kept")
	case controlpb.ClaimResult_CLAIM_KEY_REUSED:
		return refuse(ReasonKeyReused, "the key was used for a different request")
	case controlpb.ClaimResult_CLAIM_KEY_EXPIRED:
		return refuse(ReasonKeyExpired, "the key is older than the claims that are kept")
	case controlpb.ClaimResult_CLAIM_KEY_INVALID:
		return refuse(ReasonKeyInvalid, "the time in the key lies too far in the future")
	case controlpb.ClaimResult_CLAIM_FULL:
		return refuse(ReasonClaimsUnavailable, "the claim group is full; the key was not taken").withRetryAfter(time.Second)
	case controlpb.ClaimResult_CLAIM_OUTCOME_UNKNOWN:
		return refuse(ReasonOutcomeUnknown, "a request with this key was sent; whether it ran is not known")
	}
	return refuse(ReasonClaimsUnavailable, "the claim group gave no usable answer").withRan(RanUnknown)
}

// completeClaim records the outcome of a claimed request in the background. If that fails, the claim stays open, which
// is safe because repeats of the request are refused.
func (p *requestPath) completeClaim(c *call, outcome controlpb.Outcome, kept *controlpb.KeptAnswer) {
	if c.claim == nil {
		return
	}
	request := &controlpb.CompleteRequest{Region: c.claim.region, Key: c.claim.key, Holder: c.claim.holder, Outcome: outcome, Kept: kept}
	p.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), claimCompleteTimeout)
		defer cancel()
		if err := p.claims.Complete(ctx, request); err != nil {
			p.counters.UnlabeledCounter("claim_completions_failed").Inc(1)
			p.log.Log(eventCompleteFailed, telemetry.F("region", request.Region), telemetry.F("error", err))
		}
	})
}

// claimHolderIDs generates identifiers of claim holders: gateway name, incarnation and a sequence number.
type claimHolderIDs struct {
	prefix string
	last   atomic.Uint64
}

func newClaimHolderIDs(gateway string, incarnation uint64) *claimHolderIDs {
	return &claimHolderIDs{prefix: fmt.Sprintf("%s/%d/", gateway, incarnation)}
}

func (h *claimHolderIDs) next() string {
	return fmt.Sprintf("%s%d", h.prefix, h.last.Add(1))
}
