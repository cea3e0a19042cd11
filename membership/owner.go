package membership

import (
	"time"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/gossippb"
)

// maxGrants is the number of unechoed grants that the owner remembers for a server.
const maxGrants = 8

// holding is what the owner of a server knows beyond its record.
type holding struct {
	renewedAt time.Duration
	// rightFrom is the time before which no right is given: a right of an earlier owner has ended by then.
	rightFrom time.Duration
	sendUntil time.Duration
	lastGrant uint64
	grants    []grant
}

type grant struct {
	number uint64
	sentAt time.Duration
}

// Announcement is what a backend server tells its owner.
type Announcement struct {
	// Server without Owner and OwnerVersion.
	Server *gossippb.Server
	// Grant is the newest grant that the server has received from this owner; 0 for none.
	Grant uint64
}

// Answer is the owner's answer to an announcement or renewal; it must be sent at the time given to the call.
type Answer struct {
	Grant       uint64
	RenewAfter  time.Duration
	SwitchAfter time.Duration
}

// Announce registers a server with this gateway, which becomes its owner. The sequence must be higher than any that the
// server used before. Errors: *InvalidError, *OutdatedError, *LeftError.
func (r *Registry) Announce(now time.Duration, a Announcement) (Answer, error) {
	r.now = max(r.now, now)
	if err := validate(a.Server); err != nil {
		return Answer{}, err
	}
	if err := r.admissible(a.Server); err != nil {
		return Answer{}, err
	}
	if known := r.records[a.Server.Address]; known != nil && r.repeated(known, a.Server) {
		return r.renewed(known, a.Grant), nil
	}
	r.version++
	s := proto.CloneOf(a.Server)
	s.Owner, s.OwnerVersion, s.Unrenewed = r.self, r.version, false
	if !r.store(s, r.incarnation) {
		r.version--
		return Answer{}, outdated(a.Server)
	}
	rec := r.records[s.Address]
	rec.held = &holding{rightFrom: r.now + SendRightLifetime}
	r.pushes[s.Address] = true
	return r.renewed(rec, 0), nil
}

// Renew confirms that a server is alive. A higher sequence changes its state. Errors: *UnknownServerError,
// *OutdatedError, *LeftError, *InvalidError.
func (r *Registry) Renew(now time.Duration, a Announcement) (Answer, error) {
	r.now = max(r.now, now)
	if err := validate(a.Server); err != nil {
		return Answer{}, err
	}
	rec := r.records[a.Server.Address]
	if rec == nil || rec.held == nil && a.Server.Incarnation >= rec.server.Incarnation && !rec.left() {
		return Answer{}, &UnknownServerError{Address: a.Server.Address}
	}
	if err := r.admissible(a.Server); err != nil {
		return Answer{}, err
	}
	if rec.held == nil || a.Server.Incarnation != rec.server.Incarnation {
		return Answer{}, &UnknownServerError{Address: a.Server.Address}
	}
	if a.Server.Sequence > rec.server.Sequence {
		rec = r.update(rec, a.Server)
	}
	return r.renewed(rec, a.Grant), nil
}

// Leave ends an incarnation for good. It succeeds at any gateway, owner or not.
func (r *Registry) Leave(now time.Duration, s *gossippb.Server) error {
	r.now = max(r.now, now)
	if err := validate(s); err != nil {
		return err
	}
	if rec := r.records[s.Address]; rec != nil && s.Incarnation < rec.server.Incarnation {
		return outdated(s)
	}
	c := proto.CloneOf(s)
	c.State = gossippb.ServerState_SERVER_LEFT
	r.version++
	c.Owner, c.OwnerVersion, c.Unrenewed = r.self, r.version, false
	if r.store(c, r.incarnation) {
		r.records[c.Address].held = nil
		r.pushes[c.Address] = true
	}
	return nil
}

// IsRecentRestart tells whether an announcement is that of a restart within a time of the last change of the server's record.
func (r *Registry) IsRecentRestart(now time.Duration, address string, incarnation uint64, within time.Duration) bool {
	rec := r.records[address]
	return rec != nil && incarnation > rec.server.Incarnation && now-rec.changed < within
}

