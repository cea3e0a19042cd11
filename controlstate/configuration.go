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
	// MaxRecordedChanges limits the change IDs whose first outcome is kept; the oldest are dropped first.
	MaxRecordedChanges = 10_000
	// MaxHistoryEntries limits the history; the oldest entries are dropped first.
	MaxHistoryEntries = 10_000
	// MaxPastRevisions limits the past revisions whose sections can be read.
	MaxPastRevisions = 1000
	// MaxPastTextBytes limits the total size of the texts of past revisions; with large texts, fewer revisions are
	// kept.
	MaxPastTextBytes = 8 << 20
	// MaxPendingCandidates limits the candidates that wait for approvals at the same time.
	MaxPendingCandidates = 16
	// MaxProblems limits the problems listed in one outcome.
	MaxProblems = 100
)

// firstClaimGroupNumber is the raft group number of the first claim group. The configuration group has number 1.
const firstClaimGroupNumber = 2

// Configuration is the state machine of the configuration group.
type Configuration struct {
	appliedIndex uint64
	revision     uint64
	sections     sectionStore
	// pending holds the candidates in the order in which they were first proposed.
	pending  []*statepb.PendingMember
	outcomes outcomeLog
	history  []*controlpb.HistoryEntry
	// domainsOut is sorted.
	domainsOut []string
	// domainCommands holds the log index of the last command for each failure domain; see applySetDomainOut.
	domainCommands map[string]uint64
	claimGroups    []*statepb.ClaimGroup
	// claimRegions holds the claim region of each service that ever had one, even after the service is removed. If a
	// service could return with another region, a resend could be claimed in two regions.
	claimRegions map[string]string
	catalogue    *catalogue
	// config is nil before the first document.
	config *document.Config
}

// ConfigurationResult is the result of applying an entry to a Configuration. At most one of Outcome, ClaimGroup and Err
// is set.
type ConfigurationResult struct {
	// Outcome is the outcome of a change; nil for other commands.
	Outcome *controlpb.ChangeOutcome
	// Repeated is true when the change ID was already known. Outcome is then the recorded one, or a refusal if the
	// content differs, and the state did not change.
	Repeated bool
	// ClaimGroup is the claim group of the region, newly created or already existing; nil for other commands.
	ClaimGroup *statepb.ClaimGroup
	// Err is nil, *EntryError, *AlreadyAppliedError, *ClaimGroupError, *SupersededError or *SlotsChangedError.
	Err error
}

// NewConfiguration returns the empty state.
func NewConfiguration() *Configuration {
	return &Configuration{sections: newSectionStore(), outcomes: newOutcomeLog(), claimRegions: map[string]string{}, domainCommands: map[string]uint64{}, catalogue: newCatalogue()}
}

// Apply applies the log entry at an index. Indexes must increase; an entry at or below the last applied index is
// rejected with *AlreadyAppliedError. Empty entries, which new leaders append, only advance the index and have an empty
// result.
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
	if known, err := c.applyCatalogue(index, &e); known {
		return ConfigurationResult{Err: err}
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

// AppliedIndex returns the index of the last applied entry.
func (c *Configuration) AppliedIndex() uint64 { return c.appliedIndex }

// Revision returns the current revision, which every change to the state increments; 0 before the first document.
func (c *Configuration) Revision() uint64 { return c.revision }

// Config returns the compiled document, including the failure domains that are out of service; nil before the first
// document.
func (c *Configuration) Config() *document.Config { return c.config }

// DomainsOut returns the failure domains that are out of service, sorted.
func (c *Configuration) DomainsOut() []string { return slices.Clone(c.domainsOut) }

// ClaimGroups returns the claim groups, sorted by raft group number.
func (c *Configuration) ClaimGroups() []*statepb.ClaimGroup { return slices.Clone(c.claimGroups) }

// ClaimGroup returns the claim group of a region, and false if there is none.
func (c *Configuration) ClaimGroup(region string) (*statepb.ClaimGroup, bool) {
	i := slices.IndexFunc(c.claimGroups, func(g *statepb.ClaimGroup) bool { return g.GetRegion() == region })
	if i < 0 {
		return nil, false
	}
	return c.claimGroups[i], true
}
