package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
	"heatherwall.example/routes"
	"heatherwall.example/routes/transfer"
	"heatherwall.example/telemetry"
)

// Timing of the configuration lease, see section 5.2 of docs/design.md.
const (
	renewInterval  = api.LeaseRenewInterval
	leaseDuration  = api.ConfigurationLease
	replicaTimeout = time.Second
	// replicaBackoff is the delay between attempts, needed when replicas refuse connections immediately.
	replicaBackoff = 100 * time.Millisecond
	// expiryPollInterval is how often the lease is checked in order to log its loss and its return.
	expiryPollInterval = 100 * time.Millisecond
	// gatewayListDelay is the delay between the first confirmation and the next renewal. In this time the control replicas
	// exchange their lists of new gateways, so the list in the next answer contains all gateways that started earlier.
	gatewayListDelay = 300 * time.Millisecond
	// gatewayListTimeout bounds the wait for a complete gateway list when a control replica does not report its gateways.
	gatewayListTimeout = 3 * time.Second
)

// sectionSet holds the sections of the configuration document by name.
type sectionSet map[string]*controlpb.Section

// compileFunc compiles sections into the configuration that the request path uses.
type compileFunc func(sections []*controlpb.Section) (*document.Config, error)

// lease is an immutable snapshot of the confirmed configuration and of the time until which the gateway may serve it.
type lease struct {
	// expires is when the lease ends on the monotonic clock.
	expires  time.Duration
	revision uint64
	// config is nil until a revision has been compiled. It includes the failure domains that operators took out.
	config         *document.Config
	sections       sectionSet
	claimLeaders   map[string]string
	gateways       []*controlpb.GatewayStatus
	gatewaysDigest uint64
	clusterID      uint64
	catalogue      catalogueView
}

// DeltaMismatchError reports a catalogue delta that cannot be applied to the catalogue that the gateway holds.
type DeltaMismatchError struct {
	Base, Index, Held uint64
}

func (e *DeltaMismatchError) Error() string {
	return fmt.Sprintf("catalogue delta from index %d to %d cannot be applied to index %d", e.Base, e.Index, e.Held)
}

// NearerReplicaError ends a session because a nearer control replica is available.
type NearerReplicaError struct{}

func (e *NearerReplicaError) Error() string { return "a nearer control replica is available" }

// ReplicaTimeoutError reports a control replica that did not confirm the configuration within replicaTimeout.
type ReplicaTimeoutError struct {
	Replica string
}

func (e *ReplicaTimeoutError) Error() string {
	return fmt.Sprintf("control replica %s did not confirm the configuration for %s", e.Replica, replicaTimeout)
}

// ReplicaUnreachableError reports a control replica to which no stream could be opened in time.
type ReplicaUnreachableError struct {
	Replica string
}

func (e *ReplicaUnreachableError) Error() string {
	return fmt.Sprintf("no stream to control replica %s within %s", e.Replica, api.OpenTimeout)
}

// leaseClient keeps the configuration lease alive. Run is called once; Current and Valid may be called from any
// goroutine.
type leaseClient struct {
	replicas *replicaList
	dial     dialFunc
	// meter counts the bytes that replicas send.
	meter *byteMeter
	// serveStale is how long the gateway keeps serving after the lease has expired; 0 in document mode.
	serveStale time.Duration
	// takeCrashReports returns the crash counts to report with a renewal, and onCrashTotals receives the totals over all
	// gateways. Both are nil where gateways exchange crash marks by gossip.
	takeCrashReports func() []*controlpb.PoisonReport
	onCrashTotals    func([]*controlpb.PoisonReport)
	// onRoutes is called with each route table that comes into use; it may be nil.
	onRoutes func(*routes.Table)
	compile  compileFunc
	status   func() *controlpb.GatewayStatus
	onChange func(*lease) // called when the configuration, the failure domains taken out or the gateway list changes
	// onGatewaysListed is called once, when the gateway list contains every gateway that started before this one.
	onGatewaysListed func(ctx context.Context)
	clock            clock
	log              *telemetry.Logger
	counters         *telemetry.Metrics

	current atomic.Pointer[lease]
	// routeParts collects the parts of a newer route table, and pending the renewals whose answers named such a table. Only
	// the goroutine of the session uses them.
	routeParts transfer.Receiver
	pending    []pendingConfirmation
	// wantsWholeCatalogue is set while the replicas reached so far do not send the route table that the gateway lacks.
	wantsWholeCatalogue bool
	// configuredLatch opens once the first configuration has been applied to server selection.
	configuredLatch latch
	nonce           uint64
	// firstConfirmedAt is the time of the first confirmed configuration; 0 before it.
	firstConfirmedAt time.Duration
	// gatewaysListed is set once onGatewaysListed has been called.
	gatewaysListed bool
}

