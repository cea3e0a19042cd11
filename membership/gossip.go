package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"heatherwall.example/api/gossippb"
)

// Digest tells how much this gateway knows of each owner's table, in the order of the owners' names.
func (r *Registry) Digest(now time.Duration) []*gossippb.OwnerDigest {
	r.now = max(r.now, now)
	list := []*gossippb.OwnerDigest{{
		Owner: r.self, Incarnation: r.incarnation, Version: r.version,
	}}
	for name, v := range r.owners {
		list = append(list, &gossippb.OwnerDigest{
			Owner: name, Incarnation: v.incarnation, Version: v.version, AgeMs: v.age(r.now),
		})
	}
	slices.SortFunc(list, func(a, b *gossippb.OwnerDigest) int { return cmp.Compare(a.Owner, b.Owner) })
	return list
}

// unknownAge is the age of a heartbeat that is no evidence.
const unknownAge = math.MaxUint32

// age is an upper bound of the heartbeat's age in ms.
func (v *ownerView) age(now time.Duration) uint32 {
	if !v.fresh {
		return unknownAge
	}
	ms := (now - v.freshAt + time.Millisecond - 1) / time.Millisecond
	return uint32(min(ms, unknownAge))
}

// MissingRecords returns the records that the sender of a digest lacks. A record that replaced one of a lacking table is
// included even if another owner has it now; otherwise the old record would seem current.
func (r *Registry) MissingRecords(digest []*gossippb.OwnerDigest) []*gossippb.Server {
	theirs := map[string]*gossippb.OwnerDigest{}
	for _, d := range digest {
		theirs[d.Owner] = d
	}
	var list []*gossippb.Server
	for _, address := range r.addresses() {
		if rec := r.records[address]; r.lacks(theirs, rec) {
			list = append(list, rec.server)
		}
	}
	return list
}

