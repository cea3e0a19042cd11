package control

import (
	"time"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/controlstate"
	"heatherwall.example/telemetry"
)

// maintainClaimGroups opens the claim groups of this replica's region. The leader of the configuration group also
// proposes missing claim groups.
func (r *replica) maintainClaimGroups() {
	if err := r.openClaimGroups(); err != nil {
		r.loop.fail(err)
		return
	}
	if r.loop.groups[configurationGroup].isLeader {
		r.proposeMissingClaimGroups()
	}
}

// openClaimGroups opens the claim groups of this region that are not open yet.
func (r *replica) openClaimGroups() error {
	for _, cg := range r.configuration.state.ClaimGroups() {
		if cg.Region != r.settings.Region || r.loop.groups[cg.Group] != nil {
			continue
		}
		if err := r.openClaimGroup(cg); err != nil {
			return err
		}
	}
	return nil
}

func (r *replica) openClaimGroup(cg *statepb.ClaimGroup) error {
	if err := r.initializeClaimGroup(cg); err != nil {
		return err
	}
	if _, err := r.openGroup(cg.Group, cg.Region, newClaimsMachine()); err != nil {
		return err
	}
	r.loop.log.Log(eventClaimGroupOpened, telemetry.F("group", cg.Group), telemetry.F("region", cg.Region))
	return nil
}

// initializeClaimGroup writes the first snapshot of the group if this replica is one of its initial voters and the log
// is empty. Any other replica starts with an empty log and joins. An empty log shows that this identity has not voted
// yet: the identity and its votes are in the same data folder, so they can only be lost together.
func (r *replica) initializeClaimGroup(cg *statepb.ClaimGroup) error {
	if findMember(&raftpb.Membership{Members: cg.Voters}, r.loop.self.Id) == nil {
		return nil
	}
	return initializeGroupLog(r.groupFolder(cg.Group), cg.Voters)
}

// proposeMissingClaimGroups proposes the claim group of each region that has none, once all configured replicas of the
// region are voters of the configuration group. The entry names the initial voters, so that a group is created only
// once.
func (r *replica) proposeMissingClaimGroups() {
	g := r.loop.groups[configurationGroup]
	voters := map[string][]*raftpb.Member{}
	for _, m := range g.node.Status().Membership.GetMembers() {
		if !m.Learner {
			voters[m.Region] = append(voters[m.Region], m)
		}
	}
	configured := map[string]int{}
	for _, p := range r.settings.Peers {
		configured[p.Region]++
	}
	for _, region := range r.configuration.regions() {
		_, exists := r.configuration.state.ClaimGroup(region)
		if exists || r.creatingClaimGroups[region] || len(voters[region]) == 0 || len(voters[region]) < configured[region] {
			continue
		}
		r.creatingClaimGroups[region] = true
		g.propose(controlstate.EncodeCreateClaimGroupEntry(region, voters[region]), func(any, error) { delete(r.creatingClaimGroups, region) })
	}
}

// raiseFloors proposes a new retention floor for each claim group that this replica leads. Claims below the floor are
// deleted. Clocks only determine when a key is refused as expired; safety depends on the floor in the log.
func (r *replica) raiseFloors(now time.Time) {
	if now.Sub(r.floorsRaisedAt) < floorInterval {
		return
	}
	r.floorsRaisedAt = now
	floor := uint64(now.Add(-claimRetention).UnixMilli())
	command := []*statepb.ClaimsCommand{controlstate.NewRaiseFloorCommand(floor)}
	for _, g := range r.loop.ordered {
		if g.region != "" && g.isLeader {
			g.propose(controlstate.EncodeClaimsEntry(command), func(any, error) {})
		}
	}
}
