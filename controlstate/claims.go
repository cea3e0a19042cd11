package controlstate

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
)

// Limits of a kept answer, which is the stored response that a resend of a completed request gets.
const (
	MaxKeptBodyBytes   = 4 << 10
	MaxKeptHeaderBytes = 2 << 10
)

// ClaimLimits bounds the state of a claim group. Every replica of a group must use the same limits, because the results
// of commands depend on them.
type ClaimLimits struct {
	// MaxClaims limits the number of claims; further ones get CLAIM_FULL. The default is 2,000,000.
	MaxClaims int
	// MaxKeptBytes limits the total size of all kept answers; further answers are not stored. The default is 64 MiB.
	MaxKeptBytes int
}

// Defaults of ClaimLimits.
const (
	DefaultMaxClaims    = 2_000_000
	DefaultMaxKeptBytes = 64 << 20
)

const (
	// keyBytes is the size of a key, of a fingerprint and of the hash of a holder.
	keyBytes = 16
	// bucketWidthMS is the width of a time bucket. Claims are indexed by bucket, so that expiry does not scan all of
	// them.
	bucketWidthMS = 60_000
)

type claimKey [keyBytes]byte

// claimState is the known state of the request of a claim.
type claimState uint8

const (
	stateInProgress claimState = iota + 1
	stateRan
	stateUnknown
	// stateNotRun means that the last holder reported that the request did not run. Another holder may claim the key.
	stateNotRun
)

// claim is the record of one idempotency key. It has no pointers, so that the garbage collector does not scan millions
// of them.
type claim struct {
	fingerprint [keyBytes]byte
	// holder is the hash of the name of the holder; see hashHolder.
	holder        [keyBytes]byte
	keyTimeMS     uint64
	state         claimState
	regranted     bool
	hasKeptAnswer bool
}

// Claims is the state machine of the claim group of a region. It grants each idempotency key to one holder at a time,
// so that a request runs at most once.
type Claims struct {
	limits       ClaimLimits
	appliedIndex uint64
	// floorMS is the lowest key time that is still accepted; claims of older keys have expired.
	floorMS uint64
	claims  map[claimKey]claim
	// buckets indexes the keys of claims by keyTimeMS / bucketWidthMS.
	buckets     map[uint64][]claimKey
	keptAnswers map[claimKey][]byte
	keptBytes   int
}

// CommandResult is the result of one command of a batch.
type CommandResult struct {
	// Claim is set for claims. Kept is set only with CLAIM_KEPT_ANSWER.
	Claim controlpb.ClaimResult
	Kept  *controlpb.KeptAnswer
	// Accepted is true for completions whose outcome was recorded, also when it repeats the recorded one.
	Accepted bool
}

// BatchResult is the result of applying an entry to Claims.
type BatchResult struct {
	// Results has one item for each command, in order.
	Results []CommandResult
	// Err is nil, *EntryError or *AlreadyAppliedError.
	Err error
}

// NewClaims returns the empty state. A limit of 0 means its default.
func NewClaims(limits ClaimLimits) *Claims {
	if limits.MaxClaims == 0 {
		limits.MaxClaims = DefaultMaxClaims
	}
	if limits.MaxKeptBytes == 0 {
		limits.MaxKeptBytes = DefaultMaxKeptBytes
	}
	return &Claims{
		limits: limits, claims: map[claimKey]claim{}, buckets: map[uint64][]claimKey{}, keptAnswers: map[claimKey][]byte{},
	}
}

// EncodeClaimsEntry returns the encoded log entry that applies a batch of commands.
func EncodeClaimsEntry(commands []*statepb.ClaimsCommand) []byte {
	return encode(&statepb.ClaimsEntry{Commands: commands})
}

// NewClaimCommand returns the command of a claim, for a batch.
func NewClaimCommand(r *controlpb.ClaimRequest) *statepb.ClaimsCommand {
	return &statepb.ClaimsCommand{Command: &statepb.ClaimsCommand_Claim{Claim: r}}
}

// NewCompleteCommand returns the command of a completion, for a batch.
func NewCompleteCommand(r *controlpb.CompleteRequest) *statepb.ClaimsCommand {
	return &statepb.ClaimsCommand{Command: &statepb.ClaimsCommand_Complete{Complete: r}}
}

