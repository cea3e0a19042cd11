package control

import (
	"cmp"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"

	"google.golang.org/protobuf/proto"
)

// listedFor is how long a silent gateway stays in the list that gateways receive; it outlives the lease, so that a
// short cut does not take gateways from each other's lists.
const listedFor = 30 * time.Second

// directory knows the gateways of the setup: those that renew here, and those that other replicas report. It is safe
// for use by several goroutines.
type directory struct {
	mu      sync.Mutex
	self    uint64
	own     map[string]seenGateway
	reports map[uint64]seenReport
}

type seenGateway struct {
	status *controlpb.GatewayStatus
	at     time.Time
}

type seenReport struct {
	report *controlpb.ReplicaReport
	at     time.Time
}

func newDirectory(self uint64) *directory {
	return &directory{self: self, own: map[string]seenGateway{}, reports: map[uint64]seenReport{}}
}

// renewed notes a renewal and tells whether the gateway's state differs from the last one, so that it is reported at
// once.
func (d *directory) renewed(s *controlpb.GatewayStatus, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	before, ok := d.own[s.Name]
	d.own[s.Name] = seenGateway{status: s, at: now}
	return !ok || !proto.Equal(before.status, s)
}

// report lists the gateways that may hold a lease from this replica.
func (d *directory) report(revision uint64, claimLeaders map[string]string, now time.Time) *controlpb.ReplicaReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	r := &controlpb.ReplicaReport{Id: d.self, Revision: revision, ClaimLeaders: claimLeaders}
	for name, g := range d.own {
		age := now.Sub(g.at)
		if age > listedFor {
			delete(d.own, name)
			continue
		}
		s := proto.Clone(g.status).(*controlpb.GatewayStatus)
		s.AgeMs = uint64(age.Milliseconds())
		r.Gateways = append(r.Gateways, s)
	}
	slices.SortFunc(r.Gateways, func(a, b *controlpb.GatewayStatus) int { return cmp.Compare(a.Name, b.Name) })
	d.reports[d.self] = seenReport{report: r, at: now}
	return r
}

func (d *directory) takeReport(r *controlpb.ReplicaReport) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.Id != d.self {
		d.reports[r.Id] = seenReport{report: r, at: time.Now()}
	}
}

// gateways returns every gateway heard lately, sorted by name, with its newest known state.
func (d *directory) gateways(now time.Time) []*controlpb.GatewayStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	newest := map[string]*controlpb.GatewayStatus{}
	for _, seen := range d.reports {
		for _, g := range seen.report.Gateways {
			age := time.Duration(g.AgeMs)*time.Millisecond + now.Sub(seen.at)
			if age > listedFor {
				continue
			}
			g = proto.Clone(g).(*controlpb.GatewayStatus)
			g.AgeMs = uint64(age.Milliseconds())
			newest[g.Name] = newerStatus(newest[g.Name], g)
		}
	}
	list := make([]*controlpb.GatewayStatus, 0, len(newest))
	for _, g := range newest {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *controlpb.GatewayStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// newerStatus prefers the higher incarnation, then the higher revision: neither ever goes back.
func newerStatus(a, b *controlpb.GatewayStatus) *controlpb.GatewayStatus {
	if a == nil {
		return b
	}
	order := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Revision, b.Revision), cmp.Compare(b.AgeMs, a.AgeMs))
	if order >= 0 {
		return a
	}
	return b
}

// claimLeaders merges what the replicas report, the newest report of each region last.
func (d *directory) claimLeaders() map[string]string {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make([]seenReport, 0, len(d.reports))
	for _, r := range d.reports {
		seen = append(seen, r)
	}
	slices.SortFunc(seen, func(a, b seenReport) int { return a.at.Compare(b.at) })
	leaders := map[string]string{}
	for _, s := range seen {
		for region, address := range s.report.ClaimLeaders {
			leaders[region] = address
		}
	}
	return leaders
}

// inForce tells whether every gateway has the revision or holds no lease. Each replica that may confirm a configuration
// must have reported after it applied the revision: from then on it confirms nothing older, and its report lists every
// gateway whose lease it confirmed before. Otherwise the caller has to wait for the leases to run out.
func (d *directory) inForce(revision uint64, replicas []uint64, now time.Time) (bool, []string) {
	d.mu.Lock()
	complete := true
	for _, id := range replicas {
		if r, ok := d.reports[id]; !ok || r.report.Revision < revision {
			complete = false
		}
	}
	d.mu.Unlock()
	var waiting []string
	for _, g := range d.gateways(now) {
		leased := time.Duration(g.AgeMs)*time.Millisecond < api.ConfigurationLease+api.LeaseMargin
		if g.Revision < revision && leased {
			waiting = append(waiting, g.Name)
		}
	}
	return complete && len(waiting) == 0, waiting
}

// digestOf identifies a list of gateways by what gossip needs of it.
func digestOf(list []*controlpb.GatewayStatus) uint64 {
	h := fnv.New64a()
	for _, g := range list {
		for _, part := range []string{g.Name, g.Region, g.FailureDomain, g.PeerAddress} {
			h.Write([]byte(part))
			h.Write([]byte{0})
		}
	}
	return h.Sum64()
}
