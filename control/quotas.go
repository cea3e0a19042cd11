package control

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/controlstate"
	"heatherwall.example/quota"
	"heatherwall.example/raft"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

const (
	// quotaConfirmInterval is the time between two confirmed reads of an owner of slots. Several fit into quota.TenureLength.
	quotaConfirmInterval = 300 * time.Millisecond
	// quotaOwnerLostAfterTicks is the time without a message from an owner, in ticks, after which its slots are given to others.
	// The next owner waits for quota.TenureLength anyway.
	quotaOwnerLostAfterTicks = 12
	// minSettleTime and maxSettleTime limit how long the first assignment waits for replicas that join.
	minSettleTime = 3 * time.Second
	maxSettleTime = 10 * time.Second
	// quotaProposeInterval is the time between two proposals of this replica.
	quotaProposeInterval = 300 * time.Millisecond
	// maxTokensPerCall limits the tokens that one call may take.
	maxTokensPerCall = 1 << 16
)

// quotas gives the tokens of the workspaces whose slots this replica owns. Gateways call it from any goroutine; all else runs
// in the loop.
type quotas struct {
	start time.Time

	mu     sync.Mutex
	tenure *quota.Tenure
	ledger *quota.Ledger
	// limits holds the quotas of the route table in use, by workspace.
	limits map[string]quota.Limit
	// table and slots are what tenure and limits were taken from.
	table *controlpb.RouteTable
	slots controlstate.QuotaSlots

	// The fields below belong to the loop. confirmedAt is when the last read was started, and confirming is set while it has no
	// outcome. proposedAt is when the last entry was proposed.
	confirmedAt, proposedAt time.Duration
	confirming              bool
	// ledSince is the last tick at which this replica did not lead.
	ledSince time.Duration
}

func newQuotas(self uint64, s *settings.ControlCatalogue) *quotas {
	q := &quotas{start: time.Now(), tenure: quota.NewTenure(self)}
	if s != nil {
		q.ledger = quota.NewLedger(quotaBounds(s.Quota))
	}
	return q
}

func quotaBounds(s settings.QuotaBounds) quota.Bounds {
	return quota.Bounds{Window: time.Duration(s.WindowSeconds * float64(time.Second)), Overage: s.Overage, Slack: s.Slack}
}

func (q *quotas) now() time.Duration { return time.Since(q.start) }

// follow takes over the route table and the slots that this replica has applied.
func (q *quotas) follow(state *controlstate.Configuration) {
	table, slots := state.RouteTable(), state.QuotaSlots()
	if table == q.table && slots.Changed == q.slots.Changed {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = slots
	q.tenure.Apply(q.now(), slots.Owners)
	if table == q.table {
		return
	}
	q.table, q.limits = table, map[string]quota.Limit{}
	for _, w := range table.GetWorkspaces() {
		if limit := (quota.Limit{Rate: w.GetRate(), Burst: w.GetBurst()}); !limit.IsUnlimited() {
			q.limits[w.GetName()] = limit
		}
	}
	q.ledger.Keep(func(workspace string) bool { _, ok := q.limits[workspace]; return ok })
}

// take answers one call of a gateway.
func (q *quotas) take(r *controlpb.TakeTokensRequest) *controlpb.TakeTokensAnswer {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit, known := q.limits[r.GetWorkspace()]
	if !known {
		return &controlpb.TakeTokensAnswer{Result: controlpb.TakeTokensResult_TAKE_TOKENS_UNKNOWN}
	}
	now := q.now()
	began, ok := q.tenure.Since(now, quota.SlotOf(r.GetWorkspace()))
	if !ok {
		return &controlpb.TakeTokensAnswer{Result: controlpb.TakeTokensResult_TAKE_TOKENS_NOT_OWNER}
	}
	if r.GetTokens() == 0 {
		q.ledger.Return(now, began, r.GetWorkspace(), limit)
		return &controlpb.TakeTokensAnswer{Result: controlpb.TakeTokensResult_TAKE_TOKENS_GIVEN}
	}
	g := q.ledger.Take(now, began, r.GetWorkspace(), limit, int(min(r.GetTokens(), maxTokensPerCall)))
	if g.Tokens == 0 {
		return &controlpb.TakeTokensAnswer{Result: controlpb.TakeTokensResult_TAKE_TOKENS_REFUSED, RetryAfterMs: ceilMilliseconds(g.RetryAfter)}
	}
	return &controlpb.TakeTokensAnswer{Result: controlpb.TakeTokensResult_TAKE_TOKENS_GIVEN, Tokens: uint32(g.Tokens), WaitMs: ceilMilliseconds(g.Wait)}
}

func ceilMilliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}

// quotaServer gives tokens to gateways.
type quotaServer struct {
	controlpb.UnimplementedQuotasServer
	r *replica
}

// Take takes tokens of a workspace, or returns one.
func (s *quotaServer) Take(_ context.Context, r *controlpb.TakeTokensRequest) (*controlpb.TakeTokensAnswer, error) {
	answer := s.r.quotas.take(r)
	s.r.counters.tokenCalls[answer.GetResult()].Inc(1)
	return answer, nil
}

// maintainQuotas runs after each tick: the leader gives slots without a living owner to others, and an owner renews its tenure.
func (r *replica) maintainQuotas() {
	q, g := r.quotas, r.loop.groups[configurationGroup]
	if r.settings.Catalogue == nil {
		return
	}
	now := q.now()
	q.follow(r.configuration.state)
	if !g.isLeader {
		q.ledSince = now
	} else if len(q.limits) > 0 {
		r.assignQuotaSlots(now, g.node.Status())
	}
	if !q.tenure.OwnsAny() {
		return
	}
	if !q.confirming && now-q.confirmedAt >= quotaConfirmInterval {
		r.confirmTenure(now)
	}
	if q.tenure.IsDueToBegin(now) {
		r.beginQuotaSlots()
	}
}

