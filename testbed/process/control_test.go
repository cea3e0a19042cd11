package process

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
	"heatherwall.example/testbed/relay"
)

const measuringSection = "measuring"

func measuringText(n int) string {
	return fmt.Sprintf("owner: acme\nwithin_region: %dKiB\nacross_regions: 16KiB\n", 65+n)
}

// readSection returns the current revision and text of a section.
func readSection(t *testing.T, o *harness.Operator, section string) (uint64, string) {
	t.Helper()
	var found *controlpb.Section
	harness.Eventually(t, timeout, "the section "+section, func() bool {
		for _, s := range o.Document().GetSections() {
			if s.Name == section {
				found = s
			}
		}
		return found != nil
	})
	return found.Revision, found.Text
}

// applyChanges applies changes one after the other, each based on the revision of the previous one, and returns their
// IDs.
func applyChanges(t *testing.T, o *harness.Operator, first, changes int) []string {
	t.Helper()
	base, _ := readSection(t, o, measuringSection)
	var ids []string
	for n := range changes {
		signed := o.NewChange(t, measuringSection, base, measuringText(first+n))
		outcome := o.Apply(signed, timeout)
		if outcome.GetResult() != controlpb.ChangeResult_CHANGE_ACCEPTED {
			t.Fatalf("change %d: %v", n, outcome)
		}
		if outcome.Revision <= base {
			t.Fatalf("change %d: revision %d does not follow %d", n, outcome.Revision, base)
		}
		base = outcome.Revision
		ids = append(ids, harness.ChangeID(t, signed))
	}
	return ids
}

// checkDecidedOnce checks that every change was decided exactly once.
func checkDecidedOnce(t *testing.T, o *harness.Operator, ids []string) {
	t.Helper()
	var entries []*controlpb.HistoryEntry
	harness.Eventually(t, timeout, "the history", func() bool {
		entries = o.History(1)
		return entries != nil
	})
	seen := map[string]int{}
	for _, e := range entries {
		seen[e.ChangeId]++
	}
	for _, id := range ids {
		if seen[id] != 1 {
			t.Errorf("change %s occurs %d times in the history; expected 1", id, seen[id])
		}
	}
}

// Guards against accepted changes that a new leader does not have, or that it applies twice when they are resent.
func TestLeaderKilledDuringApplies(t *testing.T) {
	c := newControlCluster(t)
	o := c.Operator(t)
	var ids []string
	for round := range 3 {
		leader := c.Leader(t)
		kill := time.AfterFunc(30*time.Millisecond, c.Process(leader.Name).Kill)
		ids = append(ids, applyChanges(t, o, round*20, 20)...)
		kill.Stop()
		c.Process(leader.Name).Kill()
		c.StartControl(t, leader, false)
	}
	checkDecidedOnce(t, o, ids)
	if _, text := readSection(t, o, measuringSection); text != measuringText(59) {
		t.Errorf("the last accepted text was lost: %s", text)
	}
}

// checkNoStaleRevision reads from one replica several times and checks that it never returns a revision below the
// accepted one.
func checkNoStaleRevision(t *testing.T, o *harness.Operator, name string, accepted uint64, reads int) {
	t.Helper()
	for range reads {
		if answer := o.DocumentAt(name); answer != nil && answer.Revision < accepted {
			t.Fatalf("%s answered with revision %d after %d was accepted", name, answer.Revision, accepted)
		}
	}
}

// Guards against a former leader that still returns an old configuration, and against gateways that stay not ready after
// the election.
func TestFrozenLeader(t *testing.T) {
	c := newServingCluster(t, false)
	o := c.Operator(t)
	startServers(t, c)
	old := c.Leader(t)
	c.Process(old.Name).Freeze()
	applyAtOthers(t, o, c.OtherControls(old), 0)
	accepted, _ := readSection(t, o, measuringSection)
	c.WaitReady(t)
	c.Process(old.Name).Thaw()
	checkNoStaleRevision(t, o, old.Name, accepted, 10)
	harness.Eventually(t, timeout, "the former leader catches up", func() bool {
		return o.DocumentAt(old.Name).GetRevision() >= accepted
	})
}

// Guards against a leader that confirms configurations while its messages or the answers to them are dropped.
func TestSilentCutsOfTheLeader(t *testing.T) {
	c := newServingCluster(t, true)
	o := c.Operator(t)
	for round, direction := range []relay.Direction{relay.Forward, relay.Backward, relay.Both} {
		old := c.Leader(t)
		c.Isolate(t, old.Name, direction)
		others := c.OtherControls(old)
		applyAtOthers(t, o, others, round)
		accepted := o.DocumentAt(others[0].Name).GetRevision()
		checkNoStaleRevision(t, o, old.Name, accepted, 5)
		c.WaitReady(t)
		c.Isolate(t, old.Name, relay.None)
		harness.Eventually(t, timeout, "the former leader catches up", func() bool {
			return o.DocumentAt(old.Name).GetRevision() >= accepted
		})
	}
}

