package controlstate

import (
	"bytes"
	"fmt"
	"math/rand"
	"runtime"
	"testing"

	"github.com/anishathalye/porcupine"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
)

const (
	granted      = controlpb.ClaimResult_CLAIM_GRANTED
	grantedAgain = controlpb.ClaimResult_CLAIM_GRANTED_AGAIN
	inProgress   = controlpb.ClaimResult_CLAIM_IN_PROGRESS
)

func bytes16(n int) []byte { return fmt.Appendf(nil, "%016d", n) }

func claimCommand(key, fingerprint int, holder string, timeMS uint64) *statepb.ClaimsCommand {
	return NewClaimCommand(&controlpb.ClaimRequest{
		Key: bytes16(key), Fingerprint: bytes16(fingerprint), Holder: holder, KeyTimeMs: timeMS,
	})
}

// completeCommand returns a completion. It has a kept answer with a body of the given size unless body is negative.
func completeCommand(key int, holder string, outcome controlpb.Outcome, body int) *statepb.ClaimsCommand {
	r := &controlpb.CompleteRequest{Key: bytes16(key), Holder: holder, Outcome: outcome}
	if body >= 0 {
		r.Kept = &controlpb.KeptAnswer{Status: 200, Body: make([]byte, body)}
	}
	return NewCompleteCommand(r)
}

func (c *Claims) applyNext(commands ...*statepb.ClaimsCommand) []CommandResult {
	return c.Apply(c.AppliedIndex()+1, EncodeClaimsEntry(commands)).Results
}

// Checks each result of a claim and of a completion. Each row is a batch of its own, and the state is restored from a
// snapshot after each row.
func TestClaimResults(t *testing.T) {
	const ran, notRun, unknown = controlpb.Outcome_OUTCOME_RAN, controlpb.Outcome_OUTCOME_NOT_RUN, controlpb.Outcome_OUTCOME_UNKNOWN
	rows := []struct {
		name     string
		command  *statepb.ClaimsCommand
		claim    controlpb.ClaimResult
		accepted bool
	}{
		{"first", claimCommand(1, 1, "a", 100), granted, false},
		{"repeat by holder", claimCommand(1, 1, "a", 100), granted, false},
		{"other holder", claimCommand(1, 1, "b", 100), inProgress, false},
		{"other request", claimCommand(1, 2, "b", 100), controlpb.ClaimResult_CLAIM_KEY_REUSED, false},
		{"completion by other", completeCommand(1, "b", ran, 1), 0, false},
		{"not run", completeCommand(1, "a", notRun, -1), 0, true},
		{"not run repeated", completeCommand(1, "a", notRun, -1), 0, true},
		{"late repeat of first claim", claimCommand(1, 1, "a", 100), inProgress, false},
		{"granted again", claimCommand(1, 1, "b", 100), grantedAgain, false},
		{"granted again repeated", claimCommand(1, 1, "b", 100), grantedAgain, false},
		{"late completion of first holder", completeCommand(1, "a", notRun, -1), 0, false},
		{"unknown", completeCommand(1, "b", unknown, -1), 0, true},
		{"after unknown", claimCommand(1, 1, "c", 100), controlpb.ClaimResult_CLAIM_OUTCOME_UNKNOWN, false},
		{"unknown is not undone", completeCommand(1, "b", notRun, -1), 0, false},
		{"unknown turns into ran", completeCommand(1, "b", ran, MaxKeptBodyBytes), 0, true},
		{"kept answer", claimCommand(1, 1, "d", 100), controlpb.ClaimResult_CLAIM_KEPT_ANSWER, false},
		{"ran is not undone", completeCommand(1, "b", notRun, -1), 0, false},
		{"second", claimCommand(2, 1, "a", 200), granted, false},
		{"too large to keep", completeCommand(2, "a", ran, MaxKeptBodyBytes+1), 0, true},
		{"already run", claimCommand(2, 1, "b", 200), controlpb.ClaimResult_CLAIM_ALREADY_RUN, false},
		{"third", claimCommand(3, 1, "a", 300), granted, false},
		{"full", claimCommand(4, 1, "a", 300), controlpb.ClaimResult_CLAIM_FULL, false},
		{"floor", NewRaiseFloorCommand(200), 0, false},
		{"lower floor", NewRaiseFloorCommand(100), 0, false},
		{"expired", claimCommand(1, 1, "a", 100), controlpb.ClaimResult_CLAIM_KEY_EXPIRED, false},
		{"at the floor", claimCommand(2, 1, "b", 200), controlpb.ClaimResult_CLAIM_ALREADY_RUN, false},
		{"granted after expiry of others", claimCommand(4, 1, "a", 300), granted, false},
		{"invalid key", NewClaimCommand(&controlpb.ClaimRequest{Key: []byte{1}}), controlpb.ClaimResult_CLAIM_KEY_INVALID, false},
	}
	limits := ClaimLimits{MaxClaims: 3}
	c := NewClaims(limits)
	for _, row := range rows {
		got := c.applyNext(row.command)[0]
		if got.Claim != row.claim || got.Accepted != row.accepted {
			t.Fatalf("%s: got %v, accepted %v", row.name, got.Claim, got.Accepted)
		}
		if kept := got.Kept != nil; kept != (row.claim == controlpb.ClaimResult_CLAIM_KEPT_ANSWER) {
			t.Fatalf("%s: kept answer is %v", row.name, got.Kept)
		}
		snapshot := c.Snapshot()
		restored, err := RestoreClaims(limits, snapshot)
		if err != nil || !bytes.Equal(snapshot, restored.Snapshot()) || c.keptBytes != restored.keptBytes {
			t.Fatalf("%s: restart changed the state, %v", row.name, err)
		}
		c = restored
	}
}

