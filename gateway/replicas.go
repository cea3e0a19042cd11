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

// failedReplicaCooldown is how long a replica is avoided after a failure.
const failedReplicaCooldown = 10 * time.Second

// replicaList orders the control replicas at which the gateway may renew its lease. It is safe for concurrent use.
type replicaList struct {
	// listed is the fixed list of the settings, the nearest first; empty with discovery.
	listed []settings.Replica
	// name, region and domain are those of this gateway. The name breaks ties between replicas at the same distance.
	name, region, domain string

	mu      sync.Mutex
	seeds   []string
	members []*raftpb.Member
	failed  map[string]time.Time // by address
}

// replicaAt returns an entry for a replica of which only the address is known.
func replicaAt(address string) settings.Replica {
	return settings.Replica{Name: address, Address: address}
}

// byPreference returns the replicas in order of preference: the fixed list of the settings or, with discovery, the members of
// the control group, nearest first, followed by the seeds.
func (l *replicaList) byPreference() []settings.Replica {
	if len(l.listed) > 0 {
		return l.listed
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []settings.Replica
	for _, m := range l.members {
		list = append(list, replicaOf(m))
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

// byID returns the replica with an identity, if the membership of the control group is known and has it.
func (l *replicaList) byID(id uint64) (settings.Replica, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.members {
		if m.GetId() == id {
			return replicaOf(m), true
		}
	}
	return settings.Replica{}, false
}

func replicaOf(m *raftpb.Member) settings.Replica {
	return settings.Replica{Name: m.GetName(), Address: m.GetAddress(), Region: m.GetRegion(), FailureDomain: m.GetFailureDomain()}
}

// voters returns the replicas that vote, as far as the membership of the control group is known; otherwise all replicas.
func (l *replicaList) voters() []settings.Replica {
	l.mu.Lock()
	learners := map[string]bool{}
	for _, m := range l.members {
		learners[m.GetAddress()] = m.GetLearner()
	}
	known := len(l.members) > 0
	l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.byPreference()), func(p settings.Replica) bool {
		learner, member := learners[p.Address]
		return known && (!member || learner)
	})
}

// distance returns 0 for a replica in this gateway's failure domain, 1 in its region and 2 elsewhere.
func (l *replicaList) distance(p settings.Replica) int {
	switch {
	case p.FailureDomain == l.domain && p.FailureDomain != "":
		return 0
	case p.Region == l.region && p.Region != "":
		return 1
	}
	return 2
}

// rank returns a sort key that differs between gateways, so that gateways that start together do not all choose the same
// replica.
func (l *replicaList) rank(address string) uint64 {
	return xxhash.Sum64String(l.name + "\x00" + address)
}

// next returns the replica to try: the nearest one without a failure within failedReplicaCooldown or, if there is none, the
// one whose failure is the oldest.
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

// hasNearer reports whether a replica nearer than the current one is available. It is always false with a fixed list.
func (l *replicaList) hasNearer(current settings.Replica, now time.Time) bool {
	if len(l.listed) > 0 {
		return false
	}
	return l.distance(l.next(now)) < l.distance(l.withLocation(current))
}

// withLocation returns p completed with name, region and failure domain from the membership of the control group, if the
// membership has its address.
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

// setMembers stores the membership of the control group; an empty one is ignored.
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
