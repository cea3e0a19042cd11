package document

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"io"
	"slices"

	"go.yaml.in/yaml/v3"
)

// Compile checks sections as one document and returns the Config that gateways use. Positions in problems refer to the
// text of a section. The Config is nil if there are problems.
func Compile(sections []Section) (*Config, Problems) {
	r := &reader{}
	if size := maxRenderedSize(sections); size > MaxDocumentBytes {
		r.report(position{file: "document", line: 1, col: 1}, ReasonTooLarge, "expected at most %d bytes, not %d", MaxDocumentBytes, size)
		return nil, r.problems
	}
	s := &spec{}
	seen := map[string]bool{}
	for _, section := range sections {
		if seen[section.Name] {
			r.report(sectionStart(section), ReasonDuplicate, "expected each section once")
			continue
		}
		seen[section.Name] = true
		r.readSection(s, section)
	}
	r.reportMissingSections(s, position{file: "document", line: 1, col: 1})
	r.crossCheck(s)
	if len(r.problems) > 0 {
		r.problems.sort()
		return nil, r.problems
	}
	return buildConfig(s), nil
}

// CheckSection checks the text of one section without cross-checks against other sections and returns its owner.
func CheckSection(section Section) (owner string, problems Problems) {
	r := &reader{}
	s := &spec{}
	r.readSection(s, section)
	r.problems.sort()
	return s.singleSectionOwner(), r.problems
}

// singleSectionOwner returns the owner of the section in a spec that holds only one section.
func (s *spec) singleSectionOwner() string {
	switch {
	case len(s.members) == 1:
		return s.members[0].name.name
	case s.topology != nil:
		return s.topology.owner.name
	case s.measuring != nil:
		return s.measuring.owner.name
	case len(s.services) == 1:
		return s.services[0].owner.name
	}
	return ""
}

// MemberKeyLookup returns a lookup of the keys of a member and its teams in the text of the member's section. It finds
// no key if the text has problems.
func MemberKeyLookup(member, text string) PublicKeyLookup {
	r := &reader{}
	s := &spec{}
	r.readSection(s, Section{Name: MemberSectionName(member), Text: text})
	c := &Config{members: map[string]*Member{}, callers: Callers{}, ownerOf: map[string]string{}}
	if len(r.problems) == 0 {
		c.addMember(s.members[0])
	}
	return c.PublicKey
}

func sectionStart(section Section) position {
	return position{file: section.Name, line: 1, col: 1, path: sectionPath(section.Name)}
}

func (r *reader) readSection(s *spec, section Section) {
	at := sectionStart(section)
	group, name, ok := SplitSectionName(section.Name)
	if !ok {
		r.report(at, ReasonBadValue, "expected members/NAME, topology, measuring or services/NAME; %s", nameRule)
		return
	}
	if len(section.Text) > MaxSectionBytes {
		r.report(at, ReasonTooLarge, "expected at most %d bytes", MaxSectionBytes)
		return
	}
	node := r.parseYAML(section.Name, []byte(section.Text))
	if node == nil {
		return
	}
	f := newField(section.Name, sectionPath(section.Name), node)
	r.decodeSection(s, group, positionedName{name, at}, f)
}

func (r *reader) decodeSection(s *spec, group string, name positionedName, f field) {
	switch group {
	case GroupMembers:
		s.members = append(s.members, r.member(name, f))
	case SectionTopology:
		s.topology = r.topology(f)
	case SectionMeasuring:
		s.measuring = r.measuring(f)
	case GroupServices:
		s.services = append(s.services, r.service(name, f))
	}
}

// reportMissingSections reports mandatory sections that are missing.
func (r *reader) reportMissingSections(s *spec, at position) {
	missing := func(path string) {
		at.path = path
		r.report(at, ReasonMissing, "expected this section")
	}
	if len(s.members) == 0 {
		missing(GroupMembers)
	}
	if s.topology == nil {
		missing(SectionTopology)
	}
	if s.measuring == nil {
		missing(SectionMeasuring)
	}
}