// Kept answers must stay within their limit, and must free their space when they expire.
func TestKeptAnswersAreBounded(t *testing.T) {
	answer := proto.Size(&controlpb.KeptAnswer{Status: 200, Body: make([]byte, 100)})
	c := NewClaims(ClaimLimits{MaxKeptBytes: answer})
	for key := range 2 {
		c.applyNext(claimCommand(key, 1, "a", uint64(key)), completeCommand(key, "a", controlpb.Outcome_OUTCOME_RAN, 100))
	}
	if got := c.applyNext(claimCommand(1, 1, "b", 1))[0].Claim; got != controlpb.ClaimResult_CLAIM_ALREADY_RUN {
		t.Errorf("second answer: %v", got)
	}
	c.applyNext(NewRaiseFloorCommand(5))
	if c.keptBytes != 0 || c.Len() != 0 || len(c.buckets) != 0 {
		t.Errorf("%d bytes, %d claims, %d buckets left", c.keptBytes, c.Len(), len(c.buckets))
	}
}

// keyModel is the state of one idempotency key: its holder and what is known of its request. It is the sequential
// specification for porcupine.
type keyModel struct {
	holder    string
	state     claimState
	regranted bool
}

// keyInput is a claim or a completion by a holder.
type keyInput struct {
	holder   string
	complete bool
	outcome  controlpb.Outcome
}

func (k keyModel) step(in keyInput, out CommandResult) (bool, keyModel) {
	next := k
	if in.complete {
		want := stateForOutcome(in.outcome)
		allowed := k.state == stateInProgress || k.state == want || k.state == stateUnknown && want == stateRan
		ok := k.holder == in.holder && allowed
		if ok {
			next.state = want
		}
		return out.Accepted == ok, next
	}
	switch out.Claim {
	case granted:
		next = keyModel{holder: in.holder, state: stateInProgress}
		return k.state == 0 || k == next, next
	case grantedAgain:
		next = keyModel{holder: in.holder, state: stateInProgress, regranted: true}
		return k == next || k.state == stateNotRun && k.holder != in.holder, next
	case inProgress:
		held := k.state == stateInProgress && k.holder != in.holder
		return held || k.state == stateNotRun && k.holder == in.holder, k
	case controlpb.ClaimResult_CLAIM_ALREADY_RUN:
		return k.state == stateRan, k
	case controlpb.ClaimResult_CLAIM_OUTCOME_UNKNOWN:
		return k.state == stateUnknown, k
	}
	return false, k
}

var keySpecification = porcupine.Model{
	Init: func() any { return keyModel{} },
	Step: func(state, input, output any) (bool, any) {
		return state.(keyModel).step(input.(keyInput), output.(CommandResult))
	},
}

// Commands on one key that are duplicated, delayed or reordered must produce a linearizable history. A command that is
// applied twice counts as two operations, because its sender may see both results.
func TestClaimsOfOneKeyAreLinearizable(t *testing.T) {
	for seed := range int64(300) {
		random := rand.New(rand.NewSource(seed))
		history := randomHistory(random)
		if !porcupine.CheckOperations(keySpecification, history) {
			t.Fatalf("seed %d: history is not linearizable: %+v", seed, history)
		}
		checkRunsAtMostOnce(t, seed, history)
	}
}

// randomHistory applies batches of concurrent commands in random order, each command once or twice, and restores the
// state from a snapshot after each batch.
func randomHistory(random *rand.Rand) []porcupine.Operation {
	c := NewClaims(ClaimLimits{})
	var history []porcupine.Operation
	now := int64(0)
	for range 12 {
		var batch []keyInput
		for range 1 + random.Intn(3) {
			in := keyInput{holder: string(rune('a' + random.Intn(4))), complete: random.Intn(2) == 0}
			in.outcome = controlpb.Outcome(random.Intn(3))
			batch = append(batch, in)
			if random.Intn(2) == 0 {
				batch = append(batch, in)
			}
		}
		random.Shuffle(len(batch), func(i, j int) { batch[i], batch[j] = batch[j], batch[i] })
		for client, in := range batch {
			out := c.applyNext(in.command())[0]
			history = append(history, porcupine.Operation{ClientId: client, Input: in, Call: now, Output: out, Return: now + 1})
		}
		now += 2
		c, _ = RestoreClaims(ClaimLimits{}, c.Snapshot())
	}
	return history
}

