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
	// maxSlotUtilization is the fraction of the remaining slots that the load may take. Near full utilization, a small
	// increase in load makes requests queue at every server.
	maxSlotUtilization = 0.8
	// loadWindowSeconds is how long a gateway must have observed its load for its report to be complete.
	loadWindowSeconds = 10
	milliPerRequest   = 1000
	// capacityTimeout limits the check, so that it cannot block taking out a failure domain in an emergency.
	capacityTimeout = 3 * time.Second
)

// capacityResult is the result of the check whether the other failure domains can carry the load of one that is to be
// taken out.
type capacityResult struct {
	// Known is false if reports are missing. Lacking may be incomplete then.
	Known bool `json:"known"`
	// Missing describes the missing information.
	Missing []string `json:"missing,omitempty"`
	// Lacking lists the services with too few remaining slots.
	Lacking []shortage `json:"lacking,omitempty"`
}

// shortage compares the load of a service in some regions with the slots that remain there.
type shortage struct {
	Service string `json:"service"`
	// Regions lists the regions in which the counted requests may run.
	Regions []string `json:"regions"`
	// Need is the mean number of requests in flight at backend servers in the busiest of the last 10 s.
	Need float64 `json:"need"`
	// SlotsLeft is the number of slots of ready servers in the regions, without the failure domains that are out.
	SlotsLeft int `json:"slots_left"`
}

// isShort reports whether the load exceeds maxSlotUtilization of the slots left. Rules without load need one slot.
func (s shortage) isShort() bool {
	return s.SlotsLeft == 0 || s.Need > maxSlotUtilization*float64(s.SlotsLeft)
}

// enforceCapacityCheck warns before a failure domain is taken out if the other ones cannot carry its load. It refuses
// the change only with -capacity=require. Missing reports do not cause a refusal, because they are to be expected while
// the failure domain is failing. A change with a given ID is not refused either: it may be the resend of a change that
// has been accepted, and the message that nothing was sent could be wrong.
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

// queryCapacity fetches the document and the load and evaluates them. It never fails: information that could not be
// fetched is listed in the result.
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

// unknownCapacity returns the result for a document or load that could not be fetched or used.
func unknownCapacity(err error) capacityResult {
	reason := "no control replica answered"
	var refused *RefusedError
	if errors.As(err, &refused) {
		reason = refused.Reason
	}
	return capacityResult{Missing: []string{reason}}
}

// evaluateCapacity compares the load of each service with the slots that remain without the failure domain.
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

// missingReports describes each gateway whose load report is missing or incomplete.
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

// selectReadySlots takes the ready slots of each region from one report. It prefers that of a gateway in the region,
// which learns of the region's servers first. Recently started gateways may not know all servers yet and are used only
// as a last resort.
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

// reportRank ranks a gateway's report on a region; the lowest rank is preferred.
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

// demand is the load of requests that may run in the same set of regions.
type demand struct {
	// regions are sorted.
	regions []string
	// milli is the mean number of requests in flight in each second, in thousandths, the newest second first.
	milli [loadWindowSeconds]uint64
}

// ruleDemands returns a demand with zero load for the regions of each rule of a service. These demands reveal rules
// that would be left without any server.
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

// reportedDemands returns the load of a service in the reports of all gateways.
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

// regionsOrAll returns the sorted regions, or all configured regions for an empty list.
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

// worstShortage returns the shortage in which the load takes the largest share of the slots left. For each set of
// regions to which some requests are restricted, the slots must suffice for all requests restricted to that set or a
// subset of it. Only sets with ready slots in the failure domain are checked.
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

// peakLoad returns the total load, in the busiest second, of all requests that may run only in the given regions.
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

// warnCapacity writes warnings about shortages and missing information to standard error.
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
