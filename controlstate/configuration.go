package controlstate

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/document"
)

// Limits of the configuration state.
const (
	// MaxRecordedChanges is the number of change IDs whose first outcome is kept.
	MaxRecordedChanges = 10_000
	// MaxHistoryEntries is the number of history entries.
	MaxHistoryEntries = 10_000
	// MaxPastRevisions is the number of past revisions whose sections can be read.
	MaxPastRevisions = 1000
	// MaxPastTextBytes limits the texts of past revisions; fewer revisions are kept when they are large.
	MaxPastTextBytes = 8 << 20
	// MaxPendingCandidates is the number of candidates that may wait for approvals.
	MaxPendingCandidates = 16
	// MaxProblems is the number of problems in one outcome.
	MaxProblems = 100
)

// firstClaimGroupNumber is the raft group number of the first claim group; the configuration group has number 1.
const firstClaimGroupNumber = 2

// Configuration is the state machine of the configuration group.
type Configuration struct {
	appliedIndex uint64
	revision     uint64
	sections     sectionStore
	// pending is in the order of first proposal.
	pending  []*statepb.PendingMember
	outcomes outcomeLog
	history  []*controlpb.HistoryEntry
	// domainsOut is sorted.
	domainsOut  []string
	claimGroups []*statepb.ClaimGroup
	// claimRegions holds the claim region of each service that ever had one, also after the service is removed: a
	// resend could otherwise be claimed in two places.
	claimRegions map[string]string
	catalogue    *catalogue
	// config is nil before the first document.
	config *document.Config
}

// ConfigurationResult is the result of applying an entry to a Configuration. At most one of Outcome, ClaimGroup and Err is set.
type ConfigurationResult struct {
	// Outcome is the answer to a change.
	Outcome *controlpb.ChangeOutcome
	// Repeated is true when the change ID was known, so that Outcome is the first outcome and nothing changed.
	Repeated bool
	// ClaimGroup is the claim group of the region: the new one, or the one that existed before.
	ClaimGroup *statepb.ClaimGroup
	// Err is *EntryError, *AlreadyAppliedError or *ClaimGroupError.
	Err error
}

// NewConfiguration returns the empty state.
func NewConfiguration() *Configuration {
	return &Configuration{sections: newSectionStore(), outcomes: newOutcomeLog(), claimRegions: map[string]string{}, catalogue: newCatalogue()}
}

// Apply applies the entry at a log index. Indexes rise; an entry at or below the last one has no effect. Empty entries,
// which new leaders write, have no effect and no result.
func (c *Configuration) Apply(index uint64, entry []byte) ConfigurationResult {
	if index <= c.appliedIndex {
		return ConfigurationResult{Err: &AlreadyAppliedError{Index: index, Applied: c.appliedIndex}}
	}
	c.appliedIndex = index
	if len(entry) == 0 {
		return ConfigurationResult{}
	}
	var e statepb.ConfigurationEntry
	if err := proto.Unmarshal(entry, &e); err != nil {
		return ConfigurationResult{Err: &EntryError{Index: index, Cause: err}}
	}
	switch command := e.GetCommand().(type) {
	case *statepb.ConfigurationEntry_Change:
		outcome, repeated := c.applyChange(command.Change)
		return ConfigurationResult{Outcome: outcome, Repeated: repeated}
	case *statepb.ConfigurationEntry_CreateClaimGroup:
		return c.createClaimGroup(command.CreateClaimGroup)
	}
	if c.applyCatalogue(index, &e) {
		return ConfigurationResult{}
	}
	return ConfigurationResult{Err: &EntryError{Index: index}}
}

func (c *Configuration) createClaimGroup(create *statepb.CreateClaimGroup) ConfigurationResult {
	region := create.GetRegion()
	if g, ok := c.ClaimGroup(region); ok {
		return ConfigurationResult{ClaimGroup: g}
	}
	if fault := c.checkClaimGroup(region, create.GetVoters()); fault != "" {
		return ConfigurationResult{Err: &ClaimGroupError{Region: region, Fault: fault}}
	}
	g := &statepb.ClaimGroup{
		Region: region, Group: firstClaimGroupNumber + uint64(len(c.claimGroups)), Voters: create.GetVoters(),
	}
	c.claimGroups = append(c.claimGroups, g)
	return ConfigurationResult{ClaimGroup: g}
}

func (c *Configuration) checkClaimGroup(region string, voters []*raftpb.Member) ClaimGroupFault {
	if c.config == nil || !c.config.HasRegion(region) {
		return FaultUnknownRegion
	}
	if len(voters) == 0 {
		return FaultNoVoters
	}
	seen := map[uint64]bool{}
	for _, v := range voters {
		if v.GetRegion() != region {
			return FaultVoterOutsideRegion
		}
		if v.GetId() == 0 || seen[v.GetId()] {
			return FaultInvalidVoterID
		}
		seen[v.GetId()] = true
	}
	return ""
}

// AppliedIndex returns the index of the last entry.
func (c *Configuration) AppliedIndex() uint64 { return c.appliedIndex }

// Revision returns the number of changes to the state; 0 before the first document.
func (c *Configuration) Revision() uint64 { return c.revision }

// Config returns the compiled document with the failure domains out; nil before the first document.
func (c *Configuration) Config() *document.Config { return c.config }

// DomainsOut returns the failure domains that are out, sorted.
func (c *Configuration) DomainsOut() []string { return slices.Clone(c.domainsOut) }

// ClaimGroups returns the claim groups in the order of their numbers.
func (c *Configuration) ClaimGroups() []*statepb.ClaimGroup { return slices.Clone(c.claimGroups) }

// ClaimGroup returns the claim group of a region.
func (c *Configuration) ClaimGroup(region string) (*statepb.ClaimGroup, bool) {
	i := slices.IndexFunc(c.claimGroups, func(g *statepb.ClaimGroup) bool { return g.GetRegion() == region })
	if i < 0 {
		return nil, false
	}
	return c.claimGroups[i], true
}
