package gateway

import (
	"fmt"
	"slices"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/telemetry"
)

// maxRouteConfirmationAge is the age of the last confirmation of the route table up to which a missing route means that
// the request is not allowed. It exceeds the interval of renewals, so that one late answer changes nothing.
const maxRouteConfirmationAge = 1500 * time.Millisecond

// pendingConfirmation is a confirmed renewal that takes effect once the gateway has the route table that the replica had.
type pendingConfirmation struct {
	routesVersion uint64
	sentAt        time.Duration
}

// acceptRoutePart adds a part of a newer route table. After the last part it puts the table in use, together with the
// renewals that were confirmed meanwhile. The error is a *transfer.PartError.
func (c *leaseClient) acceptRoutePart(part *controlpb.RoutePart) error {
	table, err := c.routeParts.Accept(part)
	if err != nil {
		return err
	}
	c.counters.UnlabeledCounter("route_parts").Inc(1)
	next := *c.Current()
	next.catalogue.newestRoutes = max(next.catalogue.newestRoutes, part.GetVersion())
	if table == nil {
		c.current.Store(&next)
		return nil
	}
	next.catalogue = c.useRoutes(next.catalogue, table)
	c.confirmPending(&next)
	c.publish(&next)
	return nil
}

// confirm extends the lease for a confirmed renewal if the gateway has the route table that the replica had, and otherwise
// remembers the renewal until it has it.
func (c *leaseClient) confirm(next *lease, p pendingConfirmation) {
	if next.catalogue.routes != nil && next.catalogue.routes.Version < p.routesVersion {
		c.log.Log(eventRoutesOutdated, telemetry.F("version", next.catalogue.routes.Version), telemetry.F("newest", p.routesVersion))
	}
	c.addPending(p)
	c.confirmPending(next)
}

// addPending adds a confirmed renewal. Of those that named the same version only the newest is kept. The lowest version is
// never dropped, because its table arrives first.
func (c *leaseClient) addPending(p pendingConfirmation) {
	if n := len(c.pending); n > 0 && c.pending[n-1].routesVersion == p.routesVersion {
		c.pending = c.pending[:n-1]
	}
	if c.pending = append(c.pending, p); len(c.pending) > maxPendingConfirmations {
		c.pending = slices.Delete(c.pending, 1, 2)
	}
}

// confirmPending extends the lease for all confirmed renewals whose route table is in use.
func (c *leaseClient) confirmPending(next *lease) {
	c.pending = slices.DeleteFunc(c.pending, func(p pendingConfirmation) bool {
		if p.routesVersion > 0 && (next.catalogue.routes == nil || next.catalogue.routes.Version < p.routesVersion) {
			return false
		}
		next.expires = max(next.expires, p.sentAt+leaseDuration)
		next.catalogue.routesConfirmedAt = max(next.catalogue.routesConfirmedAt, p.sentAt)
		return true
	})
}

// maxPendingConfirmations limits the versions of route tables for which a confirmed renewal waits.
const maxPendingConfirmations = 64

// mayBeUnknownRoute reports whether a request that no route covers may have one: a replica has named a newer table, or the
// table in use has not been confirmed for a while.
func (l *lease) mayBeUnknownRoute(now time.Duration) bool {
	return !l.catalogue.hasCurrentRoutes() || now-l.catalogue.routesConfirmedAt > maxRouteConfirmationAge
}

// RoutesMissingError reports a replica that does not send route tables in parts, while the gateway lacks a newer table of
// which it knows.
type RoutesMissingError struct {
	Held, Newest uint64
}

func (e *RoutesMissingError) Error() string {
	return fmt.Sprintf("the replica does not send parts of route tables: version %d is in use, %d is the newest", e.Held, e.Newest)
}

// checkRoutesFollow returns a *RoutesMissingError if the replica does not send the route table that the gateway lacks. The
// next session then asks for the whole catalogue.
func (c *leaseClient) checkRoutesFollow(a *controlpb.RenewAnswer) error {
	view := &c.Current().catalogue
	held := max(c.routeParts.Position().GetVersion(), a.GetCatalogue().GetRoutes().GetVersion())
	c.wantsWholeCatalogue = a.GetRoutesVersion() == 0 && held < view.newestRoutes
	if !c.wantsWholeCatalogue {
		return nil
	}
	return &RoutesMissingError{Held: held, Newest: view.newestRoutes}
}

// catalogueIndex returns the index that the next renewal names: that of the catalogue in use, or 0 to get all of it.
func (c *leaseClient) catalogueIndex() uint64 {
	if c.wantsWholeCatalogue {
		return 0
	}
	return c.Current().catalogue.index
}