// assignQuotaSlots proposes to give the slots without a living owner to the voters in contact.
func (r *replica) assignQuotaSlots(now time.Duration, st raft.Status) {
	q := r.quotas
	isStarting := now-q.ledSince < minSettleTime || !isSettled(st) && now-q.ledSince < maxSettleTime
	if q.slots.Assigned == 0 && isStarting {
		return // replicas that are about to join would get no slots
	}
	live, silent := replicasInContact(st)
	owners, changed := q.slots.Owners.Reassign(live, quotaCandidates(live, st.ID))
	if !changed {
		return
	}
	waited := quota.TenureLength
	for i, s := range q.slots.Owners {
		if s.Owner != owners[i] && s.Owner != 0 {
			waited = min(waited, silent[s.Owner], now-q.ledSince)
		}
	}
	r.proposeQuotaSlots(quota.Assignment{Owners: owners, Waited: waited}, func(error) {})
}

// isSettled reports whether a group has as many voters as it will have for now: no replica is joining.
func isSettled(st raft.Status) bool {
	return !st.MembershipPending && countVoters(st.Membership) == len(st.Membership.GetMembers())
}

// replicasInContact returns the voters in contact with the leader, itself included, and how long each voter has been silent.
func replicasInContact(st raft.Status) (live []uint64, silent map[uint64]time.Duration) {
	silent = map[uint64]time.Duration{}
	for _, replica := range st.Replicas {
		// A message may have arrived at any time within its tick.
		ticks := max(min(replica.TicksSinceLastMessage, replica.TicksSinceLastRead), 1) - 1
		silent[replica.ID] = time.Duration(ticks) * tickInterval
		if !replica.Learner && replica.TicksSinceLastMessage < quotaOwnerLostAfterTicks {
			live = append(live, replica.ID)
		}
	}
	return live, silent
}

// quotaCandidates returns the replicas that slots may be given to. The leader is left out if there are others: its loss already
// takes an election. It keeps slots that it had before it led.
func quotaCandidates(live []uint64, leader uint64) []uint64 {
	if others := slices.DeleteFunc(slices.Clone(live), func(id uint64) bool { return id == leader }); len(others) > 1 {
		return others
	}
	return live
}

// releaseQuotaSlots gives up the slots of this replica before a planned stop. It calls done once others own them, or without
// an effect if that fails.
func (r *replica) releaseQuotaSlots(done func(error)) {
	q, self := r.quotas, r.loop.self.Id
	q.mu.Lock()
	owns := q.tenure.OwnsAny()
	q.tenure.Stop()
	q.mu.Unlock()
	var others []uint64
	for _, m := range r.loop.groups[configurationGroup].node.Status().Membership.GetMembers() {
		if !m.GetLearner() && m.GetId() != self {
			others = append(others, m.GetId())
		}
	}
	// Replicas that own slots are in contact with the leader; the other voters may be lost.
	owners := slices.DeleteFunc(slices.Clone(others), func(id uint64) bool {
		return !slices.ContainsFunc(q.slots.Owners[:], func(s quota.Slot) bool { return s.Owner == id })
	})
	if len(owners) == 0 {
		owners = others
	}
	next, changed := q.slots.Owners.Reassign(owners, owners)
	if !owns || !changed {
		done(nil)
		return
	}
	r.proposeQuotaSlots(quota.Assignment{Owners: next, Released: self}, done)
}

// mayPropose reports whether an entry may be proposed, and counts it as proposed if so. An entry whose outcome stays unknown is
// proposed again; it has no effect after another one.
func (q *quotas) mayPropose() bool {
	now := q.now()
	if q.proposedAt != 0 && now-q.proposedAt < quotaProposeInterval {
		return false
	}
	q.proposedAt = now
	return true
}

// proposeQuotaSlots proposes an assignment, unless another entry was proposed a moment ago.
func (r *replica) proposeQuotaSlots(a quota.Assignment, done func(error)) {
	q := r.quotas
	if a.Released == 0 && !q.mayPropose() {
		return
	}
	entry := controlstate.EncodeAssignQuotaSlotsEntry(q.slots.Changed, a)
	r.loop.groups[configurationGroup].proposeOrForward(entry, func(result any, err error) {
		err = errors.Join(err, commandError(result))
		r.log.Log(eventQuotaSlotsAssigned, telemetry.F("released", a.Released), telemetry.F("waited", a.Waited), telemetry.ErrorField(err))
		done(err)
	})
}

// beginQuotaSlots proposes that this replica gives tokens from its slots.
func (r *replica) beginQuotaSlots() {
	q := r.quotas
	if !q.mayPropose() {
		return
	}
	entry := controlstate.EncodeBeginQuotaSlotsEntry(q.slots.Assigned, r.loop.self.Id)
	r.loop.groups[configurationGroup].proposeOrForward(entry, func(result any, err error) {
		if err = errors.Join(err, commandError(result)); err == nil {
			q.follow(r.configuration.state)
			q.mu.Lock()
			q.tenure.Begin(q.now())
			q.mu.Unlock()
		}
		r.log.Log(eventQuotaSlotsBegun, telemetry.ErrorField(err))
	})
}

// confirmTenure reads the slots with the confirmation of a quorum.
func (r *replica) confirmTenure(now time.Duration) {
	q := r.quotas
	q.confirming, q.confirmedAt = true, now
	r.confirmConfigurationRead(func(err error) {
		q.confirming = false
		if err != nil {
			return // the tenure ends unless a later read is confirmed
		}
		q.follow(r.configuration.state)
		q.mu.Lock()
		q.tenure.Confirm(now)
		q.mu.Unlock()
	})
}