// Current returns the newest confirmed lease; its config is nil before the first confirmation.
func (c *leaseClient) Current() *lease {
	if l := c.current.Load(); l != nil {
		return l
	}
	return &lease{}
}

// Configured returns a channel that is closed once there is a configuration.
func (c *leaseClient) Configured() <-chan struct{} { return c.configuredLatch.channel() }

// Valid returns the current lease and whether the gateway may serve with it: it has a configuration that was confirmed at
// least once, and neither the lease nor the serveStale period after it has ended.
func (c *leaseClient) Valid() (*lease, bool) {
	l := c.Current()
	return l, l.isConfigured() && l.expires > 0 && c.clock.now() < l.expires+c.serveStale
}

// Run renews the lease at the nearest replica that answers, until ctx ends.
func (c *leaseClient) Run(ctx context.Context) {
	go c.watchExpiry(ctx)
	for ctx.Err() == nil {
		replica := c.replicas.next(time.Now())
		receivedBefore := c.meter.received.Load()
		err := c.runSession(ctx, replica)
		if ctx.Err() != nil {
			return
		}
		c.counters.Counter("lease_replica_changes", "replica", replica.Name).Inc(1)
		c.log.Log(eventReplicaChanged, telemetry.F("replica", replica.Name), telemetry.F("received_bytes", c.meter.received.Load()-receivedBefore),
			telemetry.F("catalogue", c.Current().catalogue.index), telemetry.F("error", err))
		var nearer *NearerReplicaError
		if errors.As(err, &nearer) {
			continue
		}
		c.replicas.markFailed(replica, time.Now())
		sleep(ctx, replicaBackoff)
	}
}

// watchExpiry logs when the lease becomes valid and when it is lost.
func (c *leaseClient) watchExpiry(ctx context.Context) {
	held := false
	for sleep(ctx, expiryPollInterval) {
		_, valid := c.Valid()
		if held && !valid {
			c.log.Log(eventLeaseLost, telemetry.F("revision", c.Current().revision))
		}
		if !held && valid {
			c.log.Log(eventLeaseGained, telemetry.F("revision", c.Current().revision))
		}
		held = valid
	}
}

// sleep waits for d. It returns false as soon as ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// notifyIfListed calls onGatewaysListed once the gateway list contains every gateway that started earlier. Only answers to
// renewals that were sent at least gatewayListDelay after the first confirmation count; a list that is still incomplete is
// accepted after gatewayListTimeout.
func (c *leaseClient) notifyIfListed(ctx context.Context, sentAt time.Duration, complete bool) {
	switch {
	case c.gatewaysListed || c.Current().config == nil:
	case c.firstConfirmedAt == 0:
		c.firstConfirmedAt = c.clock.now()
	case sentAt >= c.firstConfirmedAt+gatewayListDelay && (complete || c.clock.now() >= c.firstConfirmedAt+gatewayListTimeout):
		c.gatewaysListed = true
		c.onGatewaysListed(ctx)
	}
}

