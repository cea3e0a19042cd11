package membership

import (
	"slices"
	"time"

	"heatherwall.example/api/gossippb"
)

// GatewayID is the instance name of a gateway.
type GatewayID = string

// Timing of the protocol.
const (
	// RenewInterval is the time between two renewals of a server.
	RenewInterval = time.Second
	// SwitchAfter is the time without an answer from its owner after which a server announces itself to another gateway.
	SwitchAfter = 4 * time.Second
	// EvidenceLifetime is the age up to which evidence permits sending requests to a server.
	EvidenceLifetime = 2500 * time.Millisecond
	// SendRightLifetime is the time from the sending of a grant to the end of the right to send that its echo gives.
	SendRightLifetime = 2500 * time.Millisecond
	// UnrenewedAfter is the time without a renewal after which the owner's heartbeat is no longer evidence of the server.
	UnrenewedAfter = 1500 * time.Millisecond
	// LostAfter is the time without evidence after which a server is no longer listed.
	LostAfter = 10 * time.Second
	// TombstoneLifetime is how long records of servers that left or were lost are kept.
	TombstoneLifetime = time.Hour
	// ExchangeInterval is the time between two exchanges that a gateway starts.
	ExchangeInterval = 500 * time.Millisecond
)

// Registry is the membership as one gateway knows it. It must be used by one goroutine only.
type Registry struct {
	self        GatewayID
	incarnation uint64
	// tableVersion is the version of the table of the servers that this gateway owns; each change of a record raises it.
	tableVersion uint64
	now          time.Duration
	// records holds the record of each server by its address.
	records map[string]*record
	// owners holds the view of each other owner's table.
	owners map[GatewayID]*ownerView
	peers  []Peer
	// exchanges counts the calls of ChoosePeer.
	exchanges uint64
	events    []Event
	// pendingPushes holds the addresses of servers whose records have changed since the last PushRequest.
	pendingPushes map[string]bool
	// sortedAddresses caches the sorted addresses of records; nil after a record was added or deleted.
	sortedAddresses []string
	// limitedAnswers counts the answers that left out records.
	limitedAnswers int
}

// ownerView is the state of another owner's table as this gateway knows it.
type ownerView struct {
	incarnation uint64
	// completeUpTo is the version up to which the table is known completely.
	completeUpTo uint64
	// heartbeatAt is the newest time at which the owner is known to have been running; valid only if hasHeartbeat is set.
	heartbeatAt  time.Duration
	hasHeartbeat bool
}

// New returns an empty registry of a gateway. The incarnation must be higher than at any earlier start of self.
func New(self GatewayID, incarnation uint64) *Registry {
	return &Registry{
		self:          self,
		incarnation:   incarnation,
		records:       map[string]*record{},
		owners:        map[GatewayID]*ownerView{},
		pendingPushes: map[string]bool{},
	}
}

// Tick advances the clock, expires records, and returns and clears the events since the last call of Tick or TakeEvents. It
// must be called about every 100 ms.
func (r *Registry) Tick(now time.Duration) []Event {
	r.now = max(r.now, now)
	for _, address := range r.recordAddresses() {
		r.expire(r.records[address])
	}
	return r.TakeEvents()
}

// TakeEvents returns and clears the events since the last call of Tick or TakeEvents.
func (r *Registry) TakeEvents() []Event {
	events := r.events
	r.events = nil
	return events
}

// Servers returns the listed servers, in the order of their addresses.
func (r *Registry) Servers() []Server {
	var list []Server
	for _, address := range r.recordAddresses() {
		if rec := r.records[address]; rec.listed {
			list = append(list, rec.view())
		}
	}
	return list
}

// Server returns the server with an address if it is listed.
func (r *Registry) Server(address string) (Server, bool) {
	rec := r.records[address]
	if rec == nil || !rec.listed {
		return Server{}, false
	}
	return rec.view(), true
}

// recordAddresses returns the sorted addresses of all records. The caller must not change the list.
func (r *Registry) recordAddresses() []string {
	if r.sortedAddresses != nil {
		return r.sortedAddresses
	}
	list := make([]string, 0, len(r.records))
	for a := range r.records {
		list = append(list, a)
	}
	slices.Sort(list)
	r.sortedAddresses = list
	return list
}

// view returns the server as events and Server report it.
func (rec *record) view() Server {
	s := Server{Record: rec.server, EvidenceAt: rec.evidenceAt}
	if rec.ownership != nil {
		s.Owned = true
		s.SendUntil = rec.ownership.sendUntil
	}
	return s
}

// storeIfNewer stores s as the record of its server if it is newer than the known one, and reports whether it did.
func (r *Registry) storeIfNewer(s *gossippb.Server, ownerIncarnation uint64) bool {
	old := r.records[s.Address]
	if old != nil && !old.isReplacedBy(s, ownerIncarnation) {
		return false
	}
	rec := &record{server: s, ownerIncarnation: ownerIncarnation, changedAt: r.now}
	if old == nil {
		r.sortedAddresses = nil
	} else {
		rec.formerOwners = old.formerOwners
		rec.listed = old.listed
		rec.evidenceAt, rec.hasEvidence = old.evidenceAt, old.hasEvidence
		if old.server.Owner != s.Owner {
			rec.addFormerOwner(old.server.Owner)
		}
		if s.Owner == r.self {
			rec.ownership = old.ownership
		}
	}
	r.records[s.Address] = rec
	r.reportChange(rec)
	return true
}

// reportChange adds the event for a record that has changed, and updates whether the server is listed.
func (r *Registry) reportChange(rec *record) {
	if rec.hasLeft() {
		r.unlist(rec)
		return
	}
	if r.isPresent(rec) {
		rec.listed = true
		r.events = append(r.events, Event{Kind: ServerChanged, Server: rec.view()})
	}
}

// isPresent reports whether a server has not left and has evidence younger than LostAfter.
func (r *Registry) isPresent(rec *record) bool {
	return !rec.hasLeft() && rec.hasEvidence && r.now-rec.evidenceAt < LostAfter
}

// unlist reports a listed server as gone.
func (r *Registry) unlist(rec *record) {
	if !rec.listed {
		return
	}
	rec.listed = false
	r.events = append(r.events, Event{Kind: ServerGone, Server: rec.view()})
}

// expire gives up expired ownership, unlists a server without recent evidence, and deletes an old tombstone.
func (r *Registry) expire(rec *record) {
	if rec.ownership != nil {
		r.expireOwnership(rec)
	}
	if rec.listed && !r.isPresent(rec) {
		r.unlist(rec)
	}
	if !rec.listed && rec.ownership == nil && r.now-rec.changedAt > TombstoneLifetime {
		delete(r.records, rec.server.Address)
		r.sortedAddresses = nil
	}
}
