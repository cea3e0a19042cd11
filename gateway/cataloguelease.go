package gateway

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/routes"
	"heatherwall.example/telemetry"
)

// catalogueView is the part of a lease that holds the catalogue. It is unused in document mode.
type catalogueView struct {
	// index is the version of the catalogue; 0 before the first catalogue.
	index uint64
	// routes is nil before the first route table; table is its source.
	routes *routes.Table
	table  *controlpb.RouteTable
	// newestRoutes is the highest version of a route table that a replica has named.
	newestRoutes uint64
	// routesConfirmedAt is when the newest renewal was sent whose answer confirmed that routes is current.
	routesConfirmedAt time.Duration
	// servers holds the backend servers by identifier. The map is never modified; a change creates a new one.
	servers map[string]*controlpb.BackendServer
	// domainsOut is sorted.
	domainsOut []string
	// quotaOwners holds the identity of the replica that gives the tokens of each slot of workspaces; empty if none does.
	quotaOwners []uint64
}

// mergeCatalogue applies a catalogue delta and the list of failure domains taken out, and reports whether anything changed.
// It fails if the delta does not start at the index that the gateway holds; the caller then reopens the stream.
func (c *leaseClient) mergeCatalogue(view catalogueView, a *controlpb.RenewAnswer) (next catalogueView, changed bool, err error) {
	next = view
	if d := a.GetCatalogue(); d != nil {
		if next, err = c.applyDelta(view, d); err != nil {
			return view, false, err
		}
		changed = true
	}
	if out := a.GetDomainsOut(); !slices.Equal(out, view.domainsOut) {
		next.domainsOut, changed = out, true
		c.log.Log(eventDomainsOut, telemetry.F("failure_domains", out), telemetry.F("index", next.index))
	}
	return next, changed, nil
}

func (c *leaseClient) applyDelta(view catalogueView, d *controlpb.CatalogueDelta) (catalogueView, error) {
	full := d.GetBase() == 0
	if d.GetIndex() < view.index || (!full && d.GetBase() != view.index) {
		return view, &DeltaMismatchError{Base: d.GetBase(), Index: d.GetIndex(), Held: view.index}
	}
	next := view
	next.index = d.GetIndex()
	next.servers = map[string]*controlpb.BackendServer{}
	if !full && view.servers != nil {
		next.servers = maps.Clone(view.servers)
	}
	for _, s := range d.GetServers() {
		next.servers[s.GetId()] = s
	}
	for _, id := range d.GetRemoved() {
		delete(next.servers, id)
	}
	if t := d.GetRoutes(); t != nil && (view.routes == nil || t.GetVersion() >= view.routes.Version) {
		next = c.useRoutes(next, t)
	}
	if len(d.GetQuotaOwners()) > 0 {
		next.quotaOwners = d.GetQuotaOwners()
	}
	if c.onCrashTotals != nil && len(d.GetPoison()) > 0 {
		c.onCrashTotals(d.GetPoison())
	}
	return next, nil
}

// useRoutes returns the view with a new route table. An invalid one is skipped, because the stream would otherwise be
// reopened again and again; the gateway then counts as outdated until a later version.
func (c *leaseClient) useRoutes(view catalogueView, t *controlpb.RouteTable) catalogueView {
	c.routeParts.Hold(t)
	view.newestRoutes = max(view.newestRoutes, t.GetVersion())
	compiled, err := routes.Compile(t)
	if err != nil {
		c.log.Log(eventRevisionRefused, telemetry.F("version", t.GetVersion()), telemetry.F("index", view.index), telemetry.F("error", err))
		return view
	}
	view.routes, view.table = compiled, t
	if c.onRoutes != nil {
		c.onRoutes(compiled)
	}
	c.log.Log(eventRoutesInUse, telemetry.F("version", t.GetVersion()), telemetry.F("index", view.index),
		telemetry.F("routes", len(t.GetRoutes())), telemetry.F("bytes", proto.Size(t)))
	return view
}

// acceptPush applies a change that a replica pushes between renewals. It does not extend the lease.
func (c *leaseClient) acceptPush(a *controlpb.RenewAnswer) error {
	old := c.Current()
	view, changed, err := c.mergeCatalogue(old.catalogue, a)
	if err != nil {
		return err
	}
	next := *old
	next.catalogue = view
	next.catalogue.newestRoutes = max(view.newestRoutes, a.GetRoutesVersion())
	if !changed {
		c.current.Store(&next)
		return nil
	}
	c.publish(&next)
	return nil
}

// publish makes next the current lease and notifies its users.
func (c *leaseClient) publish(next *lease) {
	c.current.Store(next)
	c.counters.Gauge("catalogue_index").Update(int64(next.catalogue.index))
	c.onChange(next)
	if next.isConfigured() {
		c.configuredLatch.open()
	}
}

// isDomainOut reports whether operators took a failure domain out.
func (l *lease) isDomainOut(domain string) bool {
	if l.config != nil {
		return l.config.IsDomainOut(domain)
	}
	return slices.Contains(l.catalogue.domainsOut, domain)
}

// isConfigured reports whether the lease has a configuration or a route table to serve.
func (l *lease) isConfigured() bool { return l.config != nil || l.catalogue.routes != nil }

// hasCurrentRoutes reports whether no replica has named a newer route table than the one in use.
func (v *catalogueView) hasCurrentRoutes() bool {
	return v.routes != nil && v.routes.Version >= v.newestRoutes
}