// NewRaiseFloorCommand returns the command that raises the floor, for a batch. Claims of keys whose time is below the
// floor have expired; floorMS is on the same scale as the times in keys.
func NewRaiseFloorCommand(floorMS uint64) *statepb.ClaimsCommand {
	raise := &statepb.RaiseFloor{FloorMs: floorMS}
	return &statepb.ClaimsCommand{Command: &statepb.ClaimsCommand_RaiseFloor{RaiseFloor: raise}}
}

// Apply applies the log entry at an index. Indexes must increase; an entry at or below the last applied index is
// rejected with *AlreadyAppliedError. Empty entries only advance the index and have no results.
func (c *Claims) Apply(index uint64, entry []byte) BatchResult {
	if index <= c.appliedIndex {
		return BatchResult{Err: &AlreadyAppliedError{Index: index, Applied: c.appliedIndex}}
	}
	c.appliedIndex = index
	var e statepb.ClaimsEntry
	if err := proto.Unmarshal(entry, &e); err != nil {
		return BatchResult{Err: &EntryError{Index: index, Cause: err}}
	}
	results := make([]CommandResult, len(e.GetCommands()))
	for i, command := range e.GetCommands() {
		results[i] = c.applyCommand(command)
	}
	return BatchResult{Results: results}
}

func (c *Claims) applyCommand(command *statepb.ClaimsCommand) CommandResult {
	switch {
	case command.GetClaim() != nil:
		return c.applyClaim(command.GetClaim())
	case command.GetComplete() != nil:
		return CommandResult{Accepted: c.applyCompletion(command.GetComplete())}
	case command.GetRaiseFloor() != nil:
		c.raiseFloor(command.GetRaiseFloor().GetFloorMs())
	}
	return CommandResult{}
}

// applyClaim grants a key to the first holder that claims it, and to another holder only after the last one reported
// that the request did not run.
func (c *Claims) applyClaim(r *controlpb.ClaimRequest) CommandResult {
	if len(r.GetKey()) != keyBytes || len(r.GetFingerprint()) != keyBytes || r.GetHolder() == "" {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_KEY_INVALID}
	}
	if r.GetKeyTimeMs() < c.floorMS {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_KEY_EXPIRED}
	}
	key := claimKey(r.GetKey())
	existing, taken := c.claims[key]
	if taken {
		return c.claimExisting(key, existing, r)
	}
	if len(c.claims) >= c.limits.MaxClaims {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_FULL}
	}
	c.insert(key, claim{
		fingerprint: [keyBytes]byte(r.GetFingerprint()), holder: hashHolder(r.GetHolder()), keyTimeMS: r.GetKeyTimeMs(),
		state: stateInProgress,
	})
	return CommandResult{Claim: controlpb.ClaimResult_CLAIM_GRANTED}
}

func (c *Claims) insert(key claimKey, record claim) {
	c.claims[key] = record
	bucket := record.keyTimeMS / bucketWidthMS
	c.buckets[bucket] = append(c.buckets[bucket], key)
}

func (c *Claims) claimExisting(key claimKey, existing claim, r *controlpb.ClaimRequest) CommandResult {
	if existing.fingerprint != [keyBytes]byte(r.GetFingerprint()) {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_KEY_REUSED}
	}
	holder := hashHolder(r.GetHolder())
	switch existing.state {
	case stateRan:
		return c.ranResult(key, existing)
	case stateUnknown:
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_OUTCOME_UNKNOWN}
	case stateNotRun:
		return c.regrant(key, existing, holder)
	}
	if existing.holder != holder {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_IN_PROGRESS}
	}
	return CommandResult{Claim: grantResult(existing)}
}

// grantResult returns the result that the current holder got. A repeat of its claim gets the same result.
func grantResult(record claim) controlpb.ClaimResult {
	if record.regranted {
		return controlpb.ClaimResult_CLAIM_GRANTED_AGAIN
	}
	return controlpb.ClaimResult_CLAIM_GRANTED
}

