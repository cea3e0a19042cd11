package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherwall.example/api/gossippb"
)

// Digest returns the versions up to which this gateway knows each owner's table, in the order of the owners' names.
func (r *Registry) Digest(now time.Duration) []*gossippb.OwnerDigest {
	r.now = max(r.now, now)
	list := []*gossippb.OwnerDigest{{
		Owner: r.self, Incarnation: r.incarnation, Version: r.tableVersion,
	}}
	for name, v := range r.owners {
		list = append(list, &gossippb.OwnerDigest{
			Owner: name, Incarnation: v.incarnation, Version: v.completeUpTo, AgeMs: v.heartbeatAgeMs(r.now),
		})
	}
	slices.SortFunc(list, func(a, b *gossippb.OwnerDigest) int { return cmp.Compare(a.Owner, b.Owner) })
	return list
}

// unknownAgeMs means that the age of a heartbeat is unknown, so that the heartbeat is no evidence.
const unknownAgeMs = math.MaxUint32

// heartbeatAgeMs returns an upper bound of the heartbeat's age, or unknownAgeMs without a heartbeat.
func (v *ownerView) heartbeatAgeMs(now time.Duration) uint32 {
	if !v.hasHeartbeat {
		return unknownAgeMs
	}
	ms := (now - v.heartbeatAt + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, unknownAgeMs))
}

// MissingRecords returns the records that the sender of a digest lacks. This includes records that moved to another owner
// since the version that the sender has of the former owner's table; otherwise the sender would take the old record for
// current.
func (r *Registry) MissingRecords(digest []*gossippb.OwnerDigest) []*gossippb.Server {
	peerDigest := map[string]*gossippb.OwnerDigest{}
	for _, d := range digest {
		peerDigest[d.Owner] = d
	}
	var list []*gossippb.Server
	for _, address := range r.recordAddresses() {
		if rec := r.records[address]; r.isMissing(peerDigest, rec) {
			list = append(list, rec.server)
		}
	}
	return list
}

// isMissing reports whether the sender of a digest lacks a record. Records of an earlier incarnation of their owner do not
// count, because the receiver would take them for records of the current incarnation; their servers announce themselves
// again. Records of servers that left always count, because SERVER_LEFT does not depend on the owner.
func (r *Registry) isMissing(peerDigest map[string]*gossippb.OwnerDigest, rec *record) bool {
	if !rec.hasLeft() && rec.ownerIncarnation != r.incarnationOf(rec.server.Owner) {
		return false
	}
	d := peerDigest[rec.server.Owner]
	if d == nil || d.Incarnation < rec.ownerIncarnation {
		return true
	}
	if d.Incarnation == rec.ownerIncarnation && d.Version < rec.server.OwnerVersion {
		return true
	}
	for _, former := range rec.formerOwners {
		if r.knowsMore(former, peerDigest[former]) {
			return true
		}
	}
	return false
}

// incarnationOf returns the newest known incarnation of an owner.
func (r *Registry) incarnationOf(owner GatewayID) uint64 {
	if owner == r.self {
		return r.incarnation
	}
	if v := r.owners[owner]; v != nil {
		return v.incarnation
	}
	return 0
}

// knowsMore reports whether this gateway knows a newer state of an owner's table than d, the sender's digest entry for that
// owner; d is nil if there is none.
func (r *Registry) knowsMore(owner string, d *gossippb.OwnerDigest) bool {
	incarnation, version := r.incarnation, r.tableVersion
	if owner != r.self {
		v := r.owners[owner]
		if v == nil {
			return false
		}
		incarnation, version = v.incarnation, v.completeUpTo
	}
	if d == nil || d.Incarnation < incarnation {
		return true
	}
	return d.Incarnation == incarnation && d.Version < version
}

// DigestRequest returns the request to send after a summary exchange whose summaries differ.
func (r *Registry) DigestRequest(now time.Duration) *gossippb.ExchangeRequest {
	q := &gossippb.ExchangeRequest{From: r.self, Digest: r.Digest(now)}
	for _, d := range q.Digest {
		d.AgeMs = 0 // the receiver does not know how long the request was in transit, so ages would be useless
	}
	return q
}

