package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

const (
	// capacityShare is the share of the remaining slots that the load may take. Close to all of them, a small rise of
	// the load makes requests queue at every server.
	maxSlotUtilization = 0.8
	// loadWindow is the number of seconds of load that a gateway must have observed to count.
	loadWindowSeconds = 10
	milliPerRequest   = 1000
	// capacityTimeout bounds the check, so that a failure domain can go out in an emergency.
	capacityTimeout = 3 * time.Second
)

// capacityResult tells whether the other failure domains can carry the load of one that is to be taken out.
type capacityResult struct {
	// Known is false when reports are missing; Lacking may be incomplete then.
	Known bool `json:"known"`
	// Missing tells what is not known.
	Missing []string   `json:"missing,omitempty"`
	Lacking []shortage `json:"lacking,omitempty"`
}

// shortage is a service for which the remaining slots are too few.
type shortage struct {
	Service string `json:"service"`
	// Regions are those in which the requests in question may run.
	Regions []string `json:"regions"`
	// Need is the mean number of requests in flight at backend servers in the busiest of the last 10 s.
	Need float64 `json:"need"`
	// SlotsLeft is the number of slots of ready servers in the regions, without the failure domains that are out.
	SlotsLeft int `json:"slots_left"`
}

// lacks tells whether the load takes more than its share of the slots left. Rules without load need one slot.
func (s shortage) isShort() bool {
	return s.SlotsLeft == 0 || s.Need > maxSlotUtilization*float64(s.SlotsLeft)
}

// guardDomain warns before a failure domain goes out that the rest cannot replace, and refuses only if the operator asked
// for it. Missing reports are no reason to refuse, because they are to be expected while the failure domain fails. A
// change with a given ID may have been accepted before, so refusing it here could be untrue.
func (c *invocation) enforceCapacityCheck(ctx context.Context, r *replicaClient, d *controlpb.DomainChange) error {
	if !d.GetOut() || c.options.capacityMode == capacitySkip {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	result := c.queryCapacity(ctx, r, d.GetFailureDomain())
	c.capacity = &result
	c.warnCapacity(d.GetFailureDomain(), result)
	if c.options.capacityMode != capacityRequire || len(result.Lacking) == 0 || c.options.id != "" {
		return nil
	}
	if c.options.json {
		if err := c.writeResult(changeResult{Result: resultRefused}, noLocation); err != nil {
			return err
		}
	}
	return &RefusedError{Reason: "the other failure domains lack capacity; nothing was sent; without -capacity=require, " + d.GetFailureDomain() + " goes out all the same"}
}

// checkCapacity asks for the load. It never fails: what could not be learned is named in the result.
func (c *invocation) queryCapacity(ctx context.Context, r *replicaClient, domain string) capacityResult {
	answer, err := getDocument(ctx, r, 0)
	if err != nil {
		return unknownCapacity(err)
	}
	if slices.Contains(answer.GetDomainsOut(), domain) {
		return capacityResult{Known: true}
	}
	load, err := callWithFailover(ctx, r, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.LoadAnswer, error) {
		return client.Load(ctx, &controlpb.LoadRequest{})
	})
	if err != nil {
		return unknownCapacity(err)
	}
	return evaluateCapacity(domain, answer, load)
}

func unknownCapacity(err error) capacityResult {
	reason := "no control replica answered"
	var refused *RefusedError
	if errors.As(err, &refused) {
		reason = refused.Reason
	}
	return capacityResult{Missing: []string{reason}}
}

// judgeCapacity compares the load of each service with the slots that remain without the failure domain.
func evaluateCapacity(domain string, answer *controlpb.GetAnswer, load *controlpb.LoadAnswer) capacityResult {
	config, problems := document.Compile(baseDocument{answer: answer}.sections())
	if len(problems) > 0 {
		return unknownCapacity(problems)
	}
	result := capacityResult{Missing: missingReports(load)}
	slots := selectReadySlots(config, load, &result)
	out := append(slices.Clone(answer.GetDomainsOut()), domain)
	for _, s := range config.Services {
		demands := append(ruleDemands(s, config), reportedDemands(s.Name, config, load)...)
		if worst, found := worstShortage(s.Name, domain, demands, slots, out); found {
			result.Lacking = append(result.Lacking, worst)
		}
	}
	result.Known = len(result.Missing) == 0
	return result
}

// missingReports names gateways without a usable report.
func missingReports(load *controlpb.LoadAnswer) []string {
	var missing []string
	if len(load.GetGateways())+len(load.GetSilent()) == 0 {
		missing = append(missing, "no gateway is known to serve")
	}
	for _, name := range load.GetSilent() {
		missing = append(missing, "no report from "+name)
	}
	for _, g := range load.GetGateways() {
		if g.GetSeconds() < loadWindowSeconds {
			missing = append(missing, fmt.Sprintf("%s has observed its load for %d s only", g.GetName(), g.GetSeconds()))
		}
	}
	return missing
}

