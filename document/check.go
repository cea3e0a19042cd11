package document

import (
	"slices"
	"strings"
)

// checker holds the indexes for the cross-checks of a whole document.
type checker struct {
	*reader
	spec    *spec
	members map[string]*memberSpec
	// regions is nil if the topology is missing; region names are not checked then.
	regions map[string]bool
}

func (r *reader) crossCheck(s *spec) {
	c := &checker{reader: r, spec: s, members: map[string]*memberSpec{}}
	for i := range s.members {
		c.members[s.members[i].name.name] = &s.members[i]
	}
	c.checkTopology()
	if s.measuring != nil {
		c.checkOwner(s.measuring.owner)
	}
	c.checkDuplicateTokens()
	for _, m := range s.members {
		for _, t := range m.tenants {
			c.checkRegionsExist(t.homeRegions.names)
		}
	}
	for i := range s.services {
		c.checkService(&s.services[i])
	}
	c.checkAmbiguousRules()
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
				c.report(d.at, ReasonDuplicate, "expected each failure domain in one region only")
			}
			seen[d.name] = true
		}
	}
}

// checkOwner reports an owner that does not exist.
func (c *checker) checkOwner(owner positionedName) {
	if owner.name == "" {
		return
	}
	name, team, hasTeam := strings.Cut(owner.name, "/")
	m, ok := c.members[name]
	if !ok {
		c.report(owner.at, ReasonUnknownName, "expected an existing member, not %q", name)
		return
	}
	isTeam := func(t teamSpec) bool { return t.name.name == team }
	if hasTeam && !slices.ContainsFunc(m.teams, isTeam) {
		c.report(owner.at, ReasonUnknownName, "expected a team of member %s, not %q", name, team)
	}
}

// checkDuplicateTokens reports token hashes that more than one caller has.
func (c *checker) checkDuplicateTokens() {
	seen := map[[32]byte]bool{}
	for _, m := range c.spec.members {
		for _, t := range m.tenants {
			for _, caller := range t.callers {
				token := caller.token
				if token.valid && seen[token.sum] {
					c.report(token.at, ReasonDuplicate, "expected a token that no other caller has")
				}
				seen[token.sum] = true
			}
		}
	}
}

func (c *checker) checkRegionsExist(list []positionedName) {
	for _, region := range list {
		c.checkRegionExists(region)
	}
}

func (c *checker) checkRegionExists(region positionedName) {
	if region.name != "" && c.regions != nil && !c.regions[region.name] {
		c.report(region.at, ReasonUnknownName, "expected a region of the topology, not %q", region.name)
	}
}

func (c *checker) checkService(s *serviceSpec) {
	c.checkOwner(s.owner)
	c.checkRegionExists(s.claimRegion)
	seen := map[string]bool{}
	for i := range s.rules {
		rule := &s.rules[i]
		if rule.name.name != "" && seen[rule.name.name] {
			c.report(rule.name.at, ReasonDuplicate, "expected each rule name once")
		}
		seen[rule.name.name] = true
		c.checkRuleRegions(rule)
		c.checkCallers(rule)
		if !rule.idempotent {
			c.checkClaimRegion(s, rule)
		}
	}
}

// checkRuleRegions reports regions that do not exist, and run_in and keep_in regions outside the rule's home regions.
func (c *checker) checkRuleRegions(rule *ruleSpec) {
	home := rule.homeRegions.regions()
	c.checkRegionsExist(rule.homeRegions.names)
	for _, list := range []regionList{rule.runIn, rule.keepIn} {
		c.checkRegionsExist(list.names)
		for _, region := range list.names {
			if !home.Contains(region.name) {
				c.report(region.at, ReasonInconsistentRegions, "expected one of the rule's home regions, not %q", region.name)
			}
		}
	}
}

func (c *checker) checkCallers(rule *ruleSpec) {
	for _, caller := range rule.callers {
		member, tenant, _ := strings.Cut(caller.name, "/")
		m, ok := c.members[member]
		if !ok {
			c.report(caller.at, ReasonUnknownName, "expected a tenant of an existing member, not %q", caller.name)
			continue
		}
		if tenant == "*" {
			continue
		}
		i := slices.IndexFunc(m.tenants, func(t tenantSpec) bool { return t.name.name == tenant })
		if i < 0 {
			c.report(caller.at, ReasonUnknownName, "expected a tenant of member %s, not %q", member, tenant)
			continue
		}
		if rule.placement(m.tenants[i].homeRegions.regions()).RunIn.Empty() {
			c.report(caller.at, ReasonInconsistentRegions, "expected a tenant whose home regions include a region in which the rule runs")
		}
	}
}

// checkClaimRegion reports a rule whose claims would be stored in a region in which its requests may not be stored.
func (c *checker) checkClaimRegion(s *serviceSpec, rule *ruleSpec) {
	region := s.claimRegion.name
	if region == "" {
		c.report(rule.at, ReasonClaimRegion, "expected a claim_region in the service, because this rule is not idempotent")
		return
	}
	if !rule.placement(AnyRegion()).KeepIn.Contains(region) {
		c.report(rule.at, ReasonClaimRegion, "expected the claim region %q among the keep and home regions", region)
	}
	for _, m := range c.spec.members {
		for _, t := range m.tenants {
			if rule.admitsTenant(m.name.name, t.name.name) && !t.homeRegions.regions().Contains(region) {
				c.report(rule.at, ReasonClaimRegion, "expected the claim region %q among the home regions of tenant %s/%s",
					region, m.name.name, t.name.name)
			}
		}
	}
}

func (s *ruleSpec) admitsTenant(member, tenant string) bool {
	return slices.ContainsFunc(s.callers, func(c positionedName) bool {
		callerMember, callerTenant, _ := strings.Cut(c.name, "/")
		return callerMember == member && (callerTenant == "*" || callerTenant == tenant)
	})
}

// placement returns the placement of the requests of a tenant with these home regions.
func (s *ruleSpec) placement(tenantHome Regions) Placement {
	home := s.homeRegions.regions().Intersect(tenantHome)
	return Placement{Home: home, RunIn: s.runIn.regions().Intersect(home), KeepIn: s.keepIn.regions().Intersect(home)}
}

// checkAmbiguousRules reports rules with the same method and path prefix, also across services.
func (c *checker) checkAmbiguousRules() {
	seen := map[routeKey]string{}
	for _, s := range c.spec.services {
		for _, rule := range s.rules {
			for _, method := range rule.methods {
				key := routeKey{method.name, rule.path.name}
				other, taken := seen[key]
				if taken && rule.path.name != "" {
					c.report(rule.path.at, ReasonAmbiguousRule, "expected one rule for %s %s; %s has it already", method.name,
						rule.path.name, other)
					break
				}
				seen[key] = "rule " + rule.name.name + " of service " + s.name.name
			}
		}
	}
}

func sortedNames(list []positionedName) []string {
	names := make([]string, len(list))
	for i, n := range list {
		names[i] = n.name
	}
	slices.Sort(names)
	return names
}
