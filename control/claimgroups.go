package control

import (
	"time"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/api/statepb"
	"heatherwall.example/controlstate"
	"heatherwall.example/telemetry"
)

// maintainClaimGroups opens claim groups that the configuration names for this replica's region. The leader of the
// configuration group also creates missing ones.
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

// prepareClaimGroup writes the first snapshot of the group when this identity is one of its first voters and its log
// is empty. Any other replica starts empty and joins. An identity never loses a log without losing itself, since both
// lie in the same data folder.
func (r *replica) initializeClaimGroup(cg *statepb.ClaimGroup) error {
	if findMember(&raftpb.Membership{Members: cg.Voters}, r.loop.self.Id) == nil {
		return nil
	}
	return initializeGroupLog(r.groupFolder(cg.Group), cg.Voters)
}

// createClaimGroups proposes the claim group of each region that has none, once every configured replica of the region
// is a voter of the configuration group. The first voters are named in the entry, so that a group is created once.
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

// raiseFloors lets the leaders of claim groups forget keys that are older than the retention. Clocks decide only when
// a key is refused as expired; safety rests on the floor in the log.
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
