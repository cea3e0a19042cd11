package scenario

import (
	"fmt"
	"strconv"
	"time"
)

// Scenario is one combination of load and faults. The faults are injected while the load runs.
type Scenario struct {
	Name string
	// Load is the request rate as a share of the main service's capacity.
	Load     float64
	Duration time.Duration
	faults   func(r *run)
}

// Loads, durations and slowness factors of testbed/policybench. The default duration is doubled, because runs are not
// exactly repeatable here.
const (
	defaultLoad       = 0.6
	domainLoad        = 0.3
	overloadLoad      = 1.5
	defaultDuration   = 8 * time.Second
	domainDuration    = 12 * time.Second
	noisySlowness     = 10
	stragglerSlowness = 12
	falseSlowness     = 3
)

// Names of the scenarios that goals refer to.
const (
	steadyScenario       = "steady"
	steadyLowScenario    = "steady, low load"
	noisyScenario        = "noisy neighbours"
	stragglersScenario   = "stragglers"
	coldFallbackScenario = "cold fallback"
	domainOutScenario    = "domain out and in"
	overloadScenario     = "overload 1.5"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{steadyScenario, defaultLoad, defaultDuration, func(*run) {}},
		{noisyScenario, defaultLoad, defaultDuration, noisyNeighbours},
		{stragglersScenario, defaultLoad, defaultDuration, stragglers},
		{"fast failers", defaultLoad, defaultDuration, fastFailers},
		{coldFallbackScenario, defaultLoad, defaultDuration, coldFallbacks},
		{steadyLowScenario, domainLoad, defaultDuration, func(*run) {}},
		{domainOutScenario, domainLoad, domainDuration, domainOut},
		{"domain lost and back", domainLoad, domainDuration, domainLost},
		{overloadScenario, overloadLoad, defaultDuration, func(*run) {}},
		{"false reports", defaultLoad, defaultDuration, falseReports},
		{"flapping announcements", defaultLoad, defaultDuration, flapping},
		{"domain out and stragglers", domainLoad, domainDuration, domainOutAndStragglers},
	}
}

// victims holds the indices of the servers that faults affect unless the scenario chooses servers at random.
var victims = []int{2, 7}

// noisyNeighbours slows down one server at a time and moves to another every 5 to 50 ms.
func noisyNeighbours(r *run) {
	servers := r.setup.servers()
	last := servers[0]
	for r.isRunning() {
		setFault(r.t, last, "slowness", "1")
		last = servers[r.random.IntN(len(servers))]
		setFault(r.t, last, "slowness", strconv.Itoa(noisySlowness))
		r.pause(time.Duration(5+r.random.IntN(46)) * time.Millisecond)
	}
	setFault(r.t, last, "slowness", "1")
}

// stragglers slows down randomly chosen servers one after another, for a second each.
func stragglers(r *run) {
	const interval, duration = 1300 * time.Millisecond, time.Second
	servers := r.setup.servers()
	for at := time.Duration(0); at+interval < r.scenario.Duration; at += interval {
		r.waitUntil(at)
		victim := servers[r.random.IntN(len(servers))]
		setFault(r.t, victim, "slowness", strconv.Itoa(stragglerSlowness))
		r.waitUntil(at + duration)
		setFault(r.t, victim, "slowness", "1")
	}
}

// fastFailers makes two servers fail every request immediately for 4 s.
func fastFailers(r *run) {
	r.waitUntil(time.Second)
	r.forEachVictim(func(address string) { setFault(r.t, address, "failing", "true") })
	r.waitUntil(5 * time.Second)
	r.forEachVictim(func(address string) { setFault(r.t, address, "failing", "false") })
}

// coldFallbacks makes two servers fall back to cold start without an announcement. The second one does not report it in
// its answers either.
func coldFallbacks(r *run) {
	r.waitUntil(time.Second)
	servers := r.setup.servers()
	setFault(r.t, servers[victims[1]], "silent", "true")
	r.forEachVictim(func(address string) { fallBack(r.t, address) })
	r.waitUntil(5500 * time.Millisecond)
	r.forEachVictim(func(address string) { setFault(r.t, address, "warm", "true") })
}

// Times of the domain scenarios.
const (
	leaveAt  = time.Second
	returnAt = 5 * time.Second
)

// domainOut takes a failure domain out of use and back in with the operators' client.
func domainOut(r *run) {
	r.domain = r.setup.deployment.places()[0].FailureDomain
	r.waitUntil(leaveAt)
	r.setDomain("out")
	r.waitUntil(returnAt)
	r.setDomain("in")
}

func (r *run) setDomain(verb string) {
	at := &r.left
	if verb == "in" {
		at = &r.returned
	}
	*at = r.now()
	result := r.setup.cluster.SetDomain(r.t, verb, r.domain)
	if result.Code != 0 {
		r.t.Errorf("domain %s: %s", verb, result)
	}
	r.note(fmt.Sprintf("domain %s accepted after %.0f ms", verb, r.since(*at).Seconds()*1000))
}

// domainLost kills every server process of a failure domain. The servers return in cold start.
func domainLost(r *run) {
	r.domain = r.setup.deployment.places()[0].FailureDomain
	r.waitUntil(leaveAt)
	r.left = r.now()
	r.lost = true
	groups := r.setup.groupsIn(r.domain)
	for _, g := range groups {
		g.Process.Kill()
	}
	r.waitUntil(returnAt)
	r.returned = r.now()
	for _, g := range groups {
		g.Restart(r.t, r.setup.cluster)
	}
}

// falseReports makes two slow servers report that they are idle, and two others that they are full.
func falseReports(r *run) {
	servers := r.setup.servers()
	r.forEachVictim(func(address string) {
		setFault(r.t, address, "report", "false")
		setFault(r.t, address, "slowness", strconv.Itoa(falseSlowness))
	})
	for _, i := range victims {
		setFault(r.t, servers[i+1], "report", "full")
	}
}

// flapping makes two servers alternate between the announced states draining and ready, five times a second.
func flapping(r *run) {
	for state := "draining"; r.isRunning(); {
		r.forEachVictim(func(address string) { setFault(r.t, address, "state", state) })
		r.pause(200 * time.Millisecond)
		if state == "draining" {
			state = "ready"
		} else {
			state = "draining"
		}
	}
}

func domainOutAndStragglers(r *run) {
	r.addFaults(stragglers)
	domainOut(r)
}
