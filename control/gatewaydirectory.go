package control

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"

	"google.golang.org/protobuf/proto"
)

// gatewayListRetention is how long a silent gateway stays in the list that gateways receive. It is longer than the
// lease, so that a short network partition does not remove gateways from each other's lists.
const gatewayListRetention = 30 * time.Second

// gatewayDirectory holds the state of the gateways of the cluster: those that renew at this replica, and those that
// other replicas report. It is safe for concurrent use.
//
// Invariant, on which checkInForce depends: a view with revision R lists every gateway whose lease that replica
// confirmed before it applied R, until the gateway has been silent for gatewayListRetention. Therefore a gateway is
// recorded before its renewal is confirmed, a delta report is applied only to exactly the state that it is based on,
// and only a full report replaces a view. The age of a gateway is never inferred: each report contains the ages of all
// gateways.
type gatewayDirectory struct {
	mu   sync.Mutex
	self uint64
	// started is when this process started. The process does not know the leases that an earlier process confirmed.
	started time.Time
	// views holds the view of each replica by replica ID; own is the view of this replica.
	views map[uint64]*replicaView
	own   *replicaView
	// changedVersions holds the version of the last change of each own gateway, which is one that renews here.
	changedVersions map[string]uint64
	// minDeltaBase is the version of the last change that a delta report cannot express; a report to a replica that has
	// acknowledged only an older version is full.
	minDeltaBase uint64
	// firstSeen holds when each own gateway first renewed with its current incarnation; newGatewayAt is when a new gateway
	// last appeared at any replica.
	firstSeen    map[string]time.Time
	newGatewayAt time.Time
}

const (
	// frequentReportPeriod is how long a replica reports at every tick after a new gateway has appeared, so that gateways
	// that start at the same time receive each other's addresses before they serve.
	frequentReportPeriod = 500 * time.Millisecond
	// maxReportTransit is an upper bound for the time between building a report and its arrival: a report that arrives
	// later than this after an event was built after the event.
	maxReportTransit = 150 * time.Millisecond
)

// replicaView is the state of one replica and of the gateways that renew there, from its newest report.
type replicaView struct {
	revision uint64
	// version is at least 1; stream is the stream that delivered the report of another replica.
	version      uint64
	stream       *reportStream
	claimLeaders map[string]string
	gateways     map[string]gatewayState
	reportedAt   time.Time
}

type gatewayState struct {
	status *controlpb.GatewayStatus
	// renewedAt is when the gateway last renewed.
	renewedAt time.Time
}

// reportStream is the receiver's state for the reports on one stream.
type reportStream struct {
	// senderID is the replica ID in the last full report.
	senderID uint64
	// heldVersion is the version that the directory holds from this stream; 0 if the next report has to be full.
	heldVersion uint64
}

// newGatewayDirectory returns an empty directory; started is when the process started.
func newGatewayDirectory(self uint64, started time.Time) *gatewayDirectory {
	own := &replicaView{version: 1, gateways: map[string]gatewayState{}}
	return &gatewayDirectory{
		self: self, started: started, own: own,
		views: map[uint64]*replicaView{self: own}, changedVersions: map[string]uint64{}, minDeltaBase: 1, firstSeen: map[string]time.Time{},
	}
}

// recordRenewal records a renewal. It reports whether the gateway's state has changed since its last renewal; the
// change must then be reported to the other replicas immediately.
func (d *gatewayDirectory) recordRenewal(s *controlpb.GatewayStatus, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, ok := d.own.gateways[s.Name]
	if !ok || before.status.GetIncarnation() != s.GetIncarnation() {
		d.firstSeen[s.Name], d.newGatewayAt = now, now
	}
	d.own.gateways[s.Name] = gatewayState{status: s, renewedAt: now}
	if ok && proto.Equal(before.status, s) {
		return false
	}
	d.own.version++
	d.changedVersions[s.Name] = d.own.version
	return true
}

