package membership

import (
	"slices"
	"time"

	"heatherwall.example/api/gossippb"
)

// GatewayID is the instance name of a gateway.
type GatewayID = string

// Times of the protocol.
const (
	// RenewInterval is the time between two renewals of a server.
	RenewInterval = time.Second
	// SwitchAfter is the time without an answer after which a server changes owner.
	SwitchAfter = 4 * time.Second
	// EvidenceLifetime is the age up to which evidence permits sending.
	EvidenceLifetime = 2500 * time.Millisecond
	// SendRightLifetime is the time from sending a grant to the end of the right that its echo gives.
	SendRightLifetime = 2500 * time.Millisecond
	// UnrenewedAfter is the time without a renewal after which the owner's heartbeat is no evidence for the server.
	UnrenewedAfter = 1500 * time.Millisecond
	// LostAfter is the time without evidence after which a server is no longer listed.
	LostAfter = 10 * time.Second
	// TombstoneLifetime is the time for which records of servers that left or were lost are kept.
	TombstoneLifetime = time.Hour
	// ExchangeInterval is the time between two exchanges that a gateway starts.
	ExchangeInterval = 500 * time.Millisecond
)

// Registry is the membership as one gateway knows it. It belongs to one goroutine.
type Registry struct {
	self        GatewayID
	incarnation uint64
	version     uint64
	now         time.Duration
	records     map[string]*record
	owners      map[GatewayID]*ownerView
	peers       []Peer
	exchanges   uint64
	events      []Event
	pushes      map[string]bool
	// sorted holds the addresses of records in order; nil after a change.
	sorted []string
	// shortened counts the answers that left out records.
	shortened int
}

// ownerView is what is known of another owner's table.
type ownerView struct {
	incarnation uint64
	// version up to which the table is known completely.
	version uint64
	// freshAt is a time at which the owner certainly lived; valid only if fresh.
	freshAt time.Duration
	fresh   bool
}

// New returns an empty registry of a gateway. The incarnation must be higher than at any earlier start of self.
func New(self GatewayID, incarnation uint64) *Registry {
	return &Registry{
		self:        self,
		incarnation: incarnation,
		records:     map[string]*record{},
		owners:      map[GatewayID]*ownerView{},
		pushes:      map[string]bool{},
	}
}

// Tick advances the clock, applies the passing of time to every record and returns the events since the last call of
// Tick or Events. Call it about every 100 ms.
func (r *Registry) Tick(now time.Duration) []Event {
	r.now = max(r.now, now)
	for _, address := range r.addresses() {
		r.expire(r.records[address])
	}
	return r.TakeEvents()
}

// TakeEvents returns the events since the last call of Tick or TakeEvents.
func (r *Registry) TakeEvents() []Event {
	events := r.events
	r.events = nil
	return events
}

// Servers returns the servers that are present, in the order of their addresses.
func (r *Registry) Servers() []Server {
	var list []Server
	for _, address := range r.addresses() {
		if rec := r.records[address]; rec.listed {
			list = append(list, rec.view())
		}
	}
	return list
}

// Server returns one server that is present.
func (r *Registry) Server(address string) (Server, bool) {
	rec := r.records[address]
	if rec == nil || !rec.listed {
		return Server{}, false
	}
	return rec.view(), true
}

// addresses returns the addresses of all records in order. The caller must not change the list.
func (r *Registry) addresses() []string {
	if r.sorted != nil {
		return r.sorted
	}
	list := make([]string, 0, len(r.records))
	for a := range r.records {
		list = append(list, a)
	}
	slices.Sort(list)
	r.sorted = list
	return list
}

func (rec *record) view() Server {
	s := Server{Record: rec.server, EvidenceAt: rec.evidence}
	if rec.held != nil {
		s.Owned = true
		s.SendUntil = rec.held.sendUntil
	}
	return s
}

// store replaces the record of a server if s is newer, and reports whether it did.
func (r *Registry) store(s *gossippb.Server, vouchIncarnation uint64) bool {
	old := r.records[s.Address]
	if old != nil && !old.replacedBy(s, vouchIncarnation) {
		return false
	}
	rec := &record{server: s, vouchIncarnation: vouchIncarnation, changed: r.now}
	if old == nil {
		r.sorted = nil
	} else {
		rec.formerOwners = old.formerOwners
		rec.listed = old.listed
		rec.evidence, rec.hasEvidence = old.evidence, old.hasEvidence
		if old.server.Owner != s.Owner {
			rec.addFormer(old.server.Owner)
		}
		if s.Owner == r.self {
			rec.held = old.held
		}
	}
	r.records[s.Address] = rec
	r.changed(rec)
	return true
}

// changed reports a record whose content is new.
func (r *Registry) changed(rec *record) {
	if rec.left() {
		r.unlist(rec)
		return
	}
	if r.present(rec) {
		rec.listed = true
		r.events = append(r.events, Event{Kind: ServerChanged, Server: rec.view()})
	}
}

func (r *Registry) present(rec *record) bool {
	return !rec.left() && rec.hasEvidence && r.now-rec.evidence < LostAfter
}

func (r *Registry) unlist(rec *record) {
	if !rec.listed {
		return
	}
	rec.listed = false
	r.events = append(r.events, Event{Kind: ServerGone, Server: rec.view()})
}

// expire applies the passing of time to one record.
func (r *Registry) expire(rec *record) {
	if rec.held != nil {
		r.expireHolding(rec)
	}
	if rec.listed && !r.present(rec) {
		r.unlist(rec)
	}
	if !rec.listed && rec.held == nil && r.now-rec.changed > TombstoneLifetime {
		delete(r.records, rec.server.Address)
		r.sorted = nil
	}
}
