package scenario

import (
	"fmt"
	"strconv"
	"time"
)

// Scenario is one situation. Faults run beside the load.
type Scenario struct {
	Name string
	// Load is the share of the main service's capacity that callers ask for.
	Load   float64
	Length time.Duration
	faults func(r *run)
}

// Loads, lengths and factors of the policy bench; the lengths are doubled, because here a run cannot be repeated exactly.
const (
	usualLoad         = 0.6
	domainLoad        = 0.3
	overload          = 1.5
	usualTime         = 8 * time.Second
	domainTime        = 12 * time.Second
	noisySlowness     = 10
	stragglerSlowness = 12
	falseSlowness     = 3
)

// Names that goals refer to.
const (
	steady        = "steady"
	steadyLow     = "steady, low load"
	noisy         = "noisy neighbours"
	straggling    = "stragglers"
	coldFallback  = "cold fallback"
	domainPlanned = "domain out and in"
	overloaded    = "overload 1.5"
)

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{steady, usualLoad, usualTime, func(*run) {}},
		{noisy, usualLoad, usualTime, noise},
		{straggling, usualLoad, usualTime, stragglers},
		{"fast failers", usualLoad, usualTime, fastFailers},
		{coldFallback, usualLoad, usualTime, fallbacks},
		{steadyLow, domainLoad, usualTime, func(*run) {}},
		{domainPlanned, domainLoad, domainTime, domainOut},
		{"domain lost and back", domainLoad, domainTime, domainLost},
		{overloaded, overload, usualTime, func(*run) {}},
		{"false reports", usualLoad, usualTime, falseReports},
		{"flapping announcements", usualLoad, usualTime, flapping},
		{"domain out and stragglers", domainLoad, domainTime, domainOutAndStragglers},
	}
}

// victims are the servers, by index, that faults hit where the scenario does not draw them.
var victims = []int{2, 7}

// noise slows one server at a time down; every 5 to 50 ms it shifts to another.
func noise(r *run) {
	servers := r.setup.servers()
	last := servers[0]
	for r.underway() {
		fault(r.t, last, "slowness", "1")
		last = servers[r.random.IntN(len(servers))]
		fault(r.t, last, "slowness", strconv.Itoa(noisySlowness))
		r.pause(time.Duration(5+r.random.IntN(46)) * time.Millisecond)
	}
	fault(r.t, last, "slowness", "1")
}

// stragglers slows one server after another down for a second each.
func stragglers(r *run) {
	const every, duration = 1300 * time.Millisecond, time.Second
	servers := r.setup.servers()
	for at := time.Duration(0); at+every < r.scenario.Length; at += every {
		r.until(at)
		victim := servers[r.random.IntN(len(servers))]
		fault(r.t, victim, "slowness", strconv.Itoa(stragglerSlowness))
		r.until(at + duration)
		fault(r.t, victim, "slowness", "1")
	}
}

// fastFailers lets two servers fail at once for 4 s.
func fastFailers(r *run) {
	r.until(time.Second)
	r.each(func(address string) { fault(r.t, address, "failing", "true") })
	r.until(5 * time.Second)
	r.each(func(address string) { fault(r.t, address, "failing", "false") })
}

// fallbacks lets two servers fall back without announcement; the second never shows it in any answer either.
func fallbacks(r *run) {
	r.until(time.Second)
	servers := r.setup.servers()
	fault(r.t, servers[victims[1]], "silent", "true")
	r.each(func(address string) { fallBack(r.t, address) })
	r.until(5500 * time.Millisecond)
	r.each(func(address string) { fault(r.t, address, "warm", "true") })
}

// Times of the domain scenarios.
const (
	leaveAt  = time.Second
	returnAt = 5 * time.Second
)

// domainOut takes a failure domain out and in by the operators' command.
func domainOut(r *run) {
	r.domain = r.setup.deployment.places()[0].FailureDomain
	r.until(leaveAt)
	r.command("out")
	r.until(returnAt)
	r.command("in")
}

func (r *run) command(verb string) {
	moment := &r.left
	if verb == "in" {
		moment = &r.returned
	}
	*moment = r.mark()
	result := r.setup.cluster.SetDomain(r.t, verb, r.domain)
	if result.Code != 0 {
		r.t.Errorf("domain %s: %s", verb, result)
	}
	r.note(fmt.Sprintf("domain %s accepted after %.0f ms", verb, r.since(*moment).Seconds()*1000))
}

// domainLost kills every server process of a failure domain; they return cold.
func domainLost(r *run) {
	r.domain = r.setup.deployment.places()[0].FailureDomain
	r.until(leaveAt)
	r.left = r.mark()
	r.lost = true
	groups := r.setup.in(r.domain)
	for _, g := range groups {
		g.Process.Kill()
	}
	r.until(returnAt)
	r.returned = r.mark()
	for _, g := range groups {
		g.Restart(r.t, r.setup.cluster)
	}
}

// falseReports: two servers claim to be idle and are slow, two claim to be full.
func falseReports(r *run) {
	servers := r.setup.servers()
	r.each(func(address string) {
		fault(r.t, address, "report", "false")
		fault(r.t, address, "slowness", strconv.Itoa(falseSlowness))
	})
	for _, i := range victims {
		fault(r.t, servers[i+1], "report", "full")
	}
}

// flapping lets two servers announce draining and ready in turn, five times a second.
func flapping(r *run) {
	for state := "draining"; r.underway(); {
		r.each(func(address string) { fault(r.t, address, "state", state) })
		r.pause(200 * time.Millisecond)
		if state == "draining" {
			state = "ready"
		} else {
			state = "draining"
		}
	}
}

func domainOutAndStragglers(r *run) {
	r.alongside(stragglers)
	domainOut(r)
}
