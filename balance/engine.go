package balance

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

// Engine holds what one gateway knows for its decisions. Apply, Tick and Notices belong to one owner goroutine;
// Current may be called by any goroutine.
type Engine struct {
	config     Config
	now        time.Duration
	servers    map[string]*serverRecord
	services   map[string]*serviceLoad
	members    map[string]*memberLoad
	domainsOut map[string]bool
	notices    []Notice
	current    atomic.Pointer[Snapshot]

	byService      map[string][]*serverRecord
	serviceNames   []string
	usageByService map[string]serviceUsage
	lastDecay      time.Duration
	// workTimes is scratch space.
	workTimes []float64
}

// serverRecord is what the owner goroutine knows of a server.
type serverRecord struct {
	server   Server
	load     *serverLoad
	probed   bool
	probedAt time.Duration
	// rank decides how soon this gateway asks the server.
	rank uint64
}

// serviceUsage tells when a service was last used.
type serviceUsage struct {
	firstAttempts uint64
	lastUsed      time.Duration
	used          bool
}

// New returns an engine without servers.
func New(c Config) *Engine {
	e := &Engine{
		config:         c.withDefaults(),
		servers:        map[string]*serverRecord{},
		services:       map[string]*serviceLoad{},
		members:        map[string]*memberLoad{},
		domainsOut:     map[string]bool{},
		usageByService: map[string]serviceUsage{},
	}
	e.publish()
	return e
}

// Current returns the newest snapshot.
func (e *Engine) Current() *Snapshot { return e.current.Load() }

// Notices returns the notices since the last call.
func (e *Engine) Notices() []Notice {
	n := e.notices
	e.notices = nil
	return n
}

// Apply takes an event. Events that change the structure publish a new snapshot.
func (e *Engine) Apply(ev Event) {
	if e.handle(ev) {
		e.publish()
	}
}

// ApplyAll takes several events and publishes one snapshot, because each costs a look at every server.
func (e *Engine) ApplyAll(events []Event) {
	changed := false
	for _, ev := range events {
		changed = e.handle(ev) || changed
	}
	if changed {
		e.publish()
	}
}

// handle reports whether the event changes the structure.
func (e *Engine) handle(ev Event) bool {
	switch ev := ev.(type) {
	case ServerChanged:
		e.updateServer(ev.Server)
	case ServerRemoved:
		delete(e.servers, ev.Address)
	case ConfigChanged:
		e.configure(ev)
	case EvidenceRenewed:
		e.renewEvidence(ev)
		return false
	case SendRightRenewed:
		e.extendSendRight(ev)
		return false
	case StateReported:
		e.recordReportedState(ev)
		return false
	case Ticked:
		e.Tick(ev.Now)
		return false
	}
	return true
}

// updateServer keeps the load of a server unless its incarnation rises. What answers reported is valid until the server
// announces something newer.
func (e *Engine) updateServer(s Server) {
	old := e.servers[s.Address]
	if old != nil && s.Incarnation < old.server.Incarnation {
		return
	}
	r := &serverRecord{server: s, rank: rendezvousHash(s.ID, e.config.Name)}
	if old != nil && old.server.Incarnation == s.Incarnation {
		r.load = old.load
		e.applyStateChange(r, old.server)
	} else {
		r.load = &serverLoad{}
	}
	r.load.evidenceAt.raise(s.EvidenceAt)
	r.load.sendUntil.store(s.SendUntil)
	e.servers[s.Address] = r
}

func (e *Engine) applyStateChange(r *serverRecord, old Server) {
	if r.server.Sequence > old.Sequence || r.server.State != StateReady {
		r.load.reportedState.Store(uint32(StateReady))
	}
	if r.server.State == StateCold && old.State != StateCold {
		r.load.cold.resetLimit(e.now)
		r.load.latency.reset()
		r.load.cold.fallbackLearnedAt = 0
		if r.server.Sequence == old.Sequence { // a fallback by behaviour; the server itself raises its sequence
			r.load.cold.fallbackLearnedAt = e.now
		}
	}
	if r.server.State == StateReady && old.State == StateCold {
		r.load.reportedState.Store(uint32(StateReady))
		r.load.cold.noticeSent.Store(false)
		r.load.cold.suspectedAt.store(0)
		r.load.latency.reset()
	}
}

func (e *Engine) renewEvidence(ev EvidenceRenewed) {
	if r := e.servers[ev.Address]; r != nil {
		r.load.evidenceAt.raise(ev.At)
	}
}

