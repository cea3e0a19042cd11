package main

import (
	"slices"

	"heatherwall.example/balance"
)

// policyKind names the rule of selection.
type policyKind uint8

const (
	policyOurs policyKind = iota
	policyRandom
	policyRoundRobin
	policyTwoChoices
	policyLeast
)

// policy is a rule of selection; switches apply to ours only.
type policy struct {
	name     string
	kind     policyKind
	switches balance.Switches
	noQueue  bool
}

// baseline is the policy that the goals refer to.
const (
	baseline = "two choices"
	ours     = "ours"
)

func policies() []policy {
	return []policy{
		{name: "random", kind: policyRandom},
		{name: "round robin", kind: policyRoundRobin},
		{name: baseline, kind: policyTwoChoices},
		{name: "least in flight", kind: policyLeast},
		{name: ours},
		{name: "ours -tiers", switches: balance.Switches{NoTiers: true}},
		{name: "ours -latency", switches: balance.Switches{NoLatency: true}},
		{name: "ours -reports", switches: balance.Switches{NoReports: true}},
		{name: "ours -distrust", switches: balance.Switches{NoDistrust: true}},
		{name: "ours -in-flight age", switches: balance.Switches{NoInFlightAge: true}},
		{name: "ours -failure penalty", switches: balance.Switches{NoFailurePenalty: true}},
		{name: "ours -ejection", switches: balance.Switches{NoEjection: true}},
		{name: "ours -cold limit", switches: balance.Switches{NoColdLimit: true}},
		{name: "ours -fallback detection", switches: balance.Switches{NoFallbackDetection: true}},
		{name: "ours -pause", switches: balance.Switches{NoPause: true}},
		{name: "ours -server limit", switches: balance.Switches{NoServerLimit: true}},
		{name: "ours -retry budget", switches: balance.Switches{NoRetryBudget: true}},
		{name: "ours -hedging", switches: balance.Switches{NoHedging: true}},
		{name: "ours -gradual return", switches: balance.Switches{NoGradualReturn: true}},
		{name: "ours -queue", noQueue: true},
	}
}

// simple selects by local knowledge only, among the servers of the own region if any is left there.
type simple struct {
	kind     policyKind
	gateway  *gateway
	inFlight []int
	turn     int
}

func (p *simple) pick(excluded []string) *server {
	g := p.gateway
	var near, far []*server
	for _, s := range g.sim.servers {
		if g.hidden[s.index] || slices.Contains(excluded, s.address) {
			continue
		}
		if s.place.region == g.place.region {
			near = append(near, s)
		} else {
			far = append(far, s)
		}
	}
	list := near
	if len(list) == 0 {
		list = far
	}
	if len(list) == 0 {
		return nil
	}
	return p.choose(list)
}

func (p *simple) choose(list []*server) *server {
	random := p.gateway.sim.picks
	switch p.kind {
	case policyRoundRobin:
		p.turn++
		return list[p.turn%len(list)]
	case policyTwoChoices:
		return p.lesser(list[random.IntN(len(list))], list[random.IntN(len(list))])
	case policyLeast:
		start := random.IntN(len(list))
		best := list[start]
		for i := range list {
			best = p.lesser(best, list[(start+i)%len(list)])
		}
		return best
	}
	return list[random.IntN(len(list))]
}

func (p *simple) lesser(a, b *server) *server {
	if p.inFlight[b.index] < p.inFlight[a.index] {
		return b
	}
	return a
}
