package main

import (
	"slices"

	"heatherwall.example/balance"
)

// policyKind is a selection algorithm.
type policyKind uint8

const (
	policyEngine policyKind = iota
	policyRandom
	policyRoundRobin
	policyTwoChoices
	policyLeastInFlight
)

// policy is a selection algorithm with its options; switches and noQueue apply to policyEngine only.
type policy struct {
	name     string
	kind     policyKind
	switches balance.Switches
	noQueue  bool
}

// Names of the policies that the goals and plots compare. engineName is the policy of balance.Engine.
const (
	baselineName = "two choices"
	engineName   = "ours"
)

func policies() []policy {
	return []policy{
		{name: "random", kind: policyRandom},
		{name: "round robin", kind: policyRoundRobin},
		{name: baselineName, kind: policyTwoChoices},
		{name: "least in flight", kind: policyLeastInFlight},
		{name: engineName},
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

// simplePolicy selects by local knowledge only. It prefers servers of its own region and uses others only if none is
// available there.
type simplePolicy struct {
	kind     policyKind
	gateway  *gateway
	inFlight []int
	next     int
}

func (p *simplePolicy) pick(excluded []string) *server {
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

func (p *simplePolicy) choose(list []*server) *server {
	random := p.gateway.sim.picks
	switch p.kind {
	case policyRoundRobin:
		p.next++
		return list[p.next%len(list)]
	case policyTwoChoices:
		return p.lessLoaded(list[random.IntN(len(list))], list[random.IntN(len(list))])
	case policyLeastInFlight:
		start := random.IntN(len(list))
		best := list[start]
		for i := range list {
			best = p.lessLoaded(best, list[(start+i)%len(list)])
		}
		return best
	}
	return list[random.IntN(len(list))]
}

func (p *simplePolicy) lessLoaded(a, b *server) *server {
	if p.inFlight[b.index] < p.inFlight[a.index] {
		return b
	}
	return a
}