// chooseSlots takes the slots of each region from a gateway of that region, which learns of its servers first, or else
// from any other. Gateways that started just now may not know all servers yet and are the last choice.
func selectReadySlots(config *document.Config, load *controlpb.LoadAnswer, result *capacityResult) []*controlpb.ReadySlots {
	var reporting []*controlpb.GatewayLoad
	for _, g := range load.GetGateways() {
		if len(g.GetReadySlots()) > 0 {
			reporting = append(reporting, g)
		}
	}
	if len(reporting) == 0 {
		result.Missing = append(result.Missing, "no gateway reported backend servers")
		return nil
	}
	var chosen []*controlpb.ReadySlots
	for _, region := range config.Regions {
		best := slices.MinFunc(reporting, func(a, b *controlpb.GatewayLoad) int {
			return cmp.Or(cmp.Compare(reportRank(a, region.Name), reportRank(b, region.Name)), cmp.Compare(a.GetName(), b.GetName()))
		})
		for _, s := range best.GetReadySlots() {
			if s.GetRegion() == region.Name {
				chosen = append(chosen, s)
			}
		}
	}
	return chosen
}

func reportRank(g *controlpb.GatewayLoad, region string) int {
	rank := 0
	if g.GetSeconds() < loadWindowSeconds {
		rank += 2
	}
	if g.GetRegion() != region {
		rank++
	}
	return rank
}

// demand is the load of requests that may run in the same regions.
type demand struct {
	// regions are sorted.
	regions []string
	// milli is the mean number in flight in each second, the newest first, in thousandths.
	milli [loadWindowSeconds]uint64
}

// demandsOf lists the regions in which the rules of a service may run, without load. They show a rule that would be
// left without any server.
func ruleDemands(s *document.Service, config *document.Config) []demand {
	var demands []demand
	for _, rule := range s.Rules {
		for _, m := range config.Members {
			for _, t := range m.Tenants {
				if p, ok := rule.Placement(t); ok {
					demands = append(demands, demand{regions: regionsOrAll(p.RunIn.Names, config)})
				}
			}
		}
	}
	return demands
}

func reportedDemands(service string, config *document.Config, load *controlpb.LoadAnswer) []demand {
	var demands []demand
	for _, g := range load.GetGateways() {
		for _, s := range g.GetServices() {
			if s.GetService() != service {
				continue
			}
			d := demand{regions: regionsOrAll(s.GetRegions(), config)}
			for i, n := range s.GetMilliInFlight() {
				if i < loadWindowSeconds {
					d.milli[i] = uint64(n)
				}
			}
			demands = append(demands, d)
		}
	}
	return demands
}

// expand gives the names of all regions for an empty list.
func regionsOrAll(regions []string, config *document.Config) []string {
	if len(regions) > 0 {
		return slices.Sorted(slices.Values(regions))
	}
	var all []string
	for _, r := range config.Regions {
		all = append(all, r.Name)
	}
	return all
}

// worstShortage returns the shortage in which the load takes the largest share of the slots left. Each set of regions
// that some requests are bound to must hold the load of all requests that are bound to a part of it.
func worstShortage(service, domain string, demands []demand, slots []*controlpb.ReadySlots, out []string) (shortage, bool) {
	var worst shortage
	found := false
	for _, restricted := range demands {
		s := shortage{Service: service, Regions: restricted.regions, Need: peakLoad(restricted.regions, demands)}
		affected := false
		for _, ready := range slots {
			if ready.GetService() != service || !slices.Contains(restricted.regions, ready.GetRegion()) {
				continue
			}
			affected = affected || ready.GetFailureDomain() == domain && ready.GetSlots() > 0
			if !slices.Contains(out, ready.GetFailureDomain()) {
				s.SlotsLeft += int(ready.GetSlots())
			}
		}
		if affected && s.isShort() && (!found || s.worseThan(worst)) {
			worst, found = s, true
		}
	}
	return worst, found
}

func (s shortage) worseThan(other shortage) bool {
	return s.Need*float64(other.SlotsLeft) > other.Need*float64(s.SlotsLeft) || s.SlotsLeft == 0 && other.SlotsLeft > 0
}

// need is the load of the busiest second of all requests that may run in the given regions only.
func peakLoad(regions []string, demands []demand) float64 {
	var sums [loadWindowSeconds]uint64
	for _, d := range demands {
		inside := !slices.ContainsFunc(d.regions, func(r string) bool { return !slices.Contains(regions, r) })
		if !inside {
			continue
		}
		for i, n := range d.milli {
			sums[i] += n
		}
	}
	return float64(slices.Max(sums[:])) / milliPerRequest
}

// writeCapacity warns on standard error.
func (c *invocation) warnCapacity(domain string, r capacityResult) {
	for _, s := range r.Lacking {
		fmt.Fprintf(c.stderr, "warning: without failure domain %s, service %s needs %.1f slots in %s and has %d left\n",
			domain, s.Service, s.Need, strings.Join(s.Regions, ", "), s.SlotsLeft)
	}
	if !r.Known {
		fmt.Fprintf(c.stderr, "warning: it is not known whether the other failure domains can carry the load of %s: %s\n",
			domain, strings.Join(r.Missing, "; "))
	}
}
