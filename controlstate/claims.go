package controlstate

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
)

// Limits of kept answers in bytes.
const (
	MaxKeptBodyBytes   = 4 << 10
	MaxKeptHeaderBytes = 2 << 10
)

// ClaimLimits bounds the state of a claim group. Every replica of a group uses the same limits, because they decide
// results.
type ClaimLimits struct {
	// MaxClaims is the number of claims; further ones get CLAIM_FULL. The default is 2,000,000.
	MaxClaims int
	// MaxKeptBytes limits all kept answers together; further answers are not kept. The default is 64 MiB.
	MaxKeptBytes int
}

// Defaults of ClaimLimits.
const (
	DefaultMaxClaims    = 2_000_000
	DefaultMaxKeptBytes = 64 << 20
)

const (
	keyBytes = 16
	// bucketWidthMS is the width of a time bucket; claims expire by buckets.
	bucketWidthMS = 60_000
)

type claimKey [keyBytes]byte

// claimState is what is known of the request that holds a claim.
type claimState uint8

const (
	stateInProgress claimState = iota + 1
	stateRan
	stateUnknown
	// stateNotRun means that the last holder reported that the request was not run. The next one may claim.
	stateNotRun
)

// claim has no pointers, so that the garbage collector does not scan millions of them.
type claim struct {
	fingerprint [keyBytes]byte
	// holder is the hash of the holder's name.
	holder        [keyBytes]byte
	keyTimeMS     uint64
	state         claimState
	regranted     bool
	hasKeptAnswer bool
}

// Claims is the state machine of the claim group of a region.
type Claims struct {
	limits       ClaimLimits
	appliedIndex uint64
	floorMS      uint64
	claims       map[claimKey]claim
	// buckets holds the keys of claims by keyTimeMS / bucketWidthMS.
	buckets     map[uint64][]claimKey
	keptAnswers map[claimKey][]byte
	keptBytes   int
}

// CommandResult is the result of one command of a batch.
type CommandResult struct {
	// Claim is set for claims; Kept goes with CLAIM_KEPT_ANSWER.
	Claim controlpb.ClaimResult
	Kept  *controlpb.KeptAnswer
	// Accepted is set for completions that count.
	Accepted bool
}

// BatchResult is the result of an entry.
type BatchResult struct {
	// Results has one item for each command, in order.
	Results []CommandResult
	// Err is *EntryError or *AlreadyAppliedError.
	Err error
}

// NewClaims returns the empty state. Limits that are 0 get their defaults.
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

// EncodeClaimsEntry returns the encoded log entry of a batch of commands.
func EncodeClaimsEntry(commands []*statepb.ClaimsCommand) []byte {
	return encode(&statepb.ClaimsEntry{Commands: commands})
}

// NewClaimCommand wraps a claim for a batch.
func NewClaimCommand(r *controlpb.ClaimRequest) *statepb.ClaimsCommand {
	return &statepb.ClaimsCommand{Command: &statepb.ClaimsCommand_Claim{Claim: r}}
}

// NewCompleteCommand wraps a completion for a batch.
func NewCompleteCommand(r *controlpb.CompleteRequest) *statepb.ClaimsCommand {
	return &statepb.ClaimsCommand{Command: &statepb.ClaimsCommand_Complete{Complete: r}}
}

// NewRaiseFloorCommand wraps a raise of the floor for a batch; floorMS is on the scale of the times in keys.
func NewRaiseFloorCommand(floorMS uint64) *statepb.ClaimsCommand {
	raise := &statepb.RaiseFloor{FloorMs: floorMS}
	return &statepb.ClaimsCommand{Command: &statepb.ClaimsCommand_RaiseFloor{RaiseFloor: raise}}
}

// Apply applies the entry at a log index. Indexes rise; an entry at or below the last one has no effect. Empty entries
// have no effect and no results.
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

// claim grants a key to the first holder, and to another one only after the last holder reported that it did not run.
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

// grant is the result that the present holder got; a repeat of its claim gets the same.
func grantResult(record claim) controlpb.ClaimResult {
	if record.regranted {
		return controlpb.ClaimResult_CLAIM_GRANTED_AGAIN
	}
	return controlpb.ClaimResult_CLAIM_GRANTED
}

// regrant grants a key that was not run to a new holder. A late repeat of the last holder's claim gets nothing,
// because that holder has ended its attempt.
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

// complete records the outcome that the present holder reports. The first outcome is final, but for an unknown one
// that turns out to have run. A repeat of the same outcome counts again.
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

// keep stores an answer within the limits.
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

// raiseFloor drops the claims whose keys lie below the floor. The floor never falls.
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

// hashHolder keeps the size of a claim fixed; different holders have different hashes.
func hashHolder(holder string) [keyBytes]byte {
	sum := sha256.Sum256([]byte(holder))
	return [keyBytes]byte(sum[:keyBytes])
}

// AppliedIndex returns the index of the last entry.
func (c *Claims) AppliedIndex() uint64 { return c.appliedIndex }

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.claims) }