func (in keyInput) command() *statepb.ClaimsCommand {
	if in.complete {
		return completeCommand(1, in.holder, in.outcome, -1)
	}
	return claimCommand(1, 1, in.holder, 1)
}

// checkRunsAtMostOnce checks, without the model, that a request runs at most once: after a holder has reported that it
// ran or that its outcome is unknown, no claim may be granted.
func checkRunsAtMostOnce(t *testing.T, seed int64, history []porcupine.Operation) {
	mayHaveRun := false
	for _, op := range history {
		in, out := op.Input.(keyInput), op.Output.(CommandResult)
		if mayHaveRun && (out.Claim == granted || out.Claim == grantedAgain) {
			t.Fatalf("seed %d: granted to %s although the request may have run: %+v", seed, in.holder, history)
		}
		if in.complete && out.Accepted && in.outcome != controlpb.Outcome_OUTCOME_NOT_RUN {
			mayHaveRun = true
		}
	}
}

// Random commands on several keys, in batches with repeats, raised floors and restarts, must agree with a separate
// keyModel for each key: keys must not influence each other, and keys below the floor must stay expired.
func TestClaimsMatchModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := NewClaims(ClaimLimits{})
		models := map[int]keyModel{}
		floor := 0
		var sent []sentCommand
		send := func(batch ...sentCommand) {
			commands := make([]*statepb.ClaimsCommand, len(batch))
			for i, s := range batch {
				commands[i] = s.command()
			}
			for i, result := range c.applyNext(commands...) {
				s := batch[i]
				if s.key < floor {
					if result.Accepted || !s.in.complete && result.Claim != controlpb.ClaimResult_CLAIM_KEY_EXPIRED {
						rt.Fatalf("key %d below floor %d: %+v", s.key, floor, result)
					}
					continue
				}
				allowed, next := models[s.key].step(s.in, result)
				if !allowed {
					rt.Fatalf("%+v gives %+v in state %+v", s, result, models[s.key])
				}
				models[s.key] = next
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"send": func(rt *rapid.T) {
				s := drawCommand(rt)
				sent = append(sent, s)
				send(s)
			},
			"batch": func(rt *rapid.T) {
				first, second := drawCommand(rt), drawCommand(rt)
				send(first, second, first)
			},
			"repeat": func(rt *rapid.T) {
				if len(sent) > 0 {
					send(sent[rapid.IntRange(0, len(sent)-1).Draw(rt, "which")])
				}
			},
			"raise floor": func(rt *rapid.T) {
				raised := rapid.IntRange(0, 3).Draw(rt, "floor")
				c.applyNext(NewRaiseFloorCommand(uint64(raised) * bucketWidthMS))
				floor = max(floor, raised)
			},
			"restart": func(rt *rapid.T) {
				restored, err := RestoreClaims(ClaimLimits{}, c.Snapshot())
				if err != nil {
					rt.Fatalf("restore: %v", err)
				}
				c = restored
			},
		})
	})
}

// sentCommand is a command on a key whose time is key * bucketWidthMS.
type sentCommand struct {
	key int
	in  keyInput
}

func drawCommand(rt *rapid.T) sentCommand {
	return sentCommand{key: rapid.IntRange(0, 5).Draw(rt, "key"), in: keyInput{
		holder:   rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "holder"),
		complete: rapid.Bool().Draw(rt, "complete"),
		outcome:  controlpb.Outcome(rapid.IntRange(0, 2).Draw(rt, "outcome")),
	}}
}

func (s sentCommand) command() *statepb.ClaimsCommand {
	if s.in.complete {
		return completeCommand(s.key, s.in.holder, s.in.outcome, -1)
	}
	return claimCommand(s.key, 1, s.in.holder, uint64(s.key)*bucketWidthMS)
}

// BenchmarkClaims measures the time of a claim and the heap memory that it occupies.
func BenchmarkClaims(b *testing.B) {
	c := NewClaims(ClaimLimits{})
	before := heapBytes()
	i := 0
	for b.Loop() {
		i++
		c.applyClaim(&controlpb.ClaimRequest{Key: bytes16(i), Fingerprint: bytes16(1), Holder: "gateway-1/7/123456", KeyTimeMs: uint64(i)})
	}
	b.ReportMetric(float64(heapBytes()-before)/float64(c.Len()), "heap-B/claim")
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
