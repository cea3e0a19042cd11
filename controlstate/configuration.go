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
	// KeptChanges is the number of change IDs whose first outcome is kept.
	KeptChanges = 10_000
	// KeptHistory is the number of history entries.
	KeptHistory = 10_000
	// KeptRevisions is the number of past revisions whose sections can be read.
	KeptRevisions = 1000
	// KeptTextBytes limits the texts of past revisions; fewer revisions are kept when they are large.
	KeptTextBytes = 8 << 20
	// MaxPending is the number of candidates that may wait for approvals.
	MaxPending = 16
	// MaxProblems is the number of problems in one outcome.
	MaxProblems = 100
)

// firstClaimGroup is the raft group number of the first claim group; the configuration group has number 1.
const firstClaimGroup = 2

// Configuration is the state machine of the configuration group.
type Configuration struct {
	applied  uint64
	revision uint64
	sections sectionStore
	// pending is in the order of first proposal.
	pending []*statepb.PendingMember
	changes changeLog
	history []*controlpb.HistoryEntry
	// domainsOut is sorted.
	domainsOut []string
	groups     []*statepb.ClaimGroup
	// claimRegions holds the claim region of each service that ever had one, also after the service is removed: a
	// resend could otherwise be claimed in two places.
	claimRegions map[string]string
	catalogue    *catalogue
	// config is nil before the first document.
	config *document.Config
}

// Result tells what an entry did. At most one of Outcome, Group and Err is set.
type Result struct {
	// Outcome is the answer to a change.
	Outcome *controlpb.ChangeOutcome
	// Repeated is true when the change ID was known, so that Outcome is the first outcome and nothing changed.
	Repeated bool
	// Group is the claim group of the region: the new one, or the one that existed before.
	Group *statepb.ClaimGroup
	// Err is *EntryError, *AppliedError or *ClaimGroupError.
	Err error
}

// NewConfiguration returns the empty state.
func NewConfiguration() *Configuration {
	return &Configuration{sections: newSectionStore(), changes: newChangeLog(), claimRegions: map[string]string{}, catalogue: newCatalogue()}
}

// Apply applies the entry at a log index. Indexes rise; an entry at or below the last one has no effect. Empty entries,
// which new leaders write, have no effect and no result.
func (c *Configuration) Apply(index uint64, entry []byte) Result {
	if index <= c.applied {
		return Result{Err: &AppliedError{Index: index, Applied: c.applied}}
	}
	c.applied = index
	if len(entry) == 0 {
		return Result{}
	}
	var e statepb.ConfigurationEntry
	if err := proto.Unmarshal(entry, &e); err != nil {
		return Result{Err: &EntryError{Index: index, Cause: err}}
	}
	switch command := e.GetCommand().(type) {
	case *statepb.ConfigurationEntry_Change:
		outcome, repeated := c.applyChange(command.Change)
		return Result{Outcome: outcome, Repeated: repeated}
	case *statepb.ConfigurationEntry_CreateClaimGroup:
		return c.createClaimGroup(command.CreateClaimGroup)
	}
	if c.applyCatalogue(index, &e) {
		return Result{}
	}
	return Result{Err: &EntryError{Index: index}}
}

func (c *Configuration) createClaimGroup(create *statepb.CreateClaimGroup) Result {
	region := create.GetRegion()
	if g, ok := c.ClaimGroup(region); ok {
		return Result{Group: g}
	}
	if fault := c.claimGroupFault(region, create.GetVoters()); fault != "" {
		return Result{Err: &ClaimGroupError{Region: region, Fault: fault}}
	}
	g := &statepb.ClaimGroup{
		Region: region, Group: firstClaimGroup + uint64(len(c.groups)), Voters: create.GetVoters(),
	}
	c.groups = append(c.groups, g)
	return Result{Group: g}
}

func (c *Configuration) claimGroupFault(region string, voters []*raftpb.Member) ClaimGroupFault {
	if c.config == nil || !c.config.HasRegion(region) {
		return FaultUnknownRegion
	}
	if len(voters) == 0 {
		return FaultNoVoters
	}
	seen := map[uint64]bool{}
	for _, v := range voters {
		if v.GetRegion() != region {
			return FaultVoterRegion
		}
		if v.GetId() == 0 || seen[v.GetId()] {
			return FaultVoterTwice
		}
		seen[v.GetId()] = true
	}
	return ""
}

// Applied returns the index of the last entry.
func (c *Configuration) Applied() uint64 { return c.applied }

// Revision returns the number of changes to the state; 0 before the first document.
func (c *Configuration) Revision() uint64 { return c.revision }

// Config returns the compiled document with the failure domains out; nil before the first document.
func (c *Configuration) Config() *document.Config { return c.config }

// DomainsOut returns the failure domains that are out, sorted.
func (c *Configuration) DomainsOut() []string { return slices.Clone(c.domainsOut) }

// ClaimGroups returns the claim groups in the order of their numbers.
func (c *Configuration) ClaimGroups() []*statepb.ClaimGroup { return slices.Clone(c.groups) }

// ClaimGroup returns the claim group of a region.
func (c *Configuration) ClaimGroup(region string) (*statepb.ClaimGroup, bool) {
	i := slices.IndexFunc(c.groups, func(g *statepb.ClaimGroup) bool { return g.GetRegion() == region })
	if i < 0 {
		return nil, false
	}
	return c.groups[i], true
}
