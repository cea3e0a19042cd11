package balance

import "time"

// Tiers in the order of preference.
const (
	tierDomain = iota
	tierRegion
	tierOther
	tierCount
)

// Snapshot is immutable in structure; the counters it points to are atomic.
type Snapshot struct {
	config   Config
	services map[string]*serviceView
	members  map[string]*memberLoad
}

type serviceView struct {
	load  *serviceLoad
	tiers [tierCount][]candidate
}

type candidate struct {
	server Server
	load   *serverLoad
	slots  int64
	tier   int
	// cost is the round trip to the server's tier.
	cost time.Duration
	// rank orders the servers of a tier.
	rank uint64
}

// HedgeAfter returns how long to wait for an answer of the service before a hedge is worthwhile; ok is false when too
// little is known or hedging is off.
func (s *Snapshot) HedgeAfter(service string) (after time.Duration, ok bool) {
	v := s.services[service]
	if v == nil || s.config.Switches.NoHedging {
		return 0, false
	}
	after = v.load.hedgeAfter.load()
	return after, after > 0
}
