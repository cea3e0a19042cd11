package document

import (
	"bytes"
	"cmp"
	"crypto/ed25519"
	"io"
	"slices"

	"go.yaml.in/yaml/v3"
)

// Compile checks sections as one document and gives what gateways use. Positions in problems count within the text of
// a section. The Config is nil if there are problems.
func Compile(sections []Section) (*Config, Problems) {
	r := &reader{}
	if size := renderedSize(sections); size > MaxDocumentBytes {
		r.add(spot{file: "document", line: 1, col: 1}, ReasonTooLarge, "expected at most %d bytes, not %d", MaxDocumentBytes, size)
		return nil, r.problems
	}
	s := &spec{}
	seen := map[string]bool{}
	for _, section := range sections {
		if seen[section.Name] {
			r.add(sectionSpot(section), ReasonDuplicate, "expected each section once")
			continue
		}
		seen[section.Name] = true
		r.readSection(s, section)
	}
	r.mandatory(s, spot{file: "document", line: 1, col: 1})
	r.check(s)
	if len(r.problems) > 0 {
		r.problems.sort()
		return nil, r.problems
	}
	return build(s), nil
}

// CheckSection checks the text of one section without cross checks and returns its owner.
func CheckSection(section Section) (owner string, problems Problems) {
	r := &reader{}
	s := &spec{}
	r.readSection(s, section)
	r.problems.sort()
	return s.onlyOwner(), r.problems
}

// onlyOwner returns the owner of the only section of a spec.
func (s *spec) onlyOwner() string {
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

// MemberKeyLookup returns the keys in the text of a member's section, for the member and its teams.
func MemberKeyLookup(member, text string) PublicKeyLookup {
	r := &reader{}
	s := &spec{}
	r.readSection(s, Section{Name: MemberSectionName(member), Text: text})
	c := &Config{members: map[string]*Member{}, callers: map[[32]byte]*Caller{}, owners: map[string]string{}}
	if len(r.problems) == 0 {
		c.addMember(s.members[0])
	}
	return c.PublicKey
}

func sectionSpot(section Section) spot {
	return spot{file: section.Name, line: 1, col: 1, path: sectionPath(section.Name)}
}

func (r *reader) readSection(s *spec, section Section) {
	at := sectionSpot(section)
	group, name, ok := SplitSectionName(section.Name)
	if !ok {
		r.add(at, ReasonBadValue, "expected members/NAME, topology, measuring or services/NAME; %s", nameRule)
		return
	}
	if len(section.Text) > MaxSectionBytes {
		r.add(at, ReasonTooLarge, "expected at most %d bytes", MaxSectionBytes)
		return
	}
	node := r.parseYAML(section.Name, []byte(section.Text))
	if node == nil {
		return
	}
	f := nodeField(section.Name, sectionPath(section.Name), node)
	r.decodeSection(s, group, ref{name, at}, f)
}

func (r *reader) decodeSection(s *spec, group string, name ref, f field) {
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

// mandatory reports the sections that every document has.
func (r *reader) mandatory(s *spec, at spot) {
	missing := func(path string) {
		at.path = path
		r.add(at, ReasonMissing, "expected this section")
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

// parseYAML returns the only document of a YAML text, or nil after it reported a problem.
func (r *reader) parseYAML(file string, text []byte) *yaml.Node {
	var root, more yaml.Node
	d := yaml.NewDecoder(bytes.NewReader(text))
	err := d.Decode(&root)
	if err == io.EOF || err == nil && len(root.Content) == 0 {
		r.add(spot{file, 1, 1, wholeFile}, ReasonSyntax, "expected a mapping of fields")
		return nil
	}
	if err != nil {
		r.add(spot{file, syntaxLine(err), 1, wholeFile}, ReasonSyntax, "expected YAML: %s", err.Error())
		return nil
	}
	if d.Decode(&more) != io.EOF {
		r.add(spot{file, 1, 1, wholeFile}, ReasonSyntax, "expected one YAML document")
		return nil
	}
	before := len(r.problems)
	r.noAliases(file, root.Content[0])
	if len(r.problems) > before {
		return nil
	}
	return root.Content[0]
}

func build(s *spec) *Config {
	c := &Config{
		services: map[string]*Service{}, members: map[string]*Member{}, callers: map[[32]byte]*Caller{},
		regionOf: map[string]string{}, routes: map[routeKey]*Rule{}, owners: map[string]string{},
	}
	for _, m := range s.members {
		c.addMember(m)
	}
	c.addTopology(s.topology)
	c.MeasuringRateWithinRegion = s.measuring.within
	c.MeasuringRateAcrossRegions = s.measuring.across
	c.owners[SectionMeasuring] = s.measuring.owner.name
	for _, service := range s.services {
		c.addService(service)
	}
	slices.SortFunc(c.Members, func(a, b *Member) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return c
}

func (c *Config) addMember(s memberSpec) {
	m := &Member{Name: s.name.name, MaxInFlight: s.limit, keys: map[keyName]ed25519.PublicKey{}}
	for _, k := range s.keys {
		m.keys[keyName{m.Name, k.id.name}] = k.public
	}
	for _, team := range s.teams {
		for _, k := range team.keys {
			m.keys[keyName{m.Name + "/" + team.name.name, k.id.name}] = k.public
		}
	}
	for _, t := range s.tenants {
		tenant := &Tenant{Member: m, Name: t.name.name, Home: t.home.regions()}
		m.Tenants = append(m.Tenants, tenant)
		for _, caller := range t.callers {
			c.callers[caller.token.sum] = &Caller{Tenant: tenant, Name: caller.name.name}
		}
	}
	slices.SortFunc(m.Tenants, func(a, b *Tenant) int { return cmp.Compare(a.Name, b.Name) })
	c.members[m.Name] = m
	c.Members = append(c.Members, m)
	c.owners[MemberSectionName(m.Name)] = m.Name
}

func (c *Config) addTopology(s *topologySpec) {
	c.owners[SectionTopology] = s.owner.name
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
	c.owners[ServiceSectionName(service.Name)] = service.Owner
}

func (c *Config) addRule(service *Service, s *ruleSpec) *Rule {
	own := s.placement(AnyRegion())
	rule := &Rule{
		Service: service, Name: s.name.name, Methods: sortedNames(s.methods), Path: s.path.name,
		Idempotent: s.idempotent, KeyPolicy: s.keyPolicy, Home: own.Home, RunIn: own.RunIn, KeepIn: own.KeepIn,
		Deadline: s.deadline, MaxBodyBytes: s.maxBody, Hedge: s.hedge, placements: map[*Tenant]Placement{},
	}
	for _, m := range c.Members {
		for _, t := range m.Tenants {
			if s.admits(m.Name, t.Name) {
				rule.placements[t] = s.placement(t.Home)
			}
		}
	}
	for _, method := range rule.Methods {
		c.routes[routeKey{method, rule.Path}] = rule
	}
	c.longest = max(c.longest, len(rule.Path))
	return rule
}