func (e *Engine) extendSendRight(ev SendRightRenewed) {
	if r := e.servers[ev.Address]; r != nil {
		r.load.sendUntil.raise(ev.Until)
	}
}

func (e *Engine) recordReportedState(ev StateReported) {
	r := e.servers[ev.Address]
	if r == nil {
		return
	}
	r.load.reportedState.Store(uint32(ev.State))
	if ev.Slots > 0 {
		r.load.report.add(ev.At, int64(ev.InFlight), r.load.inFlight.Load())
	}
	if ev.State <= StateCold {
		r.load.evidenceAt.raise(ev.At)
	}
}

func (e *Engine) configure(ev ConfigChanged) {
	e.setDomainsOut(ev.DomainsOut)
	if ev.RetryBurst > 0 {
		e.config.RetryBurst = ev.RetryBurst
	}
	for _, s := range e.services {
		s.limit.Store(0)
	}
	for _, l := range ev.Services {
		e.ensureService(l.Service).limit.Store(int64(l.MaxInFlight))
	}
	for _, m := range e.members {
		m.limit.Store(0)
	}
	for _, l := range ev.Members {
		if e.members[l.Member] == nil {
			e.members[l.Member] = &memberLoad{}
		}
		e.members[l.Member].limit.Store(int64(l.MaxInFlight))
	}
}

// setDomainsOut starts the gradual return of servers whose failure domain is no longer out.
func (e *Engine) setDomainsOut(out []string) {
	before := e.domainsOut
	e.domainsOut = map[string]bool{}
	for _, d := range out {
		e.domainsOut[d] = true
	}
	for _, r := range e.servers {
		d := r.server.FailureDomain
		if before[d] && !e.domainsOut[d] {
			r.load.latency.reset()
			r.load.returnRampStart.store(e.now)
		}
	}
}

func (e *Engine) ensureService(name string) *serviceLoad {
	if e.services[name] == nil {
		e.services[name] = &serviceLoad{}
	}
	return e.services[name]
}

// publish builds a snapshot.
func (e *Engine) publish() {
	s := &Snapshot{config: e.config, services: map[string]*serviceView{}, members: map[string]*memberLoad{}}
	for name, m := range e.members {
		s.members[name] = m
	}
	e.indexByService()
	for _, name := range e.serviceNames {
		for _, r := range e.byService[name] {
			e.addCandidate(s, r)
		}
		if e.config.Name != "" {
			s.services[name].sortByRank()
		}
	}
	e.current.Store(s)
}

func (e *Engine) addCandidate(s *Snapshot, r *serverRecord) {
	v := s.services[r.server.Service]
	if v == nil {
		v = &serviceView{load: e.ensureService(r.server.Service)}
		s.services[r.server.Service] = v
	}
	if !e.isSelectable(r) {
		return
	}
	t := e.tier(r.server)
	v.tiers[t] = append(v.tiers[t], candidate{
		server: r.server, load: r.load, slots: slotCount(r.server), tier: t, cost: e.networkCost(r.server), rank: r.rank,
	})
}

// sortByRank puts the servers of each tier in the order in which a gateway prefers to ask them: by a hash, so that each server
// is preferred by some gateways.
func (v *serviceView) sortByRank() {
	for _, tier := range v.tiers {
		slices.SortStableFunc(tier, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	}
}

func slotCount(s Server) int64 { return int64(max(s.Slots, 1)) }

// networkCost is the round trip to a server, by its place.
func (e *Engine) networkCost(s Server) time.Duration {
	switch {
	case e.config.Switches.NoTiers:
		return 0
	case s.Region != e.config.Region:
		return e.config.SpillCost
	case s.FailureDomain != e.config.FailureDomain:
		return e.config.RegionCost
	}
	return 0
}

// isSelectable rules out servers that no query may pick, whatever their load.
func (e *Engine) isSelectable(r *serverRecord) bool {
	if e.domainsOut[r.server.FailureDomain] {
		return false
	}
	switch r.server.State {
	case StateReady:
		return true
	case StateCold:
		return r.server.Owned
	}
	return false
}

func (e *Engine) tier(s Server) int {
	if e.config.Switches.NoTiers || s.FailureDomain == e.config.FailureDomain {
		return tierDomain
	}
	if s.Region == e.config.Region {
		return tierRegion
	}
	return tierOther
}
