package balance

import (
	"sync/atomic"
	"time"
)

// Engine holds the state from which one gateway selects servers. Only the owner goroutine may call Apply, Tick and
// Notices; any goroutine may call Current.
type Engine struct {
	config     Config
	now        time.Duration
	servers    map[string]*serverRecord
	services   map[string]*serviceLoad
	members    map[string]*memberLoad
	domainsOut map[string]bool
	departures departures
	notices    []Notice
	current    atomic.Pointer[Snapshot]

	byService      map[string][]*serverRecord
	serviceNames   []string
	usageByService map[string]serviceUsage
	lastDecay      time.Duration
	// sinceDecay is the time between the last two decays.
	sinceDecay time.Duration
	// countedAttempts holds the first attempts of each service that its request rate includes.
	countedAttempts map[string]uint64
	// workTimes is scratch space of updateTypical.
	workTimes []float64
}

// serverRecord is the owner goroutine's state of one server.
type serverRecord struct {
	server   Server
	load     *serverLoad
	probed   bool
	probedAt time.Duration
	// rank orders the servers that this gateway probes; lower ranks come first.
	rank uint64
}

// serviceUsage records when a service last received a request.
type serviceUsage struct {
	firstAttempts uint64
	lastUsed      time.Duration
	used          bool
}

// New returns an engine without servers.
func New(c Config) *Engine {
	e := &Engine{
		config:          c.withDefaults(),
		servers:         map[string]*serverRecord{},
		services:        map[string]*serviceLoad{},
		members:         map[string]*memberLoad{},
		domainsOut:      map[string]bool{},
		usageByService:  map[string]serviceUsage{},
		countedAttempts: map[string]uint64{},
	}
	e.publish()
	return e
}

// Current returns the newest snapshot.
func (e *Engine) Current() *Snapshot { return e.current.Load() }

// Notices returns the notices added since the last call.
func (e *Engine) Notices() []Notice {
	n := e.notices
	e.notices = nil
	return n
}

// Apply handles one event. It publishes a new snapshot if the event changes the snapshot's structure.
func (e *Engine) Apply(ev Event) {
	if e.handle(ev) {
		e.publish()
	}
}

// ApplyAll handles several events and publishes at most one snapshot, because building a snapshot visits every server.
func (e *Engine) ApplyAll(events []Event) {
	changed := false
	for _, ev := range events {
		changed = e.handle(ev) || changed
	}
	if changed {
		e.publish()
	}
}

// handle applies an event and reports whether it changes the snapshot's structure.
func (e *Engine) handle(ev Event) bool {
	switch ev := ev.(type) {
	case ServerChanged:
		e.updateServer(ev.Server)
	case ServerRemoved:
		e.removeServer(ev.Address)
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

// removeServer removes a server and remembers what it said of itself.
func (e *Engine) removeServer(address string) {
	if r := e.servers[address]; r != nil {
		e.departures.add(r)
		delete(e.servers, address)
	}
}

// updateServer adds or replaces a server and ignores older incarnations. The load is kept unless the incarnation rises or
// the server is another one. A cold start reported in a response is valid until the server announces a newer state; that it
// leaves is final for its incarnation.
func (e *Engine) updateServer(s Server) {
	old := e.servers[s.Address]
	if old != nil && s.Incarnation < old.server.Incarnation {
		return
	}
	r := &serverRecord{server: s, rank: rendezvousHash(s.ID, e.config.Name)}
	if old != nil && incarnationOf(old.server) != incarnationOf(s) {
		e.removeServer(s.Address)
		old = nil
	}
	if old != nil {
		r.load = old.load
		e.applyStateChange(r, old.server)
	} else if d, ok := e.departures.take(s); ok {
		r.load = d.load
		e.applyStateChange(r, d.server)
	} else {
		r.load = &serverLoad{seed: r.rank}
	}
	r.load.evidenceAt.raise(s.EvidenceAt)
	r.load.sendUntil.store(s.SendUntil)
	e.servers[s.Address] = r
}

// applyStateChange updates the kept load of a server after a newer announcement or a change of its state.
func (e *Engine) applyStateChange(r *serverRecord, old Server) {
	if r.server.Sequence > old.Sequence || r.server.State != StateReady {
		r.load.reportedState.Store(uint32(StateReady))
	}
	if r.server.State == StateCold && old.State != StateCold {
		r.load.cold.resetLimit(e.now)
		r.load.latency.reset()
		r.load.cold.fallbackLearnedAt = 0
		if r.server.Sequence == old.Sequence { // inferred from behaviour; a cold start that the server announces raises its sequence
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
	if r == nil || ev.Incarnation != 0 && ev.Incarnation != r.server.Incarnation {
		return
	}
	if ev.Slots > 0 {
		r.load.report.add(ev.At, int64(ev.InFlight), r.load.inFlight.Load())
	}
	if ev.State > StateCold {
		r.load.record(ev.At, Statement{Leaving: true})
		return
	}
	r.load.reportedState.Store(uint32(ev.State))
	r.load.evidenceAt.raise(ev.At)
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

// setDomainsOut replaces the failure domains that are out, and starts the gradual return of servers whose failure domain
// is no longer out.
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

// ensureService returns the load of a service and creates it on first use.
func (e *Engine) ensureService(name string) *serviceLoad {
	if e.services[name] == nil {
		e.services[name] = &serviceLoad{}
	}
	return e.services[name]
}

// publish builds a snapshot and makes it the current one.
func (e *Engine) publish() {
	s := &Snapshot{config: e.config, services: map[string]*serviceView{}, members: map[string]*memberLoad{}, byAddress: make(map[string]*candidate, len(e.servers))}
	for name, m := range e.members {
		s.members[name] = m
	}
	e.indexByService()
	for _, name := range e.serviceNames {
		s.services[name] = e.buildView(name, s.byAddress)
	}
	e.current.Store(s)
}

// buildView builds the view of a service and adds its servers to byAddress. The candidates of all tiers share one array,
// which is as large as needed: a gateway builds hundreds of views while servers start.
func (e *Engine) buildView(name string, byAddress map[string]*candidate) *serviceView {
	v := &serviceView{load: e.ensureService(name)}
	records := e.byService[name]
	all := make([]candidate, 0, len(records))
	for t := range tierCount {
		begin := len(all)
		for _, r := range records {
			if e.tier(r.server) == t && e.isSelectable(r) {
				all = append(all, e.candidate(r, t))
				byAddress[r.server.Address] = &all[len(all)-1]
			}
		}
		v.tiers[t] = all[begin:len(all):len(all)]
	}
	for _, r := range records {
		if byAddress[r.server.Address] == nil { // listed, but no query may pick it
			c := e.candidate(r, e.tier(r.server))
			byAddress[r.server.Address] = &c
		}
	}
	return v
}

func (e *Engine) candidate(r *serverRecord, tier int) candidate {
	return candidate{server: r.server, load: r.load, slots: slotCount(r.server), tier: tier, cost: e.networkCost(r.server)}
}

func slotCount(s Server) int64 { return int64(max(s.Slots, 1)) }

// networkCost returns the configured cost of a request to the server's location: the own failure domain, the own region,
// or another region.
func (e *Engine) networkCost(s Server) time.Duration {
	switch {
	case e.config.Switches.NoTiers:
		return 0
	case s.Region != e.config.Region:
		return e.config.SpillCost
	case s.FailureDomain != e.config.FailureDomain:
		return e.config.DomainCost
	}
	return 0
}

// isSelectable reports whether any query may pick the server, regardless of its load.
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
