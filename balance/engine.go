package balance

import (
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// Engine holds what one gateway knows for its decisions. Apply, Tick and Notices belong to one owner goroutine;
// Current may be called by any goroutine.
type Engine struct {
	config   Config
	now      time.Duration
	servers  map[string]*record
	services map[string]*serviceLoad
	members  map[string]*memberLoad
	out      map[string]bool
	notices  []Notice
	current  atomic.Pointer[Snapshot]
}

type record struct {
	server Server
	load   *serverLoad
}

// New returns an engine without servers.
func New(c Config) *Engine {
	e := &Engine{
		config:   c.withDefaults(),
		servers:  map[string]*record{},
		services: map[string]*serviceLoad{},
		members:  map[string]*memberLoad{},
		out:      map[string]bool{},
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
	switch ev := ev.(type) {
	case ServerChanged:
		e.change(ev.Server)
	case ServerRemoved:
		delete(e.servers, ev.Address)
	case Configured:
		e.configure(ev)
	case EvidenceSeen:
		e.seen(ev)
		return
	case SendRightRenewed:
		e.renewed(ev)
		return
	case StateReported:
		e.stateReported(ev)
		return
	case Ticked:
		e.Tick(ev.Now)
		return
	}
	e.publish()
}

// Tick advances the engine's clock; call it about every 20 ms.
func (e *Engine) Tick(now time.Duration) {
	e.now = now
}

func (e *Engine) change(s Server) {
	old := e.servers[s.Address]
	if old != nil && s.Incarnation < old.server.Incarnation {
		return
	}
	r := &record{server: s}
	if old != nil && old.server.Incarnation == s.Incarnation {
		r.load = old.load
	} else {
		r.load = &serverLoad{}
	}
	raise(&r.load.evidence, s.Evidence)
	r.load.sendUntil.Store(int64(s.SendUntil))
	e.servers[s.Address] = r
}

func (e *Engine) seen(ev EvidenceSeen) {
	if r := e.servers[ev.Address]; r != nil {
		raise(&r.load.evidence, ev.At)
	}
}

func (e *Engine) renewed(ev SendRightRenewed) {
	if r := e.servers[ev.Address]; r != nil {
		raise(&r.load.sendUntil, ev.Until)
	}
}

func (e *Engine) stateReported(ev StateReported) {
	r := e.servers[ev.Address]
	if r == nil {
		return
	}
	r.load.reported.Store(uint32(ev.State))
	if ev.State <= StateCold {
		raise(&r.load.evidence, ev.At)
	}
}

func (e *Engine) configure(ev Configured) {
	e.out = map[string]bool{}
	for _, d := range ev.DomainsOut {
		e.out[d] = true
	}
	for _, s := range e.services {
		s.limit.Store(0)
	}
	for _, l := range ev.Services {
		e.service(l.Service).limit.Store(int64(l.MaxInFlight))
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

func (e *Engine) service(name string) *serviceLoad {
	if e.services[name] == nil {
		e.services[name] = &serviceLoad{}
	}
	return e.services[name]
}

// publish builds a snapshot; servers are in the order of their addresses.
func (e *Engine) publish() {
	s := &Snapshot{config: e.config, services: map[string]*serviceView{}, members: map[string]*memberLoad{}}
	for name, m := range e.members {
		s.members[name] = m
	}
	addresses := make([]string, 0, len(e.servers))
	for a := range e.servers {
		addresses = append(addresses, a)
	}
	slices.SortFunc(addresses, strings.Compare)
	for _, a := range addresses {
		e.add(s, e.servers[a])
	}
	e.current.Store(s)
}

func (e *Engine) add(s *Snapshot, r *record) {
	v := s.services[r.server.Service]
	if v == nil {
		v = &serviceView{load: e.service(r.server.Service)}
		s.services[r.server.Service] = v
	}
	if !e.mayReceive(r) {
		return
	}
	t := e.tier(r.server)
	v.tiers[t] = append(v.tiers[t], candidate{server: r.server, load: r.load})
}

// mayReceive rules out servers that no query may pick, whatever their load.
func (e *Engine) mayReceive(r *record) bool {
	if e.out[r.server.FailureDomain] {
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
