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
	capacityShare = 0.8
	// loadWindow is the number of seconds of load that a gateway must have observed to count.
	loadWindow = 10
	milli      = 1000
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
func (s shortage) lacks() bool {
	return s.SlotsLeft == 0 || s.Need > capacityShare*float64(s.SlotsLeft)
}

// guardDomain warns before a failure domain goes out that the rest cannot replace, and refuses only if the operator asked
// for it. Missing reports are no reason to refuse, because they are to be expected while the failure domain fails. A
// change with a given ID may have been accepted before, so refusing it here could be untrue.
func (c *call) guardDomain(ctx context.Context, r *replicas, d *controlpb.DomainChange) error {
	if !d.GetOut() || c.options.capacity == capacitySkip {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, capacityTimeout)
	defer cancel()
	result := c.checkCapacity(ctx, r, d.GetFailureDomain())
	c.capacity = &result
	c.writeCapacity(d.GetFailureDomain(), result)
	if c.options.capacity != capacityRequire || len(result.Lacking) == 0 || c.options.id != "" {
		return nil
	}
	if c.options.json {
		if err := c.writeResult(changeResult{Result: resultRefused}, noPlace); err != nil {
			return err
		}
	}
	return &RefusedError{Fault: "the other failure domains lack capacity; nothing was sent; without -capacity=require, " + d.GetFailureDomain() + " goes out all the same"}
}

// checkCapacity asks for the load. It never fails: what could not be learned is named in the result.
func (c *call) checkCapacity(ctx context.Context, r *replicas, domain string) capacityResult {
	document, err := getAt(ctx, r, 0)
	if err != nil {
		return unknownCapacity(err)
	}
	if slices.Contains(document.GetDomainsOut(), domain) {
		return capacityResult{Known: true}
	}
	load, err := ask(ctx, r, func(ctx context.Context, client controlpb.OperatorsClient) (*controlpb.LoadAnswer, error) {
		return client.Load(ctx, &controlpb.LoadRequest{})
	})
	if err != nil {
		return unknownCapacity(err)
	}
	return judgeCapacity(domain, document, load)
}

func unknownCapacity(err error) capacityResult {
	reason := "no control replica answered"
	var refused *RefusedError
	if errors.As(err, &refused) {
		reason = refused.Fault
	}
	return capacityResult{Missing: []string{reason}}
}

// judgeCapacity compares the load of each service with the slots that remain without the failure domain.
func judgeCapacity(domain string, answer *controlpb.GetAnswer, load *controlpb.LoadAnswer) capacityResult {
	config, problems := document.Compile(base{answer: answer}.sections())
	if len(problems) > 0 {
		return unknownCapacity(problems)
	}
	result := capacityResult{Missing: missingReports(load)}
	slots := chooseSlots(config, load, &result)
	out := append(slices.Clone(answer.GetDomainsOut()), domain)
	for _, s := range config.Services {
		demands := append(demandsOf(s, config), loadsOf(s.Name, config, load)...)
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
		if g.GetSeconds() < loadWindow {
			missing = append(missing, fmt.Sprintf("%s has observed its load for %d s only", g.GetName(), g.GetSeconds()))
		}
	}
	return missing
}

// chooseSlots takes the slots of each region from a gateway of that region, which learns of its servers first, or else
// from any other. Gateways that started just now may not know all servers yet and are the last choice.
func chooseSlots(config *document.Config, load *controlpb.LoadAnswer, result *capacityResult) []*controlpb.ReadySlots {
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
			return cmp.Or(cmp.Compare(distance(a, region.Name), distance(b, region.Name)), cmp.Compare(a.GetName(), b.GetName()))
		})
		for _, s := range best.GetReadySlots() {
			if s.GetRegion() == region.Name {
				chosen = append(chosen, s)
			}
		}
	}
	return chosen
}

func distance(g *controlpb.GatewayLoad, region string) int {
	far := 0
	if g.GetSeconds() < loadWindow {
		far += 2
	}
	if g.GetRegion() != region {
		far++
	}
	return far
}

// demand is the load of requests that may run in the same regions.
type demand struct {
	// regions are sorted.
	regions []string
	// milli is the mean number in flight in each second, the newest first, in thousandths.
	milli [loadWindow]uint64
}

// demandsOf lists the regions in which the rules of a service may run, without load. They show a rule that would be
// left without any server.
func demandsOf(s *document.Service, config *document.Config) []demand {
	var demands []demand
	for _, rule := range s.Rules {
		for _, m := range config.Members {
			for _, t := range m.Tenants {
				if p, ok := rule.Placement(t); ok {
					demands = append(demands, demand{regions: expand(p.RunIn.Names, config)})
				}
			}
		}
	}
	return demands
}

func loadsOf(service string, config *document.Config, load *controlpb.LoadAnswer) []demand {
	var demands []demand
	for _, g := range load.GetGateways() {
		for _, s := range g.GetServices() {
			if s.GetService() != service {
				continue
			}
			d := demand{regions: expand(s.GetRegions(), config)}
			for i, n := range s.GetMilliInFlight() {
				if i < loadWindow {
					d.milli[i] = uint64(n)
				}
			}
			demands = append(demands, d)
		}
	}
	return demands
}

// expand gives the names of all regions for an empty list.
func expand(regions []string, config *document.Config) []string {
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
	for _, bound := range demands {
		s := shortage{Service: service, Regions: bound.regions, Need: need(bound.regions, demands)}
		affected := false
		for _, k := range slots {
			if k.GetService() != service || !slices.Contains(bound.regions, k.GetRegion()) {
				continue
			}
			affected = affected || k.GetFailureDomain() == domain && k.GetSlots() > 0
			if !slices.Contains(out, k.GetFailureDomain()) {
				s.SlotsLeft += int(k.GetSlots())
			}
		}
		if affected && s.lacks() && (!found || s.worseThan(worst)) {
			worst, found = s, true
		}
	}
	return worst, found
}

func (s shortage) worseThan(other shortage) bool {
	return s.Need*float64(other.SlotsLeft) > other.Need*float64(s.SlotsLeft) || s.SlotsLeft == 0 && other.SlotsLeft > 0
}

// need is the load of the busiest second of all requests that may run in the given regions only.
func need(regions []string, demands []demand) float64 {
	var sums [loadWindow]uint64
	for _, d := range demands {
		inside := !slices.ContainsFunc(d.regions, func(r string) bool { return !slices.Contains(regions, r) })
		if !inside {
			continue
		}
		for i, n := range d.milli {
			sums[i] += n
		}
	}
	return float64(slices.Max(sums[:])) / milli
}

// writeCapacity warns on standard error.
func (c *call) writeCapacity(domain string, r capacityResult) {
	for _, s := range r.Lacking {
		fmt.Fprintf(c.stderr, "warning: without failure domain %s, service %s needs %.1f slots in %s and has %d left\n",
			domain, s.Service, s.Need, strings.Join(s.Regions, ", "), s.SlotsLeft)
	}
	if !r.Known {
		fmt.Fprintf(c.stderr, "warning: it is not known whether the other failure domains can carry the load of %s: %s\n",
			domain, strings.Join(r.Missing, "; "))
	}
}
