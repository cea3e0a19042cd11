package balance

import "time"

// inFlightWeight weighs the requests per slot, so that the server with fewer requests is preferred even while slots are
// free.
const inFlightWeight = 0.15

// nearFullShare is the share of the slots above which Config.NearFullFactor applies.
const nearFullShare = 0.8

// expectedLatency returns the expected latency in ns without the network: the work time, multiplied by the factor of the
// queue for slots. The mean age of the requests in flight replaces it only if it is greater. A lower age is explained by
// the queue; counting it too would make full servers seem slow and send requests to other regions.
func (s *Snapshot) expectedLatency(v *serviceView, c *candidate, now time.Duration) float64 {
	own := c.load.inFlight.Load()
	total := s.estimateInFlight(v, c, now, own)
	factor := queueFactor(total, c.slots)
	if total+1 > nearFullShare*float64(c.slots) {
		factor *= s.config.NearFullFactor
	}
	expected := s.workTime(v, c, now) * c.load.currentSlowness(now) * factor
	if s.config.Switches.NoInFlightAge {
		return expected
	}
	if age := float64(c.load.meanAge(now, own) - c.cost); age > expected {
		return age * factor
	}
	return expected
}

// workTime estimates the work time of one request in ns. The history of a server in cold start is ignored, so that its
// limit can rise, unless the server hangs.
func (s *Snapshot) workTime(v *serviceView, c *candidate, now time.Duration) float64 {
	typicalWork := v.load.typicalWork.load()
	if typicalWork == 0 {
		typicalWork = float64(minWork)
	}
	if s.config.Switches.NoLatency {
		return typicalWork
	}
	work := c.load.latency.estimate(now, typicalWork)
	if work < hangFactor*typicalWork && s.isCold(c, now) {
		return typicalWork
	}
	return work
}

// queueFactor returns the factor by which the requests in flight at a server lengthen the next one.
func queueFactor(total float64, slots int64) float64 {
	queued := max(1, (total+1)/float64(slots))
	return queued + inFlightWeight*total/float64(slots)
}
