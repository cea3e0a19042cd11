package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/gossippb"
)

// maxPendingGrants limits the grants that the owner remembers for a server because the server has not echoed them yet.
const maxPendingGrants = 8

// ownership is the state that the owner keeps for a server in addition to its record.
type ownership struct {
	renewedAt time.Duration
	// sendRightFrom is the earliest time for a right to send; the right of an earlier owner has expired by then.
	sendRightFrom time.Duration
	// sendUntil is the end of the right to send.
	sendUntil time.Duration
	lastGrant uint64
	grants    []grant
}

// grant is a number that the owner sends in an answer. A server that echoes it proves that it received the answer, which
// extends the owner's right to send.
type grant struct {
	number uint64
	sentAt time.Duration
}

// Announcement is the content of an announcement or renewal of a backend server to its owner.
type Announcement struct {
	// Server is the record of the server; Owner and OwnerVersion are ignored.
	Server *gossippb.Server
	// Grant is the newest grant that the server has received from this owner; 0 for none.
	Grant uint64
}

// Answer is the owner's answer to an announcement or renewal. It must be sent at once, because the right to send counts from
// the time given to the call. RenewAfter is when the server should renew, SwitchAfter when it should change owner if it
// gets no answer.
type Answer struct {
	Grant       uint64
	RenewAfter  time.Duration
	SwitchAfter time.Duration
}

// Announce registers a server with this gateway, which becomes its owner. The sequence must be higher than any that the
// server used before. Errors: *MissingFieldError, *OutdatedError, *LeftError.
func (r *Registry) Announce(now time.Duration, a Announcement) (Answer, error) {
	r.now = max(r.now, now)
	if err := checkRequiredFields(a.Server); err != nil {
		return Answer{}, err
	}
	if err := r.checkOrder(a.Server); err != nil {
		return Answer{}, err
	}
	if known := r.records[a.Server.Address]; known != nil && r.isRepeated(known, a.Server) {
		return r.acceptRenewal(known, a.Grant), nil
	}
	r.tableVersion++
	s := proto.CloneOf(a.Server)
	s.Owner, s.OwnerVersion, s.Unrenewed = r.self, r.tableVersion, false
	if !r.storeIfNewer(s, r.incarnation) {
		r.tableVersion--
		return Answer{}, newOutdatedError(a.Server)
	}
	rec := r.records[s.Address]
	rec.ownership = &ownership{sendRightFrom: r.now + SendRightLifetime}
	r.pendingPushes[s.Address] = true
	return r.acceptRenewal(rec, 0), nil
}

// Renew confirms that a server is alive. A higher sequence changes its state. Errors: *UnknownServerError,
// *OutdatedError, *LeftError, *MissingFieldError.
func (r *Registry) Renew(now time.Duration, a Announcement) (Answer, error) {
	r.now = max(r.now, now)
	if err := checkRequiredFields(a.Server); err != nil {
		return Answer{}, err
	}
	rec := r.records[a.Server.Address]
	if rec == nil || rec.ownership == nil && a.Server.Incarnation >= rec.server.Incarnation && !rec.hasLeft() {
		return Answer{}, &UnknownServerError{Address: a.Server.Address}
	}
	if err := r.checkOrder(a.Server); err != nil {
		return Answer{}, err
	}
	if rec.ownership == nil || a.Server.Incarnation != rec.server.Incarnation {
		return Answer{}, &UnknownServerError{Address: a.Server.Address}
	}
	if a.Server.Sequence > rec.server.Sequence {
		rec = r.updateOwned(rec, a.Server)
	}
	return r.acceptRenewal(rec, a.Grant), nil
}

// Leave marks an incarnation as left, which is final. Any gateway accepts it, not only the owner. Errors:
// *MissingFieldError, *OutdatedError.
func (r *Registry) Leave(now time.Duration, s *gossippb.Server) error {
	r.now = max(r.now, now)
	if err := checkRequiredFields(s); err != nil {
		return err
	}
	if rec := r.records[s.Address]; rec != nil && s.Incarnation < rec.server.Incarnation {
		return newOutdatedError(s)
	}
	c := proto.CloneOf(s)
	c.State = gossippb.ServerState_SERVER_LEFT
	r.tableVersion++
	c.Owner, c.OwnerVersion, c.Unrenewed = r.self, r.tableVersion, false
	if r.storeIfNewer(c, r.incarnation) {
		r.records[c.Address].ownership = nil
		r.pendingPushes[c.Address] = true
	}
	return nil
}

// IsRecentRestart reports whether an announcement has a higher incarnation than the server's record, and that record changed
// less than within ago.
func (r *Registry) IsRecentRestart(now time.Duration, address string, incarnation uint64, within time.Duration) bool {
	rec := r.records[address]
	return rec != nil && incarnation > rec.server.Incarnation && now-rec.changedAt < within
}