// refresh updates the state of this replica for the next reports, and deletes gateways that have been silent for longer
// than gatewayListRetention.
func (d *gatewayDirectory) refresh(revision uint64, claimLeaders map[string]string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	full := !maps.Equal(claimLeaders, d.own.claimLeaders)
	for name, g := range d.own.gateways {
		if now.Sub(g.renewedAt) > gatewayListRetention {
			delete(d.own.gateways, name)
			delete(d.changedVersions, name)
			delete(d.firstSeen, name)
			full = true
		}
	}
	if full {
		d.own.version++
		d.minDeltaBase = d.own.version
	}
	if now.Sub(d.started) < api.ConfigurationLease+api.LeaseMargin {
		// Leases that an earlier process confirmed may still be valid, and their gateways are not listed here.
		revision = 0
	}
	d.own.revision, d.own.claimLeaders, d.own.reportedAt = revision, claimLeaders, now
}

// buildReport returns a report of the changes since base, the last version that the receiver has acknowledged on its
// stream. The report is full if base is too old for a delta.
func (d *gatewayDirectory) buildReport(base uint64, now time.Time) *controlpb.ReplicaReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &controlpb.ReplicaReport{Revision: d.own.revision, Version: d.own.version}
	if base < d.minDeltaBase {
		r.Id, r.ClaimLeaders = d.self, d.own.claimLeaders
	} else {
		r.Base = base
	}
	for _, name := range slices.Sorted(maps.Keys(d.own.gateways)) {
		g := d.own.gateways[name]
		r.AgesMs = append(r.AgesMs, uint32(max(0, now.Sub(g.renewedAt)).Milliseconds()))
		if r.Base == 0 || d.changedVersions[name] > r.Base {
			r.Gateways = append(r.Gateways, g.status)
		}
	}
	return r
}

// applyReport applies a report of another replica. A delta whose base the directory does not hold from the same stream
// is ignored; the acknowledgement then requests a full report.
func (d *gatewayDirectory) applyReport(stream *reportStream, r *controlpb.ReplicaReport, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Base == 0 {
		stream.senderID = r.Id
	}
	stream.heldVersion = 0
	if stream.senderID == d.self {
		return
	}
	view := d.views[stream.senderID].withReport(stream, r, now)
	if view == nil {
		return
	}
	if view.hasNewGateway(d.views[stream.senderID]) {
		d.newGatewayAt = now
	}
	d.views[stream.senderID] = view
	stream.heldVersion = view.version
}

// hasNewGateway reports whether the view lists a gateway that the earlier view, which may be nil, does not.
func (v *replicaView) hasNewGateway(earlier *replicaView) bool {
	for name := range v.gateways {
		if earlier == nil {
			return true
		}
		if _, ok := earlier.gateways[name]; !ok {
			return true
		}
	}
	return false
}

// hasRecentNewGateway reports whether a new gateway has appeared within frequentReportPeriod, so that reports are due at
// every tick.
func (d *gatewayDirectory) hasRecentNewGateway(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.newGatewayAt) < frequentReportPeriod
}

// isListComplete reports whether the list of gateways contains every gateway that renewed at any replica before the
// given gateway first renewed here, because each other replica has reported since. A replica that has not reported for
// the duration of a lease has no gateways that may serve.
func (d *gatewayDirectory) isListComplete(gateway string, replicas []uint64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := d.firstSeen[gateway].Add(maxReportTransit)
	for _, id := range replicas {
		if id == d.self {
			continue
		}
		v := d.views[id]
		silent := v != nil && now.Sub(v.reportedAt) > api.ConfigurationLease+api.LeaseMargin
		if !silent && (v == nil || v.reportedAt.Before(since)) {
			return false
		}
	}
	return true
}

// withReport returns the view after a report, or nil if the report is a delta on another base or its ages do not match
// its gateways. v may be nil.
func (v *replicaView) withReport(stream *reportStream, r *controlpb.ReplicaReport, now time.Time) *replicaView {
	next := &replicaView{revision: r.Revision, version: r.Version, stream: stream, claimLeaders: r.ClaimLeaders, gateways: map[string]gatewayState{}, reportedAt: now}
	if r.Base != 0 {
		if v == nil || v.stream != stream || v.version < r.Base || v.version > r.Version {
			return nil
		}
		next.claimLeaders = v.claimLeaders
		next.gateways = maps.Clone(v.gateways)
	}
	for _, s := range r.Gateways {
		next.gateways[s.Name] = gatewayState{status: s}
	}
	if len(next.gateways) != len(r.AgesMs) {
		return nil
	}
	for i, name := range slices.Sorted(maps.Keys(next.gateways)) {
		age := time.Duration(r.AgesMs[i]) * time.Millisecond
		next.gateways[name] = gatewayState{status: next.gateways[name].status, renewedAt: now.Add(-age)}
	}
	return next
}

