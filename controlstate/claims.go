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
	// bucketMS is the width of a time bucket; claims expire by buckets.
	bucketMS = 60_000
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
	holder  [keyBytes]byte
	timeMS  uint64
	state   claimState
	again   bool
	hasKept bool
}

// Claims is the state machine of the claim group of a region.
type Claims struct {
	limits  ClaimLimits
	applied uint64
	floorMS uint64
	claims  map[claimKey]claim
	// buckets holds the keys of claims by timeMS / bucketMS.
	buckets   map[uint64][]claimKey
	kept      map[claimKey][]byte
	keptBytes int
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
		limits: limits, claims: map[claimKey]claim{}, buckets: map[uint64][]claimKey{}, kept: map[claimKey][]byte{},
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
	if index <= c.applied {
		return BatchResult{Err: &AlreadyAppliedError{Index: index, Applied: c.applied}}
	}
	c.applied = index
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
		return c.claim(command.GetClaim())
	case command.GetComplete() != nil:
		return CommandResult{Accepted: c.complete(command.GetComplete())}
	case command.GetRaiseFloor() != nil:
		c.raiseFloor(command.GetRaiseFloor().GetFloorMs())
	}
	return CommandResult{}
}

// claim grants a key to the first holder, and to another one only after the last holder reported that it did not run.
func (c *Claims) claim(r *controlpb.ClaimRequest) CommandResult {
	if len(r.GetKey()) != keyBytes || len(r.GetFingerprint()) != keyBytes || r.GetHolder() == "" {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_KEY_INVALID}
	}
	if r.GetKeyTimeMs() < c.floorMS {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_KEY_EXPIRED}
	}
	key := claimKey(r.GetKey())
	old, taken := c.claims[key]
	if taken {
		return c.claimTaken(key, old, r)
	}
	if len(c.claims) >= c.limits.MaxClaims {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_FULL}
	}
	c.insert(key, claim{
		fingerprint: [keyBytes]byte(r.GetFingerprint()), holder: holderHash(r.GetHolder()), timeMS: r.GetKeyTimeMs(),
		state: stateInProgress,
	})
	return CommandResult{Claim: controlpb.ClaimResult_CLAIM_GRANTED}
}

func (c *Claims) insert(key claimKey, one claim) {
	c.claims[key] = one
	bucket := one.timeMS / bucketMS
	c.buckets[bucket] = append(c.buckets[bucket], key)
}

func (c *Claims) claimTaken(key claimKey, old claim, r *controlpb.ClaimRequest) CommandResult {
	if old.fingerprint != [keyBytes]byte(r.GetFingerprint()) {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_KEY_REUSED}
	}
	holder := holderHash(r.GetHolder())
	switch old.state {
	case stateRan:
		return c.keptResult(key, old)
	case stateUnknown:
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_OUTCOME_UNKNOWN}
	case stateNotRun:
		return c.claimAgain(key, old, holder)
	}
	if old.holder != holder {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_IN_PROGRESS}
	}
	return CommandResult{Claim: grant(old)}
}

// grant is the result that the present holder got; a repeat of its claim gets the same.
func grant(one claim) controlpb.ClaimResult {
	if one.again {
		return controlpb.ClaimResult_CLAIM_GRANTED_AGAIN
	}
	return controlpb.ClaimResult_CLAIM_GRANTED
}

// claimAgain grants a key that was not run to a new holder. A late repeat of the last holder's claim gets nothing,
// because that holder has ended its attempt.
func (c *Claims) claimAgain(key claimKey, old claim, holder [keyBytes]byte) CommandResult {
	if old.holder == holder {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_IN_PROGRESS}
	}
	old.holder, old.state, old.again = holder, stateInProgress, true
	c.claims[key] = old
	return CommandResult{Claim: grant(old)}
}

func (c *Claims) keptResult(key claimKey, old claim) CommandResult {
	if !old.hasKept {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_ALREADY_RUN}
	}
	kept := &controlpb.KeptAnswer{}
	if err := proto.Unmarshal(c.kept[key], kept); err != nil {
		return CommandResult{Claim: controlpb.ClaimResult_CLAIM_ALREADY_RUN}
	}
	return CommandResult{Claim: controlpb.ClaimResult_CLAIM_KEPT_ANSWER, Kept: kept}
}

// complete records the outcome that the present holder reports. The first outcome is final, but for an unknown one
// that turns out to have run. A repeat of the same outcome counts again.
func (c *Claims) complete(r *controlpb.CompleteRequest) bool {
	if len(r.GetKey()) != keyBytes {
		return false
	}
	key := claimKey(r.GetKey())
	old, taken := c.claims[key]
	if !taken || old.holder != holderHash(r.GetHolder()) {
		return false
	}
	state := stateOf(r.GetOutcome())
	if old.state == state {
		return true
	}
	if old.state != stateInProgress && (old.state != stateUnknown || state != stateRan) {
		return false
	}
	old.state = state
	if state == stateRan {
		old.hasKept = c.keep(key, r.GetKept())
	}
	c.claims[key] = old
	return true
}

func stateOf(outcome controlpb.Outcome) claimState {
	switch outcome {
	case controlpb.Outcome_OUTCOME_RAN:
		return stateRan
	case controlpb.Outcome_OUTCOME_NOT_RUN:
		return stateNotRun
	}
	return stateUnknown
}

// keep stores an answer within the limits.
func (c *Claims) keep(key claimKey, answer *controlpb.KeptAnswer) bool {
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
	c.kept[key] = data
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
		if bucket <= floorMS/bucketMS {
			c.dropBelowFloor(bucket, keys)
		}
	}
}

func (c *Claims) dropBelowFloor(bucket uint64, keys []claimKey) {
	var left []claimKey
	for _, key := range keys {
		if c.claims[key].timeMS >= c.floorMS {
			left = append(left, key)
			continue
		}
		c.keptBytes -= len(c.kept[key])
		delete(c.kept, key)
		delete(c.claims, key)
	}
	if left == nil {
		delete(c.buckets, bucket)
		return
	}
	c.buckets[bucket] = left
}

// holderHash keeps the size of a claim fixed; different holders have different hashes.
func holderHash(holder string) [keyBytes]byte {
	sum := sha256.Sum256([]byte(holder))
	return [keyBytes]byte(sum[:keyBytes])
}

// AppliedIndex returns the index of the last entry.
func (c *Claims) AppliedIndex() uint64 { return c.applied }

// Len returns the number of claims.
func (c *Claims) Len() int { return len(c.claims) }