// SetCold records that a server owned by this gateway has fallen back into cold start (cold is true), or that it has warmed
// up after such a fallback without a renewal that reports it as ready (cold is false).
func (r *Registry) SetCold(address string, incarnation uint64, cold bool) {
	rec := r.records[address]
	if rec == nil || rec.ownership == nil || rec.server.Incarnation != incarnation {
		return
	}
	from, to := gossippb.ServerState_SERVER_COLD, gossippb.ServerState_SERVER_READY
	if cold {
		from, to = to, from
	}
	if rec.server.State != from {
		return
	}
	s := proto.CloneOf(rec.server)
	s.State = to
	r.publishOwned(s)
}

// publishOwned stores a new version of the record of an owned server and schedules a push to the peers.
func (r *Registry) publishOwned(s *gossippb.Server) *record {
	r.tableVersion++
	s.OwnerVersion = r.tableVersion
	r.storeIfNewer(s, r.incarnation)
	r.pendingPushes[s.Address] = true
	return r.records[s.Address]
}

// updateOwned publishes the content of a renewal with a higher sequence.
func (r *Registry) updateOwned(rec *record, renewal *gossippb.Server) *record {
	s := proto.CloneOf(renewal)
	s.Owner = r.self
	s.Unrenewed = rec.server.Unrenewed
	return r.publishOwned(s)
}

// acceptRenewal records that an owned server is alive, applies the grant that the server echoes, and answers with a new
// grant.
func (r *Registry) acceptRenewal(rec *record, echo uint64) Answer {
	rec.ownership.renewedAt = r.now
	if rec.server.Unrenewed {
		s := proto.CloneOf(rec.server)
		s.Unrenewed = false
		rec = r.publishOwned(s)
	}
	r.addEvidence(rec, r.now)
	o := rec.ownership
	if o.extendSendRight(r.now, echo) {
		r.events = append(r.events, Event{Kind: SendRightChanged, Server: rec.view()})
	}
	return Answer{Grant: o.issueGrant(r.now), RenewAfter: RenewInterval, SwitchAfter: SwitchAfter}
}

// extendSendRight extends the right to send if the server echoes a pending grant, and reports whether the right changed. The
// lifetime counts from the time at which the grant was sent, so a delayed echo does not extend the right.
func (o *ownership) extendSendRight(now time.Duration, number uint64) bool {
	for i, g := range o.grants {
		if g.number != number {
			continue
		}
		o.grants = o.grants[i:]
		until := g.sentAt + SendRightLifetime
		if now < o.sendRightFrom || until <= o.sendUntil {
			return false
		}
		o.sendUntil = until
		return true
	}
	return false
}

// issueGrant returns the number of a new grant that is sent at now.
func (o *ownership) issueGrant(now time.Duration) uint64 {
	o.lastGrant++
	o.grants = append(o.grants, grant{number: o.lastGrant, sentAt: now})
	if len(o.grants) > maxPendingGrants {
		o.grants = o.grants[1:]
	}
	return o.lastGrant
}

// expireOwnership marks a server that has not renewed for UnrenewedAfter, so that the owner's heartbeat is no evidence for
// it, and gives up ownership after SwitchAfter, when the server has changed owner.
func (r *Registry) expireOwnership(rec *record) {
	sinceRenewal := r.now - rec.ownership.renewedAt
	if sinceRenewal > UnrenewedAfter && !rec.server.Unrenewed {
		s := proto.CloneOf(rec.server)
		s.Unrenewed = true
		rec = r.publishOwned(s)
	}
	if sinceRenewal > SwitchAfter {
		rec.ownership = nil
		r.reportChange(rec)
	}
}

// isRepeated reports whether an announcement is a resend of the one that made this gateway the owner.
func (r *Registry) isRepeated(known *record, s *gossippb.Server) bool {
	return known.ownership != nil && known.server.Incarnation == s.Incarnation && known.server.Sequence == s.Sequence
}

// checkOrder returns *OutdatedError or *LeftError if a message of a server is older than the known record, or the server's
// incarnation has left.
func (r *Registry) checkOrder(s *gossippb.Server) error {
	known := r.records[s.Address]
	if known == nil || s.Incarnation > known.server.Incarnation {
		return nil
	}
	if s.Incarnation < known.server.Incarnation {
		return newOutdatedError(s)
	}
	if known.hasLeft() {
		return &LeftError{Address: s.Address, Incarnation: s.Incarnation}
	}
	if s.Sequence < known.server.Sequence {
		return newOutdatedError(s)
	}
	return nil
}

func checkRequiredFields(s *gossippb.Server) error {
	switch {
	case s == nil || s.Address == "":
		return &MissingFieldError{Field: "address"}
	case s.Service == "":
		return &MissingFieldError{Field: "service"}
	}
	return nil
}

func newOutdatedError(s *gossippb.Server) error {
	return &OutdatedError{Address: s.Address, Incarnation: s.Incarnation, Sequence: s.Sequence}
}
