package balance

import "time"

// idleWeight prefers the server with fewer requests even while slots are free.
const idleWeight = 0.15

// expected is the expected time to an answer in ns without the network: the work time, stretched by the queue for
// slots, and at least the mean age of what is outstanding.
func (s *Snapshot) expected(v *serviceView, c *candidate, now time.Duration) float64 {
	own := c.load.inFlight.Load()
	work := s.work(v, c, now)
	if !s.config.Switches.NoInFlightAge {
		work = max(work, float64(c.load.meanAge(now, own)-c.cost))
	}
	return work * stretch(s.total(v, c, now, own), c.slots)
}

// work is the work time of one request in ns.
func (s *Snapshot) work(v *serviceView, c *candidate, now time.Duration) float64 {
	typical := v.load.typical.load()
	if typical == 0 {
		typical = float64(minWork)
	}
	if s.config.Switches.NoLatency {
		return typical
	}
	return c.load.latency.estimate(now, typical)
}

// stretch is the factor by which requests in flight at a server lengthen the next one.
func stretch(total float64, slots int64) float64 {
	queued := max(1, (total+1)/float64(slots))
	return queued + idleWeight*total/float64(slots)
}
