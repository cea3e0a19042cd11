package controlstate

import (
	"fmt"
	"slices"
	"strings"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// changeSections applies a change of sections to the current document. Sections whose text stays the same are ignored.
// Signatures of the owners are checked before conflicts, and conflicts before the resulting document is compiled.
func (c *Configuration) changeSections(r verifiedChange) *controlpb.ChangeOutcome {
	if o := c.checkSectionNames(r.change); o != nil {
		return o
	}
	if candidate, ok := c.candidateIn(r.change); ok {
		return c.changeCandidate(r, candidate)
	}
	r.change = c.withoutUnchanged(r.change)
	if len(r.change.GetSections()) == 0 {
		return c.newOutcome(controlpb.ChangeResult_CHANGE_NOTHING)
	}
	if o := c.checkOwnerSignatures(r); o != nil {
		return o
	}
	if conflicts := c.conflicts(r.change); len(conflicts) > 0 {
		o := c.newOutcome(controlpb.ChangeResult_CHANGE_CONFLICT)
		o.Conflicts = conflicts
		return o
	}
	config, problems := document.Compile(c.sectionsAfter(r.change))
	if len(problems) > 0 {
		return c.invalidDocumentOutcome(problems)
	}
	if o := c.checkClaimRegions(config); o != nil {
		return o
	}
	c.commit(r, config)
	o := c.acceptedOutcome()
	c.admitReadyCandidates()
	return o
}

func (c *Configuration) checkSectionNames(change *controlpb.Change) *controlpb.ChangeOutcome {
	seen := map[string]bool{}
	for _, s := range change.GetSections() {
		if _, _, ok := document.SplitSectionName(s.GetName()); !ok {
			return c.invalidOutcome(s.GetName(), ReasonSectionName, "expected members/NAME, topology, measuring or services/NAME")
		}
		if seen[s.GetName()] {
			return c.invalidOutcome(s.GetName(), ReasonSectionName, "expected each section once")
		}
		seen[s.GetName()] = true
	}
	return nil
}

// withoutUnchanged copies a change without the sections that already have the requested text or are already removed.
func (c *Configuration) withoutUnchanged(change *controlpb.Change) *controlpb.Change {
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

// checkOwnerSignatures requires, for each section, signatures of its current owner and of its owner after the change.
func (c *Configuration) checkOwnerSignatures(r verifiedChange) *controlpb.ChangeOutcome {
	for _, s := range r.change.GetSections() {
		if owner, ok := c.config.SectionOwner(s.GetName()); ok && !r.isSignedFor(owner) {
			return c.unauthorizedOutcome(s.GetName(), ReasonOwnerSignature, "expected a signature of owner "+owner)
		}
		if s.GetRemove() {
			continue
		}
		owner, problems := document.CheckSection(document.Section{Name: s.GetName(), Text: s.GetText()})
		if len(problems) > 0 {
			return c.invalidDocumentOutcome(problems)
		}
		if !r.isSignedFor(owner) {
			return c.unauthorizedOutcome(s.GetName(), ReasonOwnerSignature, "expected a signature of new owner "+owner)
		}
	}
	return nil
}

// conflicts returns the current version of each section whose base revision is not the current one. A section that was
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

// sectionsAfter returns the sections of the document as they would be after a change.
func (c *Configuration) sectionsAfter(change *controlpb.Change) []document.Section {
	changed := map[string]bool{}
	var list []document.Section
	for _, s := range change.GetSections() {
		changed[s.GetName()] = true
		if !s.GetRemove() {
			list = append(list, document.Section{Name: s.GetName(), Text: s.GetText()})
		}
	}
	for _, s := range c.sections.currentSections() {
		if !changed[s.Name] {
			list = append(list, s)
		}
	}
	document.SortSections(list)
	return list
}

// checkClaimRegions refuses a document in which the claim region of a service differs from the one that it once had.
func (c *Configuration) checkClaimRegions(config *document.Config) *controlpb.ChangeOutcome {
	for _, s := range config.Services {
		region, fixed := c.claimRegions[s.Name]
		if fixed && s.ClaimRegion != "" && s.ClaimRegion != region {
			path := "services." + s.Name + ".claim_region"
			return c.invalidOutcome(path, ReasonClaimRegion, fmt.Sprintf("expected %q, which the service had before", region))
		}
	}
	return nil
}

// commit applies an accepted change to the sections at a new revision, activates the compiled document and adds a
// history entry.
func (c *Configuration) commit(r verifiedChange, config *document.Config) {
	c.revision++
	for _, s := range r.change.GetSections() {
		if s.GetRemove() {
			c.sections.remove(s.GetName(), c.revision)
			c.removeApprovals(s.GetName())
			continue
		}
		c.sections.set(s.GetName(), s.GetText(), c.revision)
	}
	c.activate(config)
	c.appendHistory(r, controlpb.ChangeResult_CHANGE_ACCEPTED)
	c.sections.prune(c.revision)
}

// activate makes a compiled document the current one and records the claim regions of its services. Failure domains
// that the topology no longer contains are dropped from those that are out of service.
func (c *Configuration) activate(config *document.Config) {
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

// memberOfSection returns the member name of a section members/NAME, and false for other sections.
func memberOfSection(section string) (string, bool) {
	return strings.CutPrefix(section, document.GroupMembers+"/")
}
