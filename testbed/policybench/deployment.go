package main

import "time"

// deployment holds the sizes of a deployment in section 2.4 of docs/design.md.
type deployment struct {
	name     string
	regions  []string
	workers  int
	gateways int
	slots    int
	// connections is the number of connections to each worker, shared by the gateways.
	connections int
	// work is the mean work time of a request.
	work time.Duration
	// One-way latencies.
	domainLatency time.Duration
	regionLatency time.Duration
}

const (
	domainsPerRegion = 2
	// localLatency is the one-way latency within a failure domain.
	localLatency = 100 * time.Microsecond
)

var deployments = []deployment{
	{
		name: "kerdrean", regions: []string{"finistere", "ille", "morbihan"}, workers: 12, gateways: 18, slots: 6,
		connections: 220, work: 5 * time.Millisecond,
		domainLatency: 500 * time.Microsecond, regionLatency: 12 * time.Millisecond,
	},
	{
		name: "wendover", regions: []string{"erie", "superior", "ontario"}, workers: 12, gateways: 18, slots: 2,
		connections: 260, work: 5 * time.Millisecond,
		domainLatency: time.Millisecond, regionLatency: 12 * time.Millisecond,
	},
}

// place is a failure domain with its region.
type place struct{ region, domain string }

func (d deployment) places() []place {
	var list []place
	for _, r := range d.regions {
		for i := range domainsPerRegion {
			list = append(list, place{r, r + "-" + string(rune('a'+i))})
		}
	}
	return list
}

func (d deployment) latency(a, b place) time.Duration {
	switch {
	case a.region != b.region:
		return d.regionLatency
	case a.domain != b.domain:
		return d.domainLatency
	}
	return localLatency
}

// capacity returns the number of requests per second that all slots together can finish.
func (d deployment) capacity() float64 {
	return float64(d.workers*d.slots) / d.work.Seconds()
}
