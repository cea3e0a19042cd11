package gateway

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/settings"
)

// failedReplicaCooldown is how long a replica that failed is not preferred to one that answers.
const failedReplicaCooldown = 10 * time.Second

// replicaList orders the control replicas that the gateway may renew at. It is safe for use by several goroutines.
type replicaList struct {
	// listed is the fixed list of the settings, the nearest first; empty with discovery.
	listed []settings.Replica
	// name of the gateway; it decides between replicas that are equally near.
	name, region, domain string

	mu      sync.Mutex
	seeds   []string
	members []*raftpb.Member
	failed  map[string]time.Time // by address
}

// replicaAt names a replica that is known by its address only.
func replicaAt(address string) settings.Replica {
	return settings.Replica{Name: address, Address: address}
}

// byPreference returns the replicas in the order of preference: the listed ones or, with discovery, the members of the control
// group, the nearest first, and the seeds.
func (l *replicaList) byPreference() []settings.Replica {
	if len(l.listed) > 0 {
		return l.listed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []settings.Replica
	for _, m := range l.members {
		list = append(list, settings.Replica{Name: m.GetName(), Address: m.GetAddress(), Region: m.GetRegion(), FailureDomain: m.GetFailureDomain()})
	}
	slices.SortStableFunc(list, func(a, b settings.Replica) int {
		return cmp.Or(cmp.Compare(l.distance(a), l.distance(b)), cmp.Compare(l.rank(a.Address), l.rank(b.Address)))
	})
	seeds := slices.SortedFunc(slices.Values(l.seeds), func(a, b string) int { return cmp.Compare(l.rank(a), l.rank(b)) })
	for _, seed := range seeds {
		if !slices.ContainsFunc(list, func(p settings.Replica) bool { return p.Address == seed }) {
			list = append(list, replicaAt(seed))
		}
	}
	return list
}

// distance is 0 for a replica in the own failure domain, 1 in the own region, and 2 elsewhere.
func (l *replicaList) distance(p settings.Replica) int {
	switch {
	case p.FailureDomain == l.domain && p.FailureDomain != "":
		return 0
	case p.Region == l.region && p.Region != "":
		return 1
	}
	return 2
}

// rank orders replicas differently at each gateway, so that those which start together don't all ask the same one.
func (l *replicaList) rank(address string) uint64 {
	return xxhash.Sum64String(l.name + "\x00" + address)
}

// next returns the replica to try: the nearest one that has not failed lately, or the one that failed first.
func (l *replicaList) next(now time.Time) settings.Replica {
	list := l.byPreference()
	l.mu.Lock()
	defer l.mu.Unlock()
	best := list[0]
	for _, p := range list {
		at, failed := l.failed[p.Address]
		if !failed || now.Sub(at) > failedReplicaCooldown {
			return p
		}
		if at.Before(l.failed[best.Address]) {
			best = p
		}
	}
	return best
}

// hasNearer tells whether a nearer replica than this one is worth a change.
func (l *replicaList) hasNearer(current settings.Replica, now time.Time) bool {
	if len(l.listed) > 0 {
		return false
	}
	return l.distance(l.next(now)) < l.distance(l.withLocation(current))
}

// withLocation adds what the membership tells of a replica that is known by its address.
func (l *replicaList) withLocation(p settings.Replica) settings.Replica {
	for _, known := range l.byPreference() {
		if known.Address == p.Address {
			return known
		}
	}
	return p
}

func (l *replicaList) markFailed(p settings.Replica, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failed == nil {
		l.failed = map[string]time.Time{}
	}
	l.failed[p.Address] = now
}

// setMembers takes over the membership of the control group; an empty one is ignored.
func (l *replicaList) setMembers(members []*raftpb.Member) {
	if len(members) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = slices.SortedFunc(slices.Values(members), func(a, b *raftpb.Member) int { return strings.Compare(a.GetName(), b.GetName()) })
}

func (l *replicaList) setSeeds(addresses []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seeds = addresses
}