// applyAnswer publishes the configuration that an answer confirms and reports whether the answer was accepted. Answers with
// an older revision or from another cluster are not accepted. The error is a *DeltaMismatchError or *routes.InvalidError.
func (c *leaseClient) applyAnswer(a *controlpb.RenewAnswer, expires time.Duration) (bool, error) {
	old := c.Current()
	if old.clusterID != 0 && a.GetClusterId() != old.clusterID {
		c.log.Log(eventClusterRefused, telemetry.F("cluster_id", a.GetClusterId()))
		return false, nil
	}
	if a.GetRevision() < old.revision {
		c.log.Log(eventRevisionRefused, telemetry.F("revision", a.GetRevision()), telemetry.F("seen", old.revision))
		return false, nil
	}
	next := *old
	next.clusterID = a.GetClusterId()
	next.claimLeaders = a.GetClaimLeaders()
	view, catalogueChanged, err := c.mergeCatalogue(old.catalogue, a)
	if err != nil {
		return false, err
	}
	next.catalogue = view
	next.catalogue.newestRoutes = max(view.newestRoutes, a.GetRoutesVersion())
	c.confirm(&next, pendingConfirmation{routesVersion: a.GetRoutesVersion(), sentAt: expires - leaseDuration})
	if a.GetRevision() == 0 && !next.isConfigured() {
		c.current.Store(&next)
		return true, nil // there is no document, and no route table has arrived yet; that is no failure of the replica
	}
	if a.GetRevision() == 0 {
		// The cluster has no document; the catalogue is the whole configuration.
		next.gateways, next.gatewaysDigest = mergeGateways(old, a)
		c.current.Store(&next)
		if catalogueChanged || next.gatewaysDigest != old.gatewaysDigest {
			c.publish(&next)
		}
		return true, nil
	}
	if err := c.mergeSections(&next, a); err != nil {
		c.log.Log(eventRevisionRefused, telemetry.F("revision", a.GetRevision()), telemetry.F("error", err))
		return false, nil
	}
	changed := mergeLists(&next, a)
	c.current.Store(&next)
	c.counters.Gauge("revision").Update(int64(next.revision))
	if next.revision != old.revision {
		c.log.Log(eventRevisionInUse, telemetry.F("revision", next.revision))
	}
	if changed || next.revision != old.revision || old.config == nil {
		c.onChange(&next)
	}
	c.configuredLatch.open()
	return true, nil
}

// mergeSections applies the changed and removed sections of an answer and compiles the result if anything changed.
func (c *leaseClient) mergeSections(next *lease, a *controlpb.RenewAnswer) error {
	unchanged := len(a.GetSections()) == 0 && len(a.GetRemoved()) == 0 && !a.GetFull()
	if next.config != nil && (unchanged || a.GetRevision() == next.revision) {
		next.revision = a.GetRevision()
		return nil
	}
	merged := sectionSet{}
	if !a.GetFull() {
		maps.Copy(merged, next.sections)
	}
	for _, name := range a.GetRemoved() {
		delete(merged, name)
	}
	for _, s := range a.GetSections() {
		merged[s.GetName()] = s
	}
	sorted := slices.SortedFunc(maps.Values(merged), func(x, y *controlpb.Section) int {
		return strings.Compare(x.GetName(), y.GetName())
	})
	compiled, err := c.compile(sorted)
	if err != nil {
		return err
	}
	next.sections, next.config, next.revision = merged, compiled.WithDomainsOut(configDomainsOut(next.config)), a.GetRevision()
	return nil
}

// mergeLists applies the list of failure domains taken out and the gateway list, and reports whether one of them changed.
func mergeLists(next *lease, a *controlpb.RenewAnswer) bool {
	config := next.config.WithDomainsOut(a.GetDomainsOut())
	changed := !slices.Equal(config.DomainsOut, next.config.DomainsOut)
	next.config = config
	if list, digest := mergeGateways(next, a); digest != next.gatewaysDigest || len(a.GetGateways()) > 0 {
		next.gateways, next.gatewaysDigest = list, digest
		changed = true
	}
	return changed
}

// mergeGateways returns the gateway list after an answer, and its digest. An answer with an unchanged digest has no list.
func mergeGateways(old *lease, a *controlpb.RenewAnswer) ([]*controlpb.GatewayStatus, uint64) {
	if a.GetGatewaysDigest() == old.gatewaysDigest && len(a.GetGateways()) == 0 {
		return old.gateways, old.gatewaysDigest
	}
	return a.GetGateways(), a.GetGatewaysDigest()
}

func configDomainsOut(c *document.Config) []string {
	if c == nil {
		return nil
	}
	return c.DomainsOut
}