// PushRequest returns a request with the changes of servers owned here since the last call, and clears them. The caller
// sends it to every peer.
func (r *Registry) PushRequest() *gossippb.ExchangeRequest {
	q := &gossippb.ExchangeRequest{From: r.self, Push: true}
	addresses := make([]string, 0, len(r.pendingPushes))
	for a := range r.pendingPushes {
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	for _, a := range addresses {
		if rec := r.records[a]; rec != nil && rec.server.Owner == r.self {
			q.Servers = append(q.Servers, rec.server)
		}
	}
	if len(q.Servers) > 0 {
		q.Digest = r.ownerDigest(r.self)
	}
	r.pendingPushes = map[string]bool{}
	return q
}

// ownerDigest returns the digest of a request that carries records of one owner: the owner's incarnation without a version.
func (r *Registry) ownerDigest(owner GatewayID) []*gossippb.OwnerDigest {
	return []*gossippb.OwnerDigest{{Owner: owner, Incarnation: r.incarnationOf(owner)}}
}

// HasPendingPush reports whether there are changes that PushRequest has not returned yet.
func (r *Registry) HasPendingPush() bool { return len(r.pendingPushes) > 0 }

// HandleRequest merges the records of a request and returns the answer. The digest of a request is no evidence, because
// the receiver does not know how long the request was in transit.
func (r *Registry) HandleRequest(now time.Duration, q *gossippb.ExchangeRequest) *gossippb.ExchangeAnswer {
	return r.HandleRequestWithLimit(now, q, math.MaxInt)
}

// HandleRequestWithLimit is HandleRequest with a limit in bytes for the records of the answer. The records that it leaves
// out follow in later exchanges. The records of one owner are sent even if they exceed the limit.
func (r *Registry) HandleRequestWithLimit(now time.Duration, q *gossippb.ExchangeRequest, limit int) *gossippb.ExchangeAnswer {
	r.now = max(r.now, now)
	incarnations := r.learnIncarnations(q.Digest)
	r.mergeServers(q.Servers, incarnations)
	if q.Push {
		return &gossippb.ExchangeAnswer{}
	}
	if len(q.Digest) == 0 {
		return r.answerSummary(now, q.Summary)
	}
	a := &gossippb.ExchangeAnswer{Digest: r.Digest(now), Servers: r.MissingRecords(q.Digest)}
	r.limitAnswer(a, limit)
	return a
}

// MergeAnswer merges the answer to a request. The answer to a SummaryExchange must be expanded with ExpandAnswer first. sent
// is the time at which the request was sent; the answer is at least as recent, apart from the heartbeat ages in its digest.
func (r *Registry) MergeAnswer(now, sent time.Duration, a *gossippb.ExchangeAnswer) {
	r.now = max(r.now, now)
	incarnations := r.learnIncarnations(a.Digest)
	r.mergeServers(a.Servers, incarnations)
	newHeartbeats := map[GatewayID]*ownerView{}
	for _, d := range a.Digest {
		if v := r.mergeDigest(sent, d); v != nil {
			newHeartbeats[d.Owner] = v
		}
	}
	r.applyHeartbeats(newHeartbeats)
}

// FallbackRequest returns the owner of a server and the request that reports to it that the server has fallen back into
// cold start. The request is nil if the server is unknown, owned by this gateway, or not ready.
func (r *Registry) FallbackRequest(address string, incarnation uint64) (GatewayID, *gossippb.ExchangeRequest) {
	rec := r.records[address]
	if rec == nil || rec.ownership != nil || rec.server.Incarnation != incarnation {
		return "", nil
	}
	if rec.server.State != gossippb.ServerState_SERVER_READY {
		return "", nil
	}
	s := cloneWithState(rec.server, gossippb.ServerState_SERVER_COLD)
	owner := rec.server.Owner
	q := &gossippb.ExchangeRequest{From: r.self, Digest: r.ownerDigest(owner), Servers: []*gossippb.Server{s}, Push: true}
	return owner, q
}

// learnIncarnations resets the view of owners that have restarted, and returns the incarnation of each owner in the digest
// of a message, under which the records of the message are stored.
func (r *Registry) learnIncarnations(digest []*gossippb.OwnerDigest) map[string]uint64 {
	incarnations := map[string]uint64{}
	for _, d := range digest {
		incarnations[d.Owner] = d.Incarnation
		if d.Owner == r.self {
			continue
		}
		v := r.owners[d.Owner]
		if v == nil {
			v = &ownerView{incarnation: d.Incarnation}
			r.owners[d.Owner] = v
		}
		if d.Incarnation > v.incarnation {
			*v = ownerView{incarnation: d.Incarnation}
		}
	}
	return incarnations
}

// mergeServers stores the records of a message that are newer than the known ones, in the order of the tables' versions.
func (r *Registry) mergeServers(list []*gossippb.Server, incarnations map[string]uint64) {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b *gossippb.Server) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.OwnerVersion, b.OwnerVersion))
	})
	for _, s := range sorted {
		if checkRequiredFields(s) != nil {
			continue
		}
		r.applyFallback(s)
		r.storeIfNewer(s, incarnations[s.Owner])
		r.advanceVersion(s, incarnations[s.Owner])
	}
}

// advanceVersion raises the version up to which an owner's table is known if the record directly follows that version.
func (r *Registry) advanceVersion(s *gossippb.Server, incarnation uint64) {
	v := r.owners[s.Owner]
	if v != nil && v.incarnation == incarnation && s.OwnerVersion == v.completeUpTo+1 {
		v.completeUpTo++
	}
}

// applyFallback marks an owned server as cold if the record is the report of another gateway that the server, in its current
// version, has fallen back into cold start.
func (r *Registry) applyFallback(s *gossippb.Server) {
	rec := r.records[s.Address]
	if rec == nil || rec.ownership == nil || s.State != gossippb.ServerState_SERVER_COLD {
		return
	}
	isCurrent := rec.server.Sequence == s.Sequence && rec.server.OwnerVersion == s.OwnerVersion && s.Owner == r.self
	if isCurrent {
		r.SetCold(s.Address, s.Incarnation, true)
	}
}

// mergeDigest raises the version up to which an owner's table is known. It returns the view of the owner if the digest
// carries a newer heartbeat, otherwise nil.
func (r *Registry) mergeDigest(sent time.Duration, d *gossippb.OwnerDigest) *ownerView {
	v := r.owners[d.Owner]
	if v == nil || d.Incarnation != v.incarnation {
		return nil
	}
	v.completeUpTo = max(v.completeUpTo, d.Version)
	if d.AgeMs == unknownAgeMs {
		return nil
	}
	at := sent - time.Duration(d.AgeMs)*time.Millisecond
	if v.hasHeartbeat && at <= v.heartbeatAt {
		return nil
	}
	v.hasHeartbeat, v.heartbeatAt = true, at
	return v
}
