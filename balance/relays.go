package balance

import (
	"slices"
	"sync"
	"time"
)

// Pauses of a gateway that could not be used as a relay.
const (
	relayRefusedPause = 500 * time.Millisecond
	relayFailedPause  = time.Second
)

// Relay is another gateway through which requests can reach backend servers.
type Relay struct {
	Name          string
	Address       string
	Region        string
	FailureDomain string
	// Unavailable is set if the gateway reports that it is draining or reaches no servers itself.
	Unavailable bool
}

// RelayQuery describes the request for which a relay is picked.
type RelayQuery struct {
	Now time.Duration
	// Regions lists the permitted regions; it is ignored if AnyRegion is set.
	Regions   []string
	AnyRegion bool
	// OtherDomain leaves out the own failure domain if there is a relay elsewhere.
	OtherDomain bool
	// Tried lists the names of the relays that were picked for the request before.
	Tried []string
	// Random is uniformly distributed.
	Random uint64
}

// RelayOutcome is how an attempt at a relay ended.
type RelayOutcome uint8

// Outcomes of an attempt at a relay.
const (
	RelayOK RelayOutcome = iota
	// RelayRefused: the relay cannot reach servers or does not serve at present.
	RelayRefused
	// RelayFailed: no connection could be opened, or it broke.
	RelayFailed
)

// relayLoad is what this gateway knows about a relay.
type relayLoad struct {
	inFlight    int
	pausedUntil time.Duration
}

// Relays selects the gateway that runs a request in the place of this one. It is safe for concurrent use.
type Relays struct {
	region, failureDomain string

	mu    sync.Mutex
	list  []Relay
	loads map[string]*relayLoad
}

// NewRelays returns a Relays for a gateway in the given location.
func NewRelays(region, failureDomain string) *Relays {
	return &Relays{region: region, failureDomain: failureDomain, loads: map[string]*relayLoad{}}
}

// Update replaces the list of gateways.
func (r *Relays) Update(list []Relay) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = list
	for name, l := range r.loads {
		if l.inFlight == 0 && !slices.ContainsFunc(list, func(x Relay) bool { return x.Name == name }) {
			delete(r.loads, name)
		}
	}
}

// Pick selects a relay: one in the own failure domain, else in the own region, else elsewhere; of two random ones the one
// with fewer requests of this gateway in flight. The caller must call Done if ok is set.
func (r *Relays) Pick(q RelayQuery) (relay Relay, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	candidates := r.nearestLocked(&q, q.OtherDomain)
	if len(candidates) == 0 && q.OtherDomain {
		candidates = r.nearestLocked(&q, false)
	}
	if len(candidates) == 0 {
		return Relay{}, false
	}
	n := uint64(len(candidates))
	first := mix(q.Random, 0) % n
	relay = candidates[first]
	if n > 1 {
		other := candidates[(first+1+mix(q.Random, 1)%(n-1))%n]
		if r.loadLocked(other.Name).inFlight < r.loadLocked(relay.Name).inFlight {
			relay = other
		}
	}
	r.loadLocked(relay.Name).inFlight++
	return relay, true
}

// nearestLocked returns the usable relays of the nearest tier that has some, without the own failure domain if otherDomain
// is set.
func (r *Relays) nearestLocked(q *RelayQuery, otherDomain bool) (candidates []Relay) {
	nearest := tierOther
	for _, x := range r.list {
		tier := r.tier(x)
		if tier > nearest || tier == tierDomain && otherDomain || !r.isUsableLocked(x, q) {
			continue
		}
		if tier < nearest {
			nearest, candidates = tier, candidates[:0]
		}
		candidates = append(candidates, x)
	}
	return candidates
}

func (r *Relays) tier(x Relay) int {
	switch {
	case x.FailureDomain == r.failureDomain:
		return tierDomain
	case x.Region == r.region:
		return tierRegion
	}
	return tierOther
}

func (r *Relays) isUsableLocked(x Relay, q *RelayQuery) bool {
	permitted := q.AnyRegion || slices.Contains(q.Regions, x.Region)
	return permitted && !x.Unavailable && !slices.Contains(q.Tried, x.Name) && q.Now >= r.loadLocked(x.Name).pausedUntil
}

func (r *Relays) loadLocked(name string) *relayLoad {
	l := r.loads[name]
	if l == nil {
		l = &relayLoad{}
		r.loads[name] = l
	}
	return l
}

// Done ends an attempt at a relay.
func (r *Relays) Done(name string, now time.Duration, o RelayOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.loadLocked(name)
	l.inFlight--
	switch o {
	case RelayRefused:
		l.pausedUntil = max(l.pausedUntil, now+relayRefusedPause)
	case RelayFailed:
		l.pausedUntil = max(l.pausedUntil, now+relayFailedPause)
	}
}
