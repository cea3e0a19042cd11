package harness

import (
	"testing"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/testbed/localsetup"
	"heatherwall.example/testbed/relay"
)

// configurationGroupID is the ID of the Raft group of the configuration.
const configurationGroupID = 1

func (o *Operator) configurationStatus(name string) *controlpb.GroupStatus {
	for _, g := range o.Status(name).GetGroups() {
		if g.Group == configurationGroupID {
			return g
		}
	}
	return nil
}

// ReplicaID returns the ID of a replica in the configuration group, or 0 if the replica does not answer.
func (o *Operator) ReplicaID(name string) uint64 { return o.configurationStatus(name).GetId() }

// AppliedRevision returns the revision that a replica has applied, whether or not a quorum has confirmed it. It returns
// 0 if the replica does not answer.
func (o *Operator) AppliedRevision(name string) uint64 { return o.Status(name).GetRevision() }

// Leader returns the control replica that leads the configuration group with the confirmation of a quorum.
func (c *Cluster) Leader(t testing.TB) localsetup.Instance {
	t.Helper()
	var leader localsetup.Instance
	Eventually(t, StartTimeout, "a leader", func() bool {
		for _, i := range c.Setup.Controls {
			if g := c.Operator(t).configurationStatus(i.Name); g != nil && g.Current && g.Leader == g.Id {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// OtherControls returns all control replicas except i.
func (c *Cluster) OtherControls(i localsetup.Instance) []localsetup.Instance {
	var others []localsetup.Instance
	for _, other := range c.Setup.Controls {
		if other.Name != i.Name {
			others = append(others, other)
		}
	}
	return others
}

// VoterCount returns the number of voters of the configuration group according to its current leader, or 0 if there is no
// leader.
func (c *Cluster) VoterCount(t testing.TB) int {
	t.Helper()
	for _, i := range c.Setup.Controls {
		g := c.Operator(t).configurationStatus(i.Name)
		if g == nil || !g.Current || g.Leader != g.Id {
			continue
		}
		voters := 0
		for _, m := range g.Membership.GetMembers() {
			if !m.Learner {
				voters++
			}
		}
		return voters
	}
	return 0
}

// Cut silently drops the traffic between two processes. The direction is that of the connections from first to second;
// connections from second to first are cut in the opposite direction. relay.None ends the cut.
func (c *Cluster) Cut(t testing.TB, first, second string, d relay.Direction) {
	t.Helper()
	if err := c.relays[second].CutFrom(first, d); err != nil {
		t.Fatal(err)
	}
	if err := c.relays[first].CutFrom(second, opposite(d)); err != nil {
		t.Fatal(err)
	}
}

func opposite(d relay.Direction) relay.Direction {
	switch d {
	case relay.Forward:
		return relay.Backward
	case relay.Backward:
		return relay.Forward
	}
	return d
}

// Isolate cuts a process off from every other process of the cluster in the given direction. relay.None ends the cut.
func (c *Cluster) Isolate(t testing.TB, name string, d relay.Direction) {
	t.Helper()
	for other := range c.relays {
		if other != name {
			c.Cut(t, name, other, d)
		}
	}
}

// Process returns the most recently started process of an instance.
func (c *Cluster) Process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

func (c *Cluster) processIDs() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := map[string]int{}
	for name, p := range c.processes {
		ids[name] = p.ID()
	}
	return ids
}