// parseYAML parses a text that must hold exactly one YAML document. It returns nil after it reported a problem.
func (r *reader) parseYAML(file string, text []byte) *yaml.Node {
	var root, second yaml.Node
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	err := decoder.Decode(&root)
	if err == io.EOF || err == nil && len(root.Content) == 0 {
		r.report(position{file, 1, 1, wholeFile}, ReasonSyntax, "expected a mapping of fields")
		return nil
	}
	if err != nil {
		r.report(position{file, syntaxLine(err), 1, wholeFile}, ReasonSyntax, "expected YAML: %s", err.Error())
		return nil
	}
	if decoder.Decode(&second) != io.EOF {
		r.report(position{file, 1, 1, wholeFile}, ReasonSyntax, "expected one YAML document")
		return nil
	}
	before := len(r.problems)
	r.reportAliases(file, root.Content[0])
	if len(r.problems) > before {
		return nil
	}
	return root.Content[0]
}

func buildConfig(s *spec) *Config {
	c := &Config{
		services: map[string]*Service{}, members: map[string]*Member{}, callers: Callers{},
		regionOf: map[string]string{}, routes: map[routeKey]*Rule{}, ownerOf: map[string]string{},
	}
	for _, m := range s.members {
		c.addMember(m)
	}
	c.addTopology(s.topology)
	c.MeasuringRateWithinRegion = s.measuring.withinRegion
	c.MeasuringRateAcrossRegions = s.measuring.acrossRegions
	c.ownerOf[SectionMeasuring] = s.measuring.owner.name
	for _, service := range s.services {
		c.addService(service)
	}
	slices.SortFunc(c.Members, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

func (c *Config) addMember(s memberSpec) {
	m := &Member{Name: s.name.name, MaxInFlight: s.limit, keys: map[signerKeyID]ed25519.PublicKey{}}
	for _, k := range s.keys {
		m.keys[signerKeyID{m.Name, k.id.name}] = k.publicKey
	}
	for _, team := range s.teams {
		for _, k := range team.keys {
			m.keys[signerKeyID{m.Name + "/" + team.name.name, k.id.name}] = k.publicKey
		}
	}
	for _, t := range s.tenants {
		tenant := &Tenant{Member: m, Name: t.name.name, Home: t.homeRegions.regions()}
		m.Tenants = append(m.Tenants, tenant)
		for _, caller := range t.callers {
			c.callers[caller.token.sum] = &Caller{Tenant: tenant, Name: caller.name.name}
		}
	}
	slices.SortFunc(m.Tenants, func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
	c.members[m.Name] = m
	c.Members = append(c.Members, m)
	c.ownerOf[MemberSectionName(m.Name)] = m.Name
}

func (c *Config) addTopology(s *topologySpec) {
	c.ownerOf[SectionTopology] = s.owner.name
	for _, region := range s.regions {
		c.Regions = append(c.Regions, Region{Name: region.name.name, FailureDomains: sortedNames(region.domains)})
		for _, d := range region.domains {
			c.regionOf[d.name] = region.name.name
		}
	}
	slices.SortFunc(c.Regions, func(a, b Region) int { return cmp.Compare(a.Name, b.Name) })
}

func (c *Config) addService(s serviceSpec) {
	service := &Service{
		Name: s.name.name, Owner: s.owner.name, Credential: s.credential.sum, ClaimRegion: s.claimRegion.name,
		Workers: s.workers, Slots: s.slots, Connections: s.connections,
	}
	for i := range s.rules {
		service.Rules = append(service.Rules, c.addRule(service, &s.rules[i]))
	}
	c.services[service.Name] = service
	c.Services = append(c.Services, service)
	c.ownerOf[ServiceSectionName(service.Name)] = service.Owner
}

func (c *Config) addRule(service *Service, s *ruleSpec) *Rule {
	placement := s.placement(AnyRegion())
	rule := &Rule{
		Service: service, Name: s.name.name, Methods: sortedNames(s.methods), Path: s.path.name,
		Idempotent: s.idempotent, KeyPolicy: s.keyPolicy,
		Home: placement.Home, RunIn: placement.RunIn, KeepIn: placement.KeepIn,
		Deadline: s.deadline, MaxBodyBytes: s.maxBody, Hedge: s.hedge, placements: map[*Tenant]Placement{},
	}
	for _, m := range c.Members {
		for _, t := range m.Tenants {
			if s.admitsTenant(m.Name, t.Name) {
				rule.placements[t] = s.placement(t.Home)
			}
		}
	}
	for _, method := range rule.Methods {
		c.routes[routeKey{method, rule.Path}] = rule
	}
	c.longestPrefix = max(c.longestPrefix, len(rule.Path))
	return rule
}