// regrant grants a key whose request did not run to a new holder. A delayed repeat of the last holder's claim is not
// granted, because that holder has ended its attempt.
func (c *Claims) regrant(key claimKey, existing claim, holder [keyBytes]byte) CommandResult {
	if existing.holder == holder {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_IN_PROGRESS}
	}
	existing.holder, existing.state, existing.regranted = holder, stateInProgress, true
	c.claims[key] = existing
	return CommandResult{Claim: grantResult(existing)}
}

func (c *Claims) ranResult(key claimKey, existing claim) CommandResult {
	if !existing.hasKeptAnswer {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_ALREADY_RUN}
	}
	kept := &controlpb.KeptAnswer{}
	if err := proto.Unmarshal(c.keptAnswers[key], kept); err != nil {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_ALREADY_RUN}
	}
	return CommandResult{Claim: controlpb.ClaimResult_CLAIM_KEPT_ANSWER, Kept: kept}
}

// applyCompletion records the outcome that the current holder reports, and reports whether it was accepted. The first
// outcome is final, except that an unknown one may change to ran. A repeat of the recorded outcome is accepted.
func (c *Claims) applyCompletion(r *controlpb.CompleteRequest) bool {
	if len(r.GetKey()) != keyBytes {
		return false
	}
	key := claimKey(r.GetKey())
	existing, taken := c.claims[key]
	if !taken || existing.holder != hashHolder(r.GetHolder()) {
		return false
	}
	state := stateForOutcome(r.GetOutcome())
	if existing.state == state {
		return true
	}
	if existing.state != stateInProgress && (existing.state != stateUnknown || state != stateRan) {
		return false
	}
	existing.state = state
	if state == stateRan {
		existing.hasKeptAnswer = c.storeAnswer(key, r.GetKept())
	}
	c.claims[key] = existing
	return true
}

func stateForOutcome(outcome controlpb.Outcome) claimState {
	switch outcome {
	case controlpb.Outcome_OUTCOME_RAN:
		return stateRan
	case controlpb.Outcome_OUTCOME_NOT_RUN:
		return stateNotRun
	}
	return stateUnknown
}

// storeAnswer stores an answer if it is within the limits, and reports whether it did.
func (c *Claims) storeAnswer(key claimKey, answer *controlpb.KeptAnswer) bool {
	if answer == nil || len(answer.GetBody()) > MaxKeptBodyBytes {
		return false
	}
	headerBytes := 0
	for _, h := range answer.GetHeaders() {
		headerBytes += len(h.GetName()) + len(h.GetValue())
	}
	data := encode(answer)
	if headerBytes > MaxKeptHeaderBytes || c.keptBytes+len(data) > c.limits.MaxKeptBytes {
		return false
	}
	c.keptAnswers[key] = data
	c.keptBytes += len(data)
	return true
}

// raiseFloor raises the floor and drops the claims whose key time is below it. The floor never decreases.
func (c *Claims) raiseFloor(floorMS uint64) {
	if floorMS <= c.floorMS {
		return
	}
	c.floorMS = floorMS
	for bucket, keys := range c.buckets {
		if bucket <= floorMS/bucketWidthMS {
			c.dropBelowFloor(bucket, keys)
		}
	}
}

func (c *Claims) dropBelowFloor(bucket uint64, keys []claimKey) {
	var left []claimKey
	for _, key := range keys {
		if c.claims[key].keyTimeMS >= c.floorMS {
			left = append(left, key)
			continue
		}
		c.keptBytes -= len(c.keptAnswers[key])
		delete(c.keptAnswers, key)
		delete(c.claims, key)
	}
	if left == nil {
		delete(c.buckets, bucket)
		return
	}
	c.buckets[bucket] = left
}

// hashHolder returns a truncated SHA-256 of a holder's name, so that a claim has a fixed size. Different holders have,
// for all practical purposes, different hashes.
func hashHolder(holder string) [keyBytes]byte {
	sum := sha256.Sum256([]byte(holder))
	return [keyBytes]byte(sum[:keyBytes])
}

// AppliedIndex returns the index of the last applied entry.
func (c *Claims) AppliedIndex() uint64 { return c.appliedIndex }

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.claims) }
