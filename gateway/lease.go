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
	"heatherwall.example/telemetry"
)

// Timing of the configuration lease, see section 5.2 of docs/design.md.
const (
	renewInterval  = api.LeaseRenewInterval
	leaseDuration  = api.ConfigurationLease
	replicaTimeout = time.Second
	// replicaBackoff separates attempts when replicas refuse connections at once.
	replicaBackoff = 100 * time.Millisecond
	// expiryPollInterval is the time between two looks at the lease for the log.
	expiryPollInterval = 100 * time.Millisecond
	// gatewayListDelay follows the first confirmation. In this time the control replicas tell each other of new gateways, so the
	// list in the next answer holds all that started before.
	gatewayListDelay = 300 * time.Millisecond
	// gatewayListTimeout bounds the wait for a control replica that does not report.
	gatewayListTimeout = 3 * time.Second
)

// sectionSet holds the texts of the document's sections by name.
type sectionSet map[string]*controlpb.Section

// compileFunc turns sections into what the request path uses.
type compileFunc func(sections []*controlpb.Section) (*document.Config, error)

// lease is one confirmed state of the configuration. It is immutable.
type lease struct {
	// expires is the end of the right to serve.
	expires  time.Duration
	revision uint64
	// config is nil until a revision has been compiled; it includes the failure domains that are out.
	config         *document.Config
	sections       sectionSet
	claimLeaders   map[string]string
	gateways       []*controlpb.GatewayStatus
	gatewaysDigest uint64
	clusterID      uint64
	catalogue      catalogueView
}

// DeltaMismatchError reports a difference that does not fit to the catalogue that the gateway holds.
type DeltaMismatchError struct {
	Base, Index, Held uint64
}

func (e *DeltaMismatchError) Error() string {
	return fmt.Sprintf("catalogue from index %d to %d does not fit to index %d", e.Base, e.Index, e.Held)
}

// NearerReplicaError ends a session because a nearer control replica can be asked.
type NearerReplicaError struct{}

func (e *NearerReplicaError) Error() string { return "a nearer control replica is known" }

// ReplicaTimeoutError reports a control replica that did not answer in time.
type ReplicaTimeoutError struct {
	Replica string
}

func (e *ReplicaTimeoutError) Error() string {
	return fmt.Sprintf("control replica %s was silent for %s", e.Replica, replicaTimeout)
}

// ReplicaUnreachableError reports a control replica to which no connection could be opened in time.
type ReplicaUnreachableError struct {
	Replica string
}

func (e *ReplicaUnreachableError) Error() string {
	return fmt.Sprintf("no connection to control replica %s within %s", e.Replica, api.ConnectTimeout)
}

// leaseClient keeps the configuration lease alive. Run is called once; Current and Valid may be called from any
// goroutine.
type leaseClient struct {
	replicas *replicaList
	dial     dialFunc
	// serveStale is how long the gateway serves after the lease has run out; 0 in setups with a document.
	serveStale time.Duration
	// takePoison returns the crash counts to report with a renewal, and onPoison takes those of all gateways; nil where
	// gateways tell each other.
	takePoison func() []*controlpb.PoisonReport
	onPoison   func([]*controlpb.PoisonReport)
	compile    compileFunc
	status     func() *controlpb.GatewayStatus
	onChange   func(*lease) // called after a change of the configuration, the failure domains out or the gateway list
	// onGatewaysListed is called once, when the gateway list holds every gateway that started before this one.
	onGatewaysListed func(ctx context.Context)
	clock            clock
	log              *telemetry.Logger
	counters         *telemetry.Metrics

	current atomic.Pointer[lease]
	// configuredLatch opens with the first configuration, when the selection of servers knows it.
	configuredLatch latch
	nonce           uint64
	// confirmed is the time of the first confirmed configuration; 0 before it.
	confirmed time.Duration
	listed    bool
}

// Current returns the newest confirmed state; its config is nil before the first confirmation.
func (c *leaseClient) Current() *lease {
	if l := c.current.Load(); l != nil {
		return l
	}
	return &lease{}
}

// Configured is closed once there is a configuration.
func (c *leaseClient) Configured() <-chan struct{} { return c.configuredLatch.channel() }

// Valid returns the configuration if the right to serve has not run out.
func (c *leaseClient) Valid() (*lease, bool) {
	l := c.Current()
	return l, l.isConfigured() && c.clock.now() < l.expires+c.serveStale
}

// Run renews the lease until ctx ends, at the nearest replica that answers.
func (c *leaseClient) Run(ctx context.Context) {
	go c.watchExpiry(ctx)
	for ctx.Err() == nil {
		peer := c.replicas.next(time.Now())
		err := c.runSession(ctx, peer)
		if ctx.Err() != nil {
			return
		}
		c.counters.Counter("lease_replica_changes", "replica", peer.Name).Inc(1)
		c.log.Log(eventReplicaChanged, telemetry.F("replica", peer.Name), telemetry.F("error", err))
		var nearer *NearerReplicaError
		if errors.As(err, &nearer) {
			continue
		}
		c.replicas.markFailed(peer, time.Now())
		sleep(ctx, replicaBackoff)
	}
}

// watchExpiry logs the transitions between a valid and a lost lease.
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

// sleep waits for d and reports whether ctx is still alive.
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

// notifyIfListed calls onGatewaysListed after the answer to a renewal that was sent gatewayListDelay after the first confirmation, once the
// list holds every gateway that started before.
func (c *leaseClient) notifyIfListed(ctx context.Context, sentAt time.Duration, complete bool) {
	switch {
	case c.listed || c.Current().config == nil:
	case c.confirmed == 0:
		c.confirmed = c.clock.now()
	case sentAt >= c.confirmed+gatewayListDelay && (complete || c.clock.now() >= c.confirmed+gatewayListTimeout):
		c.listed = true
		c.onGatewaysListed(ctx)
	}
}

// applyAnswer publishes a confirmed configuration. It never goes back to an older revision or to another setup. The error is
// a *DeltaMismatchError or *routes.InvalidError.
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
	next.expires = max(old.expires, expires)
	next.claimLeaders = a.GetClaimLeaders()
	view, catalogueChanged, err := c.mergeCatalogue(old.catalogue, a)
	if err != nil {
		return false, err
	}
	next.catalogue = view
	if a.GetRevision() == 0 && !next.isConfigured() {
		return true, nil // the setup has nothing to serve yet, and the replica is not to blame
	}
	if a.GetRevision() == 0 {
		// The setup has no document: the catalogue is all that is served.
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

// mergeSections applies the difference and compiles the result if anything changed.
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

// mergeLists takes over the failure domains out and the gateway list; it reports whether one of them changed.
func mergeLists(next *lease, a *controlpb.RenewAnswer) bool {
	config := next.config.WithDomainsOut(a.GetDomainsOut())
	changed := !slices.Equal(config.DomainsOut, next.config.DomainsOut)
	next.config = config
	if list, hash := mergeGateways(next, a); hash != next.gatewaysDigest || len(a.GetGateways()) > 0 {
		next.gateways, next.gatewaysDigest = list, hash
		changed = true
	}
	return changed
}

// mergeGateways returns the gateway list after an answer, with its digest.
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
