package controlstate

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/statepb"
	"heatherwall.example/document"
)

// snapshotFormat is the format version of the snapshots of Configuration and Claims.
const snapshotFormat = 1

// Snapshot encodes the whole state; equal states have equal encodings.
func (c *Configuration) Snapshot() []byte {
	s := &statepb.ConfigurationSnapshot{
		Format: snapshotFormat, Applied: c.appliedIndex, Revision: c.revision,
		OldestRevision: c.sections.oldestRevision, Pending: c.pending, Changes: c.outcomes.order, History: c.history,
		DomainsOut: c.domainsOut, ClaimGroups: c.claimGroups, Catalogue: c.catalogue.toMessage(),
	}
	for _, name := range slices.Sorted(maps.Keys(c.sections.current)) {
		s.Versions = append(s.Versions, c.sections.current[name])
	}
	s.Versions = append(s.Versions, c.sections.past...)
	for _, service := range slices.Sorted(maps.Keys(c.claimRegions)) {
		region := &statepb.ServiceRegion{Service: service, Region: c.claimRegions[service]}
		s.ClaimRegions = append(s.ClaimRegions, region)
	}
	for _, domain := range slices.Sorted(maps.Keys(c.domainCommands)) {
		s.DomainCommands = append(s.DomainCommands, &statepb.DomainCommand{FailureDomain: domain, Index: c.domainCommands[domain]})
	}
	return encode(s)
}

// RestoreConfiguration returns the state that a snapshot encodes. The error is a *SnapshotError.
func RestoreConfiguration(snapshot []byte) (*Configuration, error) {
	s := &statepb.ConfigurationSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return nil, &SnapshotError{Fault: FaultEncoding, Cause: err}
	}
	if s.GetFormat() != snapshotFormat {
		return nil, &SnapshotError{Fault: FaultUnknownFormat}
	}
	c := NewConfiguration()
	c.appliedIndex, c.revision = s.GetApplied(), s.GetRevision()
	c.pending, c.history = s.GetPending(), s.GetHistory()
	c.domainsOut, c.claimGroups = s.GetDomainsOut(), s.GetClaimGroups()
	c.sections.oldestRevision = s.GetOldestRevision()
	c.restoreVersions(s.GetVersions())
	for _, r := range s.GetChanges() {
		c.outcomes.add(r)
	}
	for _, r := range s.GetClaimRegions() {
		c.claimRegions[r.GetService()] = r.GetRegion()
	}
	for _, d := range s.GetDomainCommands() {
		c.domainCommands[d.GetFailureDomain()] = d.GetIndex()
	}
	c.catalogue = restoreCatalogue(s.GetCatalogue())
	return c, c.recompile()
}

func (c *Configuration) restoreVersions(versions []*statepb.SectionVersion) {
	for _, v := range versions {
		if v.GetUntil() == 0 {
			c.sections.current[v.GetName()] = v
			continue
		}
		c.sections.past = append(c.sections.past, v)
		c.sections.pastBytes += len(v.GetText())
	}
}

func (c *Configuration) recompile() error {
	if len(c.sections.current) == 0 {
		return nil
	}
	config, problems := document.Compile(c.sections.currentSections())
	if len(problems) > 0 {
		return &SnapshotError{Fault: FaultInvalidDocument, Cause: problems}
	}
	c.config = config.WithDomainsOut(c.domainsOut)
	return nil
}