// lacks leaves out records of an earlier incarnation of their owner, because the receiver would take them for records
// of the current one. Their servers announce themselves again. That a server left holds without its owner.
func (r *Registry) lacks(theirs map[string]*gossippb.OwnerDigest, rec *record) bool {
	if !rec.left() && rec.vouchIncarnation != r.incarnationOf(rec.server.Owner) {
		return false
	}
	d := theirs[rec.server.Owner]
	if d == nil || d.Incarnation < rec.vouchIncarnation {
		return true
	}
	if d.Incarnation == rec.vouchIncarnation && d.Version < rec.server.OwnerVersion {
		return true
	}
	for _, former := range rec.formerOwners {
		if r.ahead(former, theirs[former]) {
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

// ahead reports whether this gateway knows more of an owner's table than a digest tells.
func (r *Registry) ahead(owner string, d *gossippb.OwnerDigest) bool {
	incarnation, version := r.incarnation, r.version
	if owner != r.self {
		v := r.owners[owner]
		if v == nil {
			return false
		}
		incarnation, version = v.incarnation, v.version
	}
	if d == nil || d.Incarnation < incarnation {
		return true
	}
	return d.Incarnation == incarnation && d.Version < version
}

// DigestRequest makes the request that follows a summary exchange whose summary differs.
func (r *Registry) DigestRequest(now time.Duration) *gossippb.ExchangeRequest {
	q := &gossippb.ExchangeRequest{From: r.self, Digest: r.Digest(now)}
	for _, d := range q.Digest {
		d.AgeMs = 0 // a request may be of any age, so its ages are of no use
	}
	return q
}

// PushRequest makes the request that carries the changes of servers owned here that no request has carried yet. Send it to
// every peer.
func (r *Registry) PushRequest() *gossippb.ExchangeRequest {
	q := &gossippb.ExchangeRequest{From: r.self, Push: true}
	addresses := make([]string, 0, len(r.pushes))
	for a := range r.pushes {
		addresses = append(addresses, a)
	}
	slices.Sort(addresses)
	for _, a := range addresses {
		if rec := r.records[a]; rec != nil && rec.server.Owner == r.self {
			q.Servers = append(q.Servers, rec.server)
		}
	}
	if len(q.Servers) > 0 {
		q.Digest = r.carrier(r.self)
	}
	r.pushes = map[string]bool{}
	return q
}

// carrier is the digest of a request that carries records of one owner.
func (r *Registry) carrier(owner GatewayID) []*gossippb.OwnerDigest {
	return []*gossippb.OwnerDigest{{Owner: owner, Incarnation: r.incarnationOf(owner)}}
}

// HasPendingPush reports whether a change waits to be pushed to the peers.
func (r *Registry) HasPendingPush() bool { return len(r.pushes) > 0 }

// HandleRequest merges a request and answers it. A request may be of any age, so its digest is no evidence.
func (r *Registry) HandleRequest(now time.Duration, q *gossippb.ExchangeRequest) *gossippb.ExchangeAnswer {
	return r.HandleRequestWithLimit(now, q, math.MaxInt)
}

// HandleRequestWithLimit is Handle with a limit in bytes for the records of the answer; further exchanges bring the rest.
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
	r.shorten(a, limit)
	return a
}

// MergeAnswer takes the answer to a request, that to a summary exchange after ExpandAnswer. sent is the time at which the request was sent: what the answer tells is not
// older, apart from the ages in its digest.
func (r *Registry) MergeAnswer(now, sent time.Duration, a *gossippb.ExchangeAnswer) {
	r.now = max(r.now, now)
	incarnations := r.learnIncarnations(a.Digest)
	r.mergeServers(a.Servers, incarnations)
	fresh := map[GatewayID]*ownerView{}
	for _, d := range a.Digest {
		if v := r.mergeDigest(sent, d); v != nil {
			fresh[d.Owner] = v
		}
	}
	r.vouch(fresh)
}

// FallbackRequest makes the request by which a gateway tells the owner that a server has fallen back into cold start.
// It is nil if the server is unknown, owned here, or not ready.
func (r *Registry) FallbackRequest(address string, incarnation uint64) (GatewayID, *gossippb.ExchangeRequest) {
	rec := r.records[address]
	if rec == nil || rec.held != nil || rec.server.Incarnation != incarnation {
		return "", nil
	}
	if rec.server.State != gossippb.ServerState_SERVER_READY {
		return "", nil
	}
	s := cloneWithState(rec.server, gossippb.ServerState_SERVER_COLD)
	owner := rec.server.Owner
	q := &gossippb.ExchangeRequest{From: r.self, Digest: r.carrier(owner), Servers: []*gossippb.Server{s}, Push: true}
	return owner, q
}

// learnIncarnations notes restarts of owners, and returns the incarnations under which a message carries records.
func (r *Registry) learnIncarnations(digest []*gossippb.OwnerDigest) map[string]uint64 {
	carried := map[string]uint64{}
	for _, d := range digest {
		carried[d.Owner] = d.Incarnation
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
	return carried
}

func (r *Registry) mergeServers(list []*gossippb.Server, incarnations map[string]uint64) {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b *gossippb.Server) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.OwnerVersion, b.OwnerVersion))
	})
	for _, s := range sorted {
		if validate(s) != nil {
			continue
		}
		r.takeFallback(s)
		r.store(s, incarnations[s.Owner])
		r.continues(s, incarnations[s.Owner])
	}
}

// continues raises the known version of a table by a pushed record that directly follows it.
func (r *Registry) continues(s *gossippb.Server, incarnation uint64) {
	v := r.owners[s.Owner]
	if v != nil && v.incarnation == incarnation && s.OwnerVersion == v.version+1 {
		v.version++
	}
}

// takeFallback acts on the report of another gateway that a server of this one has fallen back.
func (r *Registry) takeFallback(s *gossippb.Server) {
	rec := r.records[s.Address]
	if rec == nil || rec.held == nil || s.State != gossippb.ServerState_SERVER_COLD {
		return
	}
	same := rec.server.Sequence == s.Sequence && rec.server.OwnerVersion == s.OwnerVersion && s.Owner == r.self
	if same {
		r.SetCold(s.Address, s.Incarnation, true)
	}
}

// mergeDigest raises the known version of an owner's table, and returns the owner if its heartbeat is fresher than before.
func (r *Registry) mergeDigest(sent time.Duration, d *gossippb.OwnerDigest) *ownerView {
	v := r.owners[d.Owner]
	if v == nil || d.Incarnation != v.incarnation {
		return nil
	}
	v.version = max(v.version, d.Version)
	if d.AgeMs == unknownAge {
		return nil
	}
	at := sent - time.Duration(d.AgeMs)*time.Millisecond
	if v.fresh && at <= v.freshAt {
		return nil
	}
	v.fresh, v.freshAt = true, at
	return v
}
