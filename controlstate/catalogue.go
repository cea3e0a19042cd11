package controlstate

import (
	"cmp"
	"maps"
	"slices"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/routes/transfer"
)

// Limits of the catalogue.
const (
	// MaxTombstones limits the records of servers that have left or were lost; the oldest are dropped first.
	MaxTombstones = 4096
	// MaxPoisonRecords limits the requests whose crashes are counted; those reported longest ago are dropped first.
	MaxPoisonRecords = 1024
)

// catalogue is the part of the configuration that is not in the signed document: a route table, the backend servers
// that report to the control replicas, and the number of crashes that each request caused. Every record carries the log
// index of its last change, so that a gateway at an older index receives only newer records.
type catalogue struct {
	// changedIndex is the log index of the last change of anything in the catalogue.
	changedIndex       uint64
	routes             *controlpb.RouteTable
	routesChangedIndex uint64
	// routeHistory is derived from the tables since the last snapshot, and not part of snapshots.
	routeHistory transfer.History
	servers      map[string]*controlpb.BackendServer
	// idByAddress maps each address to the identifier of the server there.
	idByAddress map[string]string
	// tombstones records removed servers, sorted by log index. It may be incomplete up to the index tombstonesFloor.
	tombstones      []*statepb.GoneServer
	tombstonesFloor uint64
	// poisonCounts holds the crash counts, sorted by the log index of the last report.
	poisonCounts []*statepb.PoisonCount
	quotaSlots   QuotaSlots
}

func newCatalogue() *catalogue {
	return &catalogue{servers: map[string]*controlpb.BackendServer{}, idByAddress: map[string]string{}}
}

// putRoutes replaces the route table if the new one has a higher version.
func (c *catalogue) putRoutes(index uint64, t *controlpb.RouteTable) {
	if c.routes != nil && t.GetVersion() <= c.routes.GetVersion() {
		return
	}
	c.routes, c.routesChangedIndex, c.changedIndex = t, index, index
	c.recordRoutes()
}

// recordRoutes adds the current table to the history. After an error gateways get whole tables, and the error is returned
// to each stream that asks for one.
func (c *catalogue) recordRoutes() { _ = c.routeHistory.Put(c.routes) }

// applyReports applies reports of backend servers in the given order.
func (c *catalogue) applyReports(index uint64, reports []*statepb.ServerReport) {
	for _, r := range reports {
		switch report := r.GetReport().(type) {
		case *statepb.ServerReport_Present:
			c.recordPresent(index, report.Present)
		case *statepb.ServerReport_Ended:
			c.recordEnd(index, report.Ended)
		}
	}
}

// recordPresent records a server unless its report is outdated. It removes a server that was at the same address
// before.
func (c *catalogue) recordPresent(index uint64, s *controlpb.BackendServer) {
	if c.isReportOutdated(s) {
		return
	}
	if other := c.servers[c.idByAddress[s.GetAddress()]]; other != nil && other.GetId() != s.GetId() {
		c.removeServer(index, other, other.GetIncarnation())
	}
	if old := c.servers[s.GetId()]; old != nil {
		delete(c.idByAddress, old.GetAddress())
	}
	s.Changed = index
	c.servers[s.GetId()] = s
	c.idByAddress[s.GetAddress()] = s.GetId()
	c.changedIndex = index
}

// isReportOutdated reports whether a report is superseded by a later report of the server, by the end of its
// incarnation, or by another server that started later at the same address.
func (c *catalogue) isReportOutdated(s *controlpb.BackendServer) bool {
	if old := c.servers[s.GetId()]; old != nil {
		if by := cmp.Compare(s.GetIncarnation(), old.GetIncarnation()); by != 0 {
			return by < 0
		}
		return s.GetSequence() < old.GetSequence()
	}
	if s.GetIncarnation() <= c.highestEndedIncarnation(s.GetId()) {
		return true
	}
	other := c.servers[c.idByAddress[s.GetAddress()]]
	return other != nil && other.GetIncarnation() > s.GetIncarnation()
}

// highestEndedIncarnation returns the highest incarnation of an identifier that has ended and must not return; 0 if
// there is none.
func (c *catalogue) highestEndedIncarnation(id string) uint64 {
	var highest uint64
	for _, g := range c.tombstones {
		if g.GetId() == id {
			highest = max(highest, g.GetIncarnation())
		}
	}
	return highest
}

// recordEnd removes a server. A server that was lost (it stopped reporting) may return with the same incarnation; one
// that left may not.
func (c *catalogue) recordEnd(index uint64, e *statepb.ServerEnd) {
	s := c.servers[e.GetId()]
	switch {
	case s == nil && !e.GetLost():
		c.addTombstone(index, e.GetId(), e.GetIncarnation())
	case s == nil || s.GetIncarnation() > e.GetIncarnation():
	case e.GetLost() && s.GetChanged() == e.GetChanged():
		c.removeServer(index, s, 0)
	case !e.GetLost():
		c.removeServer(index, s, e.GetIncarnation())
	}
}

