package balance

import "time"

// Tiers in the order of preference.
const (
	tierDomain = iota
	tierRegion
	tierOther
	tierCount
)

// Snapshot is the state from which request goroutines select servers. Its structure is immutable; the counters that it
// points to are atomic.
type Snapshot struct {
	config   Config
	services map[string]*serviceView
	members  map[string]*memberLoad
	// byAddress holds all listed servers, also those that no query may pick.
	byAddress map[string]*candidate
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
	// cost is the network cost of a request to the server.
	cost time.Duration
}

// HedgeAfter returns how long to wait for a response of a service before sending a hedge; ok is false if too few
// latencies are known or hedging is disabled.
func (s *Snapshot) HedgeAfter(service string) (after time.Duration, ok bool) {
	v := s.services[service]
	if v == nil || s.config.Switches.NoHedging {
		return 0, false
	}
	after = v.load.hedgeAfter.load()
	return after, after > 0
}