// applyAtOthers applies one change through the replicas other than the former leader.
func applyAtOthers(t *testing.T, o *harness.Operator, others []localsetup.Instance, n int) {
	t.Helper()
	base, _ := readSection(t, o, measuringSection)
	signed := o.NewChange(t, measuringSection, base, measuringText(n))
	harness.Eventually(t, timeout, "a change without the former leader", func() bool {
		for _, i := range others {
			if o.ApplyAt(i.Name, signed).GetResult() == controlpb.ChangeResult_CHANGE_ACCEPTED {
				return true
			}
		}
		return false
	})
}

// Guards against a replica that votes although it has lost its log, so that a second failure loses accepted changes.
func TestWipedReplicaThenSecondFailure(t *testing.T) {
	c := newControlCluster(t)
	o := c.Operator(t)
	ids := applyChanges(t, o, 0, 20)
	wiped := c.OtherControls(c.Leader(t))[0]
	former := o.ReplicaID(wiped.Name)
	c.Process(wiped.Name).Kill()
	c.WipeData(t, wiped)
	c.StartControl(t, wiped, false)
	harness.Eventually(t, timeout, "the wiped replica votes again", func() bool {
		identity := o.ReplicaID(wiped.Name)
		return c.VoterCount(t) == 3 && identity != 0 && identity != former
	})
	ids = append(ids, applyChanges(t, o, 20, 5)...)
	c.Process(c.Leader(t).Name).Kill()
	ids = append(ids, applyChanges(t, o, 25, 5)...)
	checkDecidedOnce(t, o, ids)
}

// Guards against two accepted changes of the same revision from different operators, and against a resent change that is
// decided a second time.
func TestOperatorsRace(t *testing.T) {
	c := newControlCluster(t)
	o := c.Operator(t)
	for round := range 5 {
		base, _ := readSection(t, o, measuringSection)
		accepted := raceOperators(t, c, o, base, round)
		if accepted != 1 {
			t.Errorf("round %d: %d of 4 changes of revision %d were accepted", round, accepted, base)
		}
	}
}

// raceOperators makes four operators change the same revision concurrently, each sending its change twice at the same
// time. It returns the number of accepted changes.
func raceOperators(t *testing.T, c *harness.Cluster, o *harness.Operator, base uint64, round int) int {
	t.Helper()
	const operators, attempts = 4, 2
	var outcomes [operators][attempts]*controlpb.ChangeOutcome
	var all sync.WaitGroup
	for n := range operators {
		signed := o.NewChange(t, measuringSection, base, measuringText(100+round*operators+n))
		for s := range attempts {
			all.Go(func() { outcomes[n][s] = o.Apply(signed, timeout) })
		}
	}
	all.Wait()
	accepted := 0
	for n, o := range outcomes {
		if o[0] == nil || o[0].GetResult() != o[1].GetResult() || o[0].GetRevision() != o[1].GetRevision() {
			t.Errorf("operator %d received outcomes %v and %v for the same change", n, o[0], o[1])
		}
		if o[0].GetResult() == controlpb.ChangeResult_CHANGE_ACCEPTED {
			accepted++
		}
	}
	return accepted
}

// Guards against a log that is replayed in full, or not at all, after many changes.
func TestRestartAfterThousandChanges(t *testing.T) {
	const changes = 1000
	c := newControlCluster(t)
	o := c.Operator(t)
	ids := applyChanges(t, o, 0, changes)
	accepted := o.Document().GetRevision()
	for _, i := range c.Setup.Controls {
		c.Process(i.Name).Terminate(t, timeout)
	}
	start := time.Now()
	for _, i := range c.Setup.Controls[:2] {
		c.StartControl(t, i, false)
	}
	first := c.Setup.Controls[0].Name
	harness.Eventually(t, timeout, "an answer", func() bool { return o.AppliedRevision(first) > 0 })
	t.Logf("restart after %d changes: revision %d of %d loaded after %.2f s", changes, o.AppliedRevision(first), accepted, time.Since(start).Seconds())
	harness.Eventually(t, timeout, "a replica that has applied its log", func() bool { return o.AppliedRevision(first) >= accepted })
	t.Logf("restart after %d changes: log applied %.2f s after the start of the process", changes, time.Since(start).Seconds())
	harness.Eventually(t, timeout, "a leader", func() bool { return o.DocumentAt(first).GetRevision() >= accepted })
	t.Logf("restart after %d changes: configuration confirmed by a quorum after %.2f s", changes, time.Since(start).Seconds())
	checkDecidedOnce(t, o, ids)
}

// Guards against a control replica that does not end after SIGTERM, or that leaves its group without a leader for long.
func TestTerminatedLeaderHandsOver(t *testing.T) {
	c := newControlCluster(t)
	o := c.Operator(t)
	leader := c.Leader(t)
	if code := c.Process(leader.Name).Terminate(t, timeout); code != 0 {
		t.Errorf("the leader ended with code %d", code)
	}
	applyChanges(t, o, 0, 3)
	if _, err := os.Stat(leader.DataFolder); err != nil {
		t.Error(err)
	}
	if err := syscall.Kill(c.Process(leader.Name).ID(), 0); err == nil {
		t.Error("the process still exists")
	}
}