// listLocked returns every gateway that renewed within gatewayListRetention, sorted by name, with its newest known
// state. The caller holds mu.
func (d *gatewayDirectory) listLocked(now time.Time) []gatewayState {
	newest := map[string]gatewayState{}
	for _, view := range d.views {
		for name, g := range view.gateways {
			if now.Sub(g.renewedAt) > gatewayListRetention {
				continue
			}
			if other, ok := newest[name]; !ok || g.isNewer(other) {
				newest[name] = g
			}
		}
	}
	return slices.SortedFunc(maps.Values(newest), func(a, b gatewayState) int { return cmp.Compare(a.status.Name, b.status.Name) })
}

// list is listLocked for callers that do not hold mu.
func (d *gatewayDirectory) list(now time.Time) []gatewayState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked(now)
}

// gatewayStatuses returns the listed gateways as messages with their current age.
func (d *gatewayDirectory) gatewayStatuses(now time.Time) []*controlpb.GatewayStatus {
	return statusMessages(d.list(now), now)
}

// gatewaysIfChanged returns the digest of the list of gateways, and the list itself if the digest differs from known.
func (d *gatewayDirectory) gatewaysIfChanged(known uint64, now time.Time) (uint64, []*controlpb.GatewayStatus) {
	listed := d.list(now)
	digest := gatewayListDigest(listed)
	if digest == known {
		return digest, nil
	}
	return digest, statusMessages(listed, now)
}

func statusMessages(listed []gatewayState, now time.Time) []*controlpb.GatewayStatus {
	list := make([]*controlpb.GatewayStatus, len(listed))
	for i, g := range listed {
		list[i] = proto.Clone(g.status).(*controlpb.GatewayStatus)
		list[i].AgeMs = uint64(max(0, now.Sub(g.renewedAt)).Milliseconds())
	}
	return list
}

// isNewer compares the incarnation, then the revision, then the time of renewal. Incarnation and revision never
// decrease.
func (g gatewayState) isNewer(other gatewayState) bool {
	a, b := g.status, other.status
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision), g.renewedAt.Compare(other.renewedAt)) > 0
}

// claimLeaders returns the leader address of each region's claim group. If several replicas report one, the newest
// report counts.
func (d *gatewayDirectory) claimLeaders() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	views := slices.SortedFunc(maps.Values(d.views), func(a, b *replicaView) int { return a.reportedAt.Compare(b.reportedAt) })
	leaders := map[string]string{}
	for _, v := range views {
		maps.Copy(leaders, v.claimLeaders)
	}
	return leaders
}

// checkInForce reports whether every gateway has the revision or holds no lease, and returns the gateways that still
// hold a lease on an older revision. Each replica that may confirm a configuration must have reported after it applied
// the revision: from then on it confirms nothing older, and its report lists every gateway whose lease it confirmed
// before. Otherwise the caller has to wait until the leases expire.
func (d *gatewayDirectory) checkInForce(revision uint64, replicas []uint64, now time.Time) (bool, []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	complete := true
	for _, id := range replicas {
		if v, ok := d.views[id]; !ok || v.revision < revision {
			complete = false
		}
	}
	var waiting []string
	for _, g := range d.listLocked(now) {
		leased := now.Sub(g.renewedAt) < api.ConfigurationLease+api.LeaseMargin
		if g.status.Revision < revision && leased {
			waiting = append(waiting, g.status.Name)
		}
	}
	return complete && len(waiting) == 0, waiting
}

// gatewayListDigest returns a hash of the fields of the gateways that gossip and relays need.
func gatewayListDigest(list []gatewayState) uint64 {
	h := fnv.New64a()
	for _, g := range list {
		for _, part := range []string{g.status.Name, g.status.Region, g.status.FailureDomain, g.status.PeerAddress, g.status.RelayAddress} {
			h.Write([]byte(part))
			h.Write([]byte{0})
		}
		if g.status.RelayAddress != "" {
			fmt.Fprint(h, g.status.Draining, g.status.ServersUnreachable)
		}
	}
	return h.Sum64()
}