// SetCold records that a server of this gateway has fallen back into cold start (cold true), or has warmed up after a
// fallback without telling so (cold false).
func (r *Registry) SetCold(address string, incarnation uint64, cold bool) {
	rec := r.records[address]
	if rec == nil || rec.held == nil || rec.server.Incarnation != incarnation {
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
	r.publish(s)
}

// publish stores a new version of a record of this gateway.
func (r *Registry) publish(s *gossippb.Server) *record {
	r.version++
	s.OwnerVersion = r.version
	r.store(s, r.incarnation)
	r.pushes[s.Address] = true
	return r.records[s.Address]
}

func (r *Registry) update(rec *record, to *gossippb.Server) *record {
	s := proto.CloneOf(to)
	s.Owner = r.self
	s.Unrenewed = rec.server.Unrenewed
	return r.publish(s)
}

// renewed takes a sign of life of a held server and issues a grant.
func (r *Registry) renewed(rec *record, echo uint64) Answer {
	rec.held.renewedAt = r.now
	if rec.server.Unrenewed {
		s := proto.CloneOf(rec.server)
		s.Unrenewed = false
		rec = r.publish(s)
	}
	r.evidence(rec, r.now)
	h := rec.held
	if h.echoed(r.now, echo) {
		r.events = append(r.events, Event{Kind: SendRightChanged, Server: rec.view()})
	}
	return Answer{Grant: h.issue(r.now), RenewAfter: RenewInterval, SwitchAfter: SwitchAfter}
}

// echoed extends the right to send by the grant that the server echoes, and reports whether the right changed.
// The time counts from the sending of the grant, so a delayed echo extends nothing.
func (h *holding) echoed(now time.Duration, number uint64) bool {
	for i, g := range h.grants {
		if g.number != number {
			continue
		}
		h.grants = h.grants[i:]
		until := g.sentAt + SendRightLifetime
		if now < h.rightFrom || until <= h.sendUntil {
			return false
		}
		h.sendUntil = until
		return true
	}
	return false
}

func (h *holding) issue(now time.Duration) uint64 {
	h.lastGrant++
	h.grants = append(h.grants, grant{number: h.lastGrant, sentAt: now})
	if len(h.grants) > maxGrants {
		h.grants = h.grants[1:]
	}
	return h.lastGrant
}

// expireHolding stops vouching for a server that does not renew, and gives it up when it has changed owner.
func (r *Registry) expireHolding(rec *record) {
	silent := r.now - rec.held.renewedAt
	if silent > UnrenewedAfter && !rec.server.Unrenewed {
		s := proto.CloneOf(rec.server)
		s.Unrenewed = true
		rec = r.publish(s)
	}
	if silent > SwitchAfter {
		rec.held = nil
		r.changed(rec)
	}
}

// repeated tells that an announcement is a resend of the one that this gateway holds.
func (r *Registry) repeated(known *record, s *gossippb.Server) bool {
	return known.held != nil && known.server.Incarnation == s.Incarnation && known.server.Sequence == s.Sequence
}

func (r *Registry) admissible(s *gossippb.Server) error {
	known := r.records[s.Address]
	if known == nil || s.Incarnation > known.server.Incarnation {
		return nil
	}
	if s.Incarnation < known.server.Incarnation {
		return outdated(s)
	}
	if known.left() {
		return &LeftError{Address: s.Address, Incarnation: s.Incarnation}
	}
	if s.Sequence < known.server.Sequence {
		return outdated(s)
	}
	return nil
}

func validate(s *gossippb.Server) error {
	switch {
	case s == nil || s.Address == "":
		return &MissingFieldError{Field: "address"}
	case s.Service == "":
		return &MissingFieldError{Field: "service"}
	}
	return nil
}

func outdated(s *gossippb.Server) error {
	return &OutdatedError{Address: s.Address, Incarnation: s.Incarnation, Sequence: s.Sequence}
}
