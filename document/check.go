package document

import (
	"slices"
	"strings"
)

// checker holds the indexes for cross checks of a whole document.
type checker struct {
	*reader
	spec    *spec
	members map[string]*memberSpec
	// regions is nil when the topology is missing; names of regions are not checked then.
	regions map[string]bool
}

func (r *reader) check(s *spec) {
	c := &checker{reader: r, spec: s, members: map[string]*memberSpec{}}
	for i := range s.members {
		c.members[s.members[i].name.name] = &s.members[i]
	}
	c.checkTopology()
	if s.measuring != nil {
		c.checkOwner(s.measuring.owner)
	}
	c.checkTokens()
	for _, m := range s.members {
		for _, t := range m.tenants {
			c.knownRegions(t.home.refs)
		}
	}
	for i := range s.services {
		c.checkService(&s.services[i])
	}
	c.checkAmbiguous()
}

func (c *checker) checkTopology() {
	t := c.spec.topology
	if t == nil {
		return
	}
	c.checkOwner(t.owner)
	c.regions = map[string]bool{}
	seen := map[string]bool{}
	for _, region := range t.regions {
		c.regions[region.name.name] = true
		for _, d := range region.domains {
			if seen[d.name] {
				c.add(d.at, ReasonDuplicate, "expected each failure domain in one region only")
			}
			seen[d.name] = true
		}
	}
}

// checkOwner reports owners that do not exist.
func (c *checker) checkOwner(owner ref) {
	if owner.name == "" {
		return
	}
	name, team, hasTeam := strings.Cut(owner.name, "/")
	m, ok := c.members[name]
	if !ok {
		c.add(owner.at, ReasonUnknownName, "expected an existing member, not %q", name)
		return
	}
	isTeam := func(t teamSpec) bool { return t.name.name == team }
	if hasTeam && !slices.ContainsFunc(m.teams, isTeam) {
		c.add(owner.at, ReasonUnknownName, "expected a team of member %s, not %q", name, team)
	}
}

// checkTokens reports token hashes that two callers share.
func (c *checker) checkTokens() {
	seen := map[[32]byte]bool{}
	for _, m := range c.spec.members {
		for _, t := range m.tenants {
			for _, caller := range t.callers {
				token := caller.token
				if token.valid && seen[token.sum] {
					c.add(token.at, ReasonDuplicate, "expected a token that no other caller has")
				}
				seen[token.sum] = true
			}
		}
	}
}

func (c *checker) knownRegions(list []ref) {
	for _, region := range list {
		c.knownRegion(region)
	}
}

func (c *checker) knownRegion(region ref) {
	if region.name != "" && c.regions != nil && !c.regions[region.name] {
		c.add(region.at, ReasonUnknownName, "expected a region of the topology, not %q", region.name)
	}
}

func (c *checker) checkService(s *serviceSpec) {
	c.checkOwner(s.owner)
	c.knownRegion(s.claimRegion)
	seen := map[string]bool{}
	for i := range s.rules {
		rule := &s.rules[i]
		if rule.name.name != "" && seen[rule.name.name] {
			c.add(rule.name.at, ReasonDuplicate, "expected each rule name once")
		}
		seen[rule.name.name] = true
		c.checkRuleRegions(rule)
		c.checkCallers(rule)
		if !rule.idempotent {
			c.checkClaimRegion(s, rule)
		}
	}
}

// checkRuleRegions reports regions that do not exist, and run and keep regions outside the home regions.
func (c *checker) checkRuleRegions(rule *ruleSpec) {
	home := rule.home.regions()
	c.knownRegions(rule.home.refs)
	for _, list := range []regionList{rule.runIn, rule.keepIn} {
		c.knownRegions(list.refs)
		for _, region := range list.refs {
			if !home.Contains(region.name) {
				c.add(region.at, ReasonInconsistentRegions, "expected one of the rule's home regions, not %q", region.name)
			}
		}
	}
}

func (c *checker) checkCallers(rule *ruleSpec) {
	for _, caller := range rule.callers {
		member, tenant, _ := strings.Cut(caller.name, "/")
		m, ok := c.members[member]
		if !ok {
			c.add(caller.at, ReasonUnknownName, "expected a tenant of an existing member, not %q", caller.name)
			continue
		}
		if tenant == "*" {
			continue
		}
		i := slices.IndexFunc(m.tenants, func(t tenantSpec) bool { return t.name.name == tenant })
		if i < 0 {
			c.add(caller.at, ReasonUnknownName, "expected a tenant of member %s, not %q", member, tenant)
			continue
		}
		if rule.placement(m.tenants[i].home.regions()).RunIn.Empty() {
			c.add(caller.at, ReasonInconsistentRegions, "expected a tenant whose home regions include a region in which the rule runs")
		}
	}
}

// checkClaimRegion demands that claims of the rule are stored only where the request may be.
func (c *checker) checkClaimRegion(s *serviceSpec, rule *ruleSpec) {
	region := s.claimRegion.name
	if region == "" {
		c.add(rule.at, ReasonClaimRegion, "expected a claim_region in the service, because this rule is not idempotent")
		return
	}
	if !rule.placement(AnyRegion()).KeepIn.Contains(region) {
		c.add(rule.at, ReasonClaimRegion, "expected the claim region %q among the keep and home regions", region)
	}
	for _, m := range c.spec.members {
		for _, t := range m.tenants {
			if rule.admits(m.name.name, t.name.name) && !t.home.regions().Contains(region) {
				c.add(rule.at, ReasonClaimRegion, "expected the claim region %q among the home regions of tenant %s/%s",
					region, m.name.name, t.name.name)
			}
		}
	}
}

func (s *ruleSpec) admits(member, tenant string) bool {
	return slices.ContainsFunc(s.callers, func(c ref) bool {
		callerMember, callerTenant, _ := strings.Cut(c.name, "/")
		return callerMember == member && (callerTenant == "*" || callerTenant == tenant)
	})
}

// placement returns the regions of a request of a tenant with these home regions.
func (s *ruleSpec) placement(tenant Regions) Placement {
	home := s.home.regions().Intersect(tenant)
	return Placement{Home: home, RunIn: s.runIn.regions().Intersect(home), KeepIn: s.keepIn.regions().Intersect(home)}
}

// checkAmbiguous reports two rules, of any services, for the same method and path prefix.
func (c *checker) checkAmbiguous() {
	seen := map[routeKey]string{}
	for _, s := range c.spec.services {
		for _, rule := range s.rules {
			for _, method := range rule.methods {
				key := routeKey{method.name, rule.path.name}
				other, taken := seen[key]
				if taken && rule.path.name != "" {
					c.add(rule.path.at, ReasonAmbiguousRule, "expected one rule for %s %s; %s has it already", method.name,
						rule.path.name, other)
					break
				}
				seen[key] = "rule " + rule.name.name + " of service " + s.name.name
			}
		}
	}
}

func sortedNames(refs []ref) []string {
	names := make([]string, len(refs))
	for i, r := range refs {
		names[i] = r.name
	}
	slices.Sort(names)
	return names
}