func (c *catalogue) removeServer(index uint64, s *controlpb.BackendServer, incarnation uint64) {
	delete(c.servers, s.GetId())
	if c.idByAddress[s.GetAddress()] == s.GetId() {
		delete(c.idByAddress, s.GetAddress())
	}
	c.addTombstone(index, s.GetId(), incarnation)
}

func (c *catalogue) addTombstone(index uint64, id string, incarnation uint64) {
	c.tombstones = append(c.tombstones, &statepb.GoneServer{Id: id, Incarnation: incarnation, Changed: index})
	c.changedIndex = index
	if extra := len(c.tombstones) - MaxTombstones; extra > 0 {
		c.tombstonesFloor = c.tombstones[extra-1].GetChanged()
		c.tombstones = slices.Delete(c.tombstones, 0, extra)
	}
}

// addCrashCounts adds reported crashes to the counts of their requests.
func (c *catalogue) addCrashCounts(index uint64, reports []*controlpb.PoisonReport) {
	for _, r := range reports {
		crashes := r.GetCrashes()
		at := slices.IndexFunc(c.poisonCounts, func(p *statepb.PoisonCount) bool {
			return string(p.GetReport().GetFingerprint()) == string(r.GetFingerprint())
		})
		if at >= 0 {
			crashes += c.poisonCounts[at].GetReport().GetCrashes()
			c.poisonCounts = slices.Delete(c.poisonCounts, at, at+1)
		}
		sum := &controlpb.PoisonReport{Fingerprint: r.GetFingerprint(), Crashes: crashes}
		c.poisonCounts = append(c.poisonCounts, &statepb.PoisonCount{Report: sum, Changed: index})
		c.changedIndex = index
	}
	if extra := len(c.poisonCounts) - MaxPoisonRecords; extra > 0 {
		c.poisonCounts = slices.Delete(c.poisonCounts, 0, extra)
	}
}

// deltaSince returns the changes after an index, or nil if there are none. For index 0, and for indexes that the
// tombstones do not cover or that are ahead of this state, it returns the whole catalogue. It leaves out the route table
// unless withRoutes is set.
func (c *catalogue) deltaSince(index uint64, withRoutes bool) *controlpb.CatalogueDelta {
	if index == c.changedIndex {
		return nil
	}
	d := &controlpb.CatalogueDelta{Index: c.changedIndex, Base: index}
	if index < c.tombstonesFloor || index > c.changedIndex {
		d.Base = 0
	}
	if withRoutes && c.routes != nil && c.routesChangedIndex > d.Base {
		d.Routes = withoutSource(c.routes)
	}
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		if s := c.servers[id]; s.GetChanged() > d.Base {
			d.Servers = append(d.Servers, s)
		}
	}
	for _, g := range c.tombstones {
		if d.Base > 0 && g.GetChanged() > d.Base && c.servers[g.GetId()] == nil {
			d.Removed = append(d.Removed, g.GetId())
		}
	}
	for _, p := range c.poisonCounts {
		if p.GetChanged() > d.Base {
			d.Poison = append(d.Poison, p.GetReport())
		}
	}
	c.quotaSlots.addQuotaOwners(d)
	return d
}

// withoutSource copies a route table without the source text of the operator, which gateways do not need.
func withoutSource(t *controlpb.RouteTable) *controlpb.RouteTable {
	return &controlpb.RouteTable{
		Version: t.GetVersion(), Routes: t.GetRoutes(), Services: t.GetServices(), Limits: t.GetLimits(),
		Workspaces: t.GetWorkspaces(), KeysRequired: t.GetKeysRequired(),
	}
}

func (c *catalogue) toMessage() *statepb.Catalogue {
	m := &statepb.Catalogue{
		Routes: c.routes, RoutesChanged: c.routesChangedIndex, Changed: c.changedIndex,
		Gone: c.tombstones, GoneFloor: c.tombstonesFloor, Poison: c.poisonCounts,
	}
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		m.Servers = append(m.Servers, c.servers[id])
	}
	c.quotaSlots.addTo(m)
	return m
}

func restoreCatalogue(m *statepb.Catalogue) *catalogue {
	c := newCatalogue()
	c.routes, c.routesChangedIndex, c.changedIndex = m.GetRoutes(), m.GetRoutesChanged(), m.GetChanged()
	c.tombstones, c.tombstonesFloor, c.poisonCounts = m.GetGone(), m.GetGoneFloor(), m.GetPoison()
	c.quotaSlots = restoreQuotaSlots(m)
	if c.routes != nil {
		c.recordRoutes()
	}
	for _, s := range m.GetServers() {
		c.servers[s.GetId()] = s
		c.idByAddress[s.GetAddress()] = s.GetId()
	}
	return c
}
