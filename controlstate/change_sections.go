package controlstate

import (
	"fmt"
	"slices"
	"strings"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// changeSections applies a change of sections to a document in force. Equal texts are no change. Owners are checked
// before conflicts, conflicts before the resulting document.
func (c *Configuration) changeSections(r request) *controlpb.ChangeOutcome {
	if o := c.checkNames(r.change); o != nil {
		return o
	}
	if candidate, ok := c.joining(r.change); ok {
		return c.join(r, candidate)
	}
	r.change = c.withoutEqual(r.change)
	if len(r.change.GetSections()) == 0 {
		return c.outcome(controlpb.ChangeResult_CHANGE_NOTHING)
	}
	if o := c.checkOwners(r); o != nil {
		return o
	}
	if conflicts := c.conflicts(r.change); len(conflicts) > 0 {
		o := c.outcome(controlpb.ChangeResult_CHANGE_CONFLICT)
		o.Conflicts = conflicts
		return o
	}
	config, problems := document.Compile(c.sectionsAfter(r.change))
	if len(problems) > 0 {
		return c.invalidDocument(problems)
	}
	if o := c.checkClaimRegions(config); o != nil {
		return o
	}
	c.commit(r, config)
	o := c.accepted()
	c.settle()
	return o
}

func (c *Configuration) checkNames(change *controlpb.Change) *controlpb.ChangeOutcome {
	seen := map[string]bool{}
	for _, s := range change.GetSections() {
		if _, _, ok := document.SplitSectionName(s.GetName()); !ok {
			return c.invalid(s.GetName(), ReasonSectionName, "expected members/NAME, topology, measuring or services/NAME")
		}
		if seen[s.GetName()] {
			return c.invalid(s.GetName(), ReasonSectionName, "expected each section once")
		}
		seen[s.GetName()] = true
	}
	return nil
}

// withoutEqual copies a change without the sections that are in force as wanted already.
func (c *Configuration) withoutEqual(change *controlpb.Change) *controlpb.Change {
	next := &controlpb.Change{Id: change.GetId(), Comment: change.GetComment()}
	for _, s := range change.GetSections() {
		current, inForce := c.sections.current[s.GetName()]
		equal := s.GetRemove() && !inForce || !s.GetRemove() && inForce && current.GetText() == s.GetText()
		if !equal {
			next.Sections = append(next.Sections, s)
		}
	}
	return next
}

// checkOwners demands the signatures of the owners before and after the change.
func (c *Configuration) checkOwners(r request) *controlpb.ChangeOutcome {
	for _, s := range r.change.GetSections() {
		if owner, ok := c.config.SectionOwner(s.GetName()); ok && !r.mayActFor(owner) {
			return c.unauthorized(s.GetName(), ReasonOwner, "expected a signature of owner "+owner)
		}
		if s.GetRemove() {
			continue
		}
		owner, problems := document.CheckSection(document.Section{Name: s.GetName(), Text: s.GetText()})
		if len(problems) > 0 {
			return c.invalidDocument(problems)
		}
		if !r.mayActFor(owner) {
			return c.unauthorized(s.GetName(), ReasonOwner, "expected a signature of new owner "+owner)
		}
	}
	return nil
}

// conflicts returns the texts in force of the sections whose base revision is not the one in force. A section that was
// removed has revision 0 and no text.
func (c *Configuration) conflicts(change *controlpb.Change) []*controlpb.Section {
	var list []*controlpb.Section
	for _, s := range change.GetSections() {
		if c.sections.revisionOf(s.GetName()) == s.GetBaseRevision() {
			continue
		}
		v := c.sections.current[s.GetName()]
		list = append(list, &controlpb.Section{Name: s.GetName(), Revision: v.GetRevision(), Text: v.GetText()})
	}
	return list
}

// sectionsAfter returns the document as it is after a change.
func (c *Configuration) sectionsAfter(change *controlpb.Change) []document.Section {
	changed := map[string]bool{}
	var list []document.Section
	for _, s := range change.GetSections() {
		changed[s.GetName()] = true
		if !s.GetRemove() {
			list = append(list, document.Section{Name: s.GetName(), Text: s.GetText()})
		}
	}
	for _, s := range c.sections.list() {
		if !changed[s.Name] {
			list = append(list, s)
		}
	}
	document.SortSections(list)
	return list
}

// checkClaimRegions refuses a service whose claim region differs from the one it ever had.
func (c *Configuration) checkClaimRegions(config *document.Config) *controlpb.ChangeOutcome {
	for _, s := range config.Services {
		region, fixed := c.claimRegions[s.Name]
		if fixed && s.ClaimRegion != "" && s.ClaimRegion != region {
			path := "services." + s.Name + ".claim_region"
			return c.invalid(path, ReasonClaimRegion, fmt.Sprintf("expected %q, which the service had before", region))
		}
	}
	return nil
}

// commit puts a change in force at a new revision.
func (c *Configuration) commit(r request, config *document.Config) {
	c.revision++
	for _, s := range r.change.GetSections() {
		if s.GetRemove() {
			c.sections.remove(s.GetName(), c.revision)
			c.forgetApprovals(s.GetName())
			continue
		}
		c.sections.set(s.GetName(), s.GetText(), c.revision)
	}
	c.use(config)
	c.note(r, controlpb.ChangeResult_CHANGE_ACCEPTED)
	c.sections.prune(c.revision)
}

// use puts a compiled document in force and remembers the claim regions.
func (c *Configuration) use(config *document.Config) {
	for _, s := range config.Services {
		if s.ClaimRegion != "" {
			c.claimRegions[s.Name] = s.ClaimRegion
		}
	}
	c.domainsOut = slices.DeleteFunc(c.domainsOut, func(domain string) bool {
		_, exists := config.RegionOf(domain)
		return !exists
	})
	c.config = config.WithDomainsOut(c.domainsOut)
}

// memberOf returns the member of a section members/NAME.
func memberOf(section string) (string, bool) {
	return strings.CutPrefix(section, document.GroupMembers+"/")
}
