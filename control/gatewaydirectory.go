package control

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"

	"google.golang.org/protobuf/proto"
)

// listedFor is how long a silent gateway stays in the list that gateways receive; it outlives the lease, so that a
// short cut does not take gateways from each other's lists.
const gatewayListRetention = 30 * time.Second

// directory knows the gateways of the setup: those that renew here, and those that other replicas report. It is safe
// for use by several goroutines.
//
// Invariant, on which inForce rests: a view with revision R lists every gateway whose lease that replica confirmed
// before it applied R, until the gateway has been silent for listedFor. Therefore a gateway is noted before its renewal
// is confirmed, a difference is taken only on top of the very state that it builds on, and a view is replaced only by a
// full report. The age of a gateway is never inferred: each report carries the ages of all gateways.
type gatewayDirectory struct {
	mu   sync.Mutex
	self uint64
	// started is when this process, which knows no earlier lease, started.
	started time.Time
	// views holds what each replica knows, by identity; own is that of this replica.
	views map[uint64]*replicaView
	own   *replicaView
	// changed holds the version of the last change of each own gateway.
	changedVersions map[string]uint64
	// whole is the version of the last change that a difference cannot express; reports on an older base are full.
	minDeltaBase uint64
	// firstSeen holds when each own gateway renewed first, and freshAt when a gateway of any replica was new.
	firstSeen    map[string]time.Time
	newGatewayAt time.Time
}

const (
	// freshFor is how long the replicas report at every tick after a gateway has appeared, so that gateways which start
	// at the same time hear of each other before they serve.
	frequentReportPeriod = 500 * time.Millisecond
	// reportTravel is longer than a report travels: one that arrives later than this after a moment was made after it.
	maxReportTransit = 150 * time.Millisecond
)

// replicaView is what one replica knows of its gateways.
type replicaView struct {
	revision uint64
	// version is 1 or higher; stream is where the reports of another replica come from.
	version      uint64
	stream       *reportStream
	claimLeaders map[string]string
	gateways     map[string]gatewayState
	reportedAt   time.Time
}

type gatewayState struct {
	status *controlpb.GatewayStatus
	// at is when the gateway renewed last.
	renewedAt time.Time
}

// reportStream is the receiving end of the reports of one stream.
type reportStream struct {
	// id of the sender, from its last full report.
	senderID uint64
	// held is the version that the directory holds from this stream; 0 if the next report has to be full.
	heldVersion uint64
}

// newDirectory returns an empty directory; started is when the process started.
func newGatewayDirectory(self uint64, started time.Time) *gatewayDirectory {
	own := &replicaView{version: 1, gateways: map[string]gatewayState{}}
	return &gatewayDirectory{
		self: self, started: started, own: own,
		views: map[uint64]*replicaView{self: own}, changedVersions: map[string]uint64{}, minDeltaBase: 1, firstSeen: map[string]time.Time{},
	}
}

// renewed notes a renewal and tells whether the gateway's state differs from the last one, so that it is reported at
// once.
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

// refresh sets what the reports that follow say of this replica, and forgets gateways that have been silent for long.
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
		// Leases that an earlier process confirmed may still run, and their gateways are not listed here.
		revision = 0
	}
	d.own.revision, d.own.claimLeaders, d.own.reportedAt = revision, claimLeaders, now
}

// report tells another replica what changed here after base, the last version that it acknowledged on this stream.
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

// takeReport takes a report of another replica. A difference whose base is not what the directory holds from the same
// stream is not taken; the acknowledgement then asks for a full report.
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

// hasNew tells whether the view lists a gateway that an earlier one did not.
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

// isFresh tells whether a gateway has appeared lately, so that reports are due at every tick.
func (d *gatewayDirectory) hasRecentNewGateway(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Sub(d.newGatewayAt) < frequentReportPeriod
}

// isComplete tells whether the list of gateways holds every gateway that renewed anywhere before one of this replica
// renewed first: each other replica has reported since. A replica without a report for the length of a lease has no
// gateways that may serve.
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

// with returns the view after a report, or nil if the report does not fit.
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

// listed returns every gateway heard lately, sorted by name, with its newest known state. The caller holds mu.
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

// snapshot is listed for callers that do not hold mu.
func (d *gatewayDirectory) list(now time.Time) []gatewayState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listLocked(now)
}

// gateways returns what listed returns, as messages with the present age.
func (d *gatewayDirectory) gatewayStatuses(now time.Time) []*controlpb.GatewayStatus {
	return statusMessages(d.list(now), now)
}

// gatewaysUnless returns the digest of the list of gateways, and the list itself unless the digest is the known one.
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

// isNewer prefers the higher incarnation, then the higher revision: neither ever goes back.
func (g gatewayState) isNewer(other gatewayState) bool {
	a, b := g.status, other.status
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision), g.renewedAt.Compare(other.renewedAt)) > 0
}

// claimLeaders merges what the replicas report, the newest report of each region last.
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

// inForce tells whether every gateway has the revision or holds no lease. Each replica that may confirm a configuration
// must have reported after it applied the revision: from then on it confirms nothing older, and its report lists every
// gateway whose lease it confirmed before. Otherwise the caller has to wait for the leases to run out.
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

// digestOf identifies a list of gateways by what gossip needs of it.
func gatewayListDigest(list []gatewayState) uint64 {
	h := fnv.New64a()
	for _, g := range list {
		for _, part := range []string{g.status.Name, g.status.Region, g.status.FailureDomain, g.status.PeerAddress} {
			h.Write([]byte(part))
			h.Write([]byte{0})
		}
	}
	return h.Sum64()
}
