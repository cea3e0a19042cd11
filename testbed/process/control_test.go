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

const measuring = "measuring"

func measuringText(n int) string {
	return fmt.Sprintf("owner: acme\nwithin_region: %dKiB\nacross_regions: 16KiB\n", 65+n)
}

// revisionOf returns the present revision and text of a section.
func revisionOf(t *testing.T, o *harness.Operator, section string) (uint64, string) {
	t.Helper()
	var found *controlpb.Section
	harness.Eventually(t, limit, "the section "+section, func() bool {
		for _, s := range o.Document().GetSections() {
			if s.Name == section {
				found = s
			}
		}
		return found != nil
	})
	return found.Revision, found.Text
}

// applyChain applies changes one after the other, each on the revision of the one before, and returns their IDs.
func applyChain(t *testing.T, o *harness.Operator, first, changes int) []string {
	t.Helper()
	base, _ := revisionOf(t, o, measuring)
	var ids []string
	for n := range changes {
		signed := o.NewChange(t, measuring, base, measuringText(first+n))
		outcome := o.Apply(signed, limit)
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

// checkHistory fails unless every change was decided exactly once.
func checkHistory(t *testing.T, o *harness.Operator, ids []string) {
	t.Helper()
	var entries []*controlpb.HistoryEntry
	harness.Eventually(t, limit, "the history", func() bool {
		entries = o.History(1)
		return entries != nil
	})
	seen := map[string]int{}
	for _, e := range entries {
		seen[e.ChangeId]++
	}
	for _, id := range ids {
		if seen[id] != 1 {
			t.Errorf("change %s is %d times in the history", id, seen[id])
		}
	}
}

// Guards against accepted changes that a new leader does not know, or applies twice when they are sent again.
func TestLeaderKilledDuringApplies(t *testing.T) {
	c := deciding(t)
	o := c.Operator(t)
	var ids []string
	for round := range 3 {
		leader := c.Leader(t)
		kill := time.AfterFunc(30*time.Millisecond, c.Process(leader.Name).Kill)
		ids = append(ids, applyChain(t, o, round*20, 20)...)
		kill.Stop()
		c.Process(leader.Name).Kill()
		c.StartControl(t, leader, false)
	}
	checkHistory(t, o, ids)
	if _, text := revisionOf(t, o, measuring); text != measuringText(59) {
		t.Errorf("the last accepted text was lost: %s", text)
	}
}

// checkNeverOld asks one replica for a while and fails if it answers with a revision below the accepted one.
func checkNeverOld(t *testing.T, o *harness.Operator, name string, accepted uint64, asks int) {
	t.Helper()
	for range asks {
		if answer := o.DocumentAt(name); answer != nil && answer.Revision < accepted {
			t.Fatalf("%s answered with revision %d after %d was accepted", name, answer.Revision, accepted)
		}
	}
}

// Guards against a former leader that still answers with an old configuration, and against gateways that stop for
// longer than the election.
func TestFrozenLeader(t *testing.T) {
	c := serving(t, false)
	o := c.Operator(t)
	startServers(t, c)
	old := c.Leader(t)
	c.Process(old.Name).Freeze()
	applyAtEither(t, o, c.OtherControls(old), 0)
	accepted, _ := revisionOf(t, o, measuring)
	c.WaitReady(t)
	c.Process(old.Name).Thaw()
	checkNeverOld(t, o, old.Name, accepted, 10)
	harness.Eventually(t, limit, "the former leader follows", func() bool {
		return o.DocumentAt(old.Name).GetRevision() >= accepted
	})
}

// Guards against a leader that confirms configurations while its messages or their answers vanish.
func TestSilentCutsOfTheLeader(t *testing.T) {
	c := serving(t, true)
	o := c.Operator(t)
	for round, direction := range []relay.Direction{relay.Forward, relay.Backward, relay.Both} {
		old := c.Leader(t)
		c.Isolate(t, old.Name, direction)
		others := c.OtherControls(old)
		applyAtEither(t, o, others, round)
		accepted := o.DocumentAt(others[0].Name).GetRevision()
		checkNeverOld(t, o, old.Name, accepted, 5)
		c.WaitReady(t)
		c.Isolate(t, old.Name, relay.None)
		harness.Eventually(t, limit, "the former leader follows", func() bool {
			return o.DocumentAt(old.Name).GetRevision() >= accepted
		})
	}
}

// applyAtEither applies one change through the replicas that are not cut off.
func applyAtEither(t *testing.T, o *harness.Operator, others []localsetup.Instance, n int) {
	t.Helper()
	base, _ := revisionOf(t, o, measuring)
	signed := o.NewChange(t, measuring, base, measuringText(n))
	harness.Eventually(t, limit, "a change without the former leader", func() bool {
		for _, i := range others {
			if o.ApplyAt(i.Name, signed).GetResult() == controlpb.ChangeResult_CHANGE_ACCEPTED {
				return true
			}
		}
		return false
	})
}

// Guards against a replica that votes without the log it promised to keep, so that a second failure loses changes.
func TestWipedReplicaThenSecondFailure(t *testing.T) {
	c := deciding(t)
	o := c.Operator(t)
	ids := applyChain(t, o, 0, 20)
	wiped := c.OtherControls(c.Leader(t))[0]
	former := o.ReplicaID(wiped.Name)
	c.Process(wiped.Name).Kill()
	c.WipeData(t, wiped)
	c.StartControl(t, wiped, false)
	harness.Eventually(t, limit, "the wiped replica votes again", func() bool {
		identity := o.ReplicaID(wiped.Name)
		return c.VoterCount(t) == 3 && identity != 0 && identity != former
	})
	ids = append(ids, applyChain(t, o, 20, 5)...)
	c.Process(c.Leader(t).Name).Kill()
	ids = append(ids, applyChain(t, o, 25, 5)...)
	checkHistory(t, o, ids)
}

// Guards against two operators that both believe their change of the same revision was accepted, and against resends
// that are decided anew.
func TestOperatorsRace(t *testing.T) {
	c := deciding(t)
	o := c.Operator(t)
	for round := range 5 {
		base, _ := revisionOf(t, o, measuring)
		accepted := race(t, c, o, base, round)
		if accepted != 1 {
			t.Errorf("round %d: %d of 4 changes of revision %d were accepted", round, accepted, base)
		}
	}
}

// race lets four operators change the same revision, each sending its change twice at once, and counts the accepted.
func race(t *testing.T, c *harness.Cluster, o *harness.Operator, base uint64, round int) int {
	t.Helper()
	const operators, sendings = 4, 2
	var outcomes [operators][sendings]*controlpb.ChangeOutcome
	var all sync.WaitGroup
	for n := range operators {
		signed := o.NewChange(t, measuring, base, measuringText(100+round*operators+n))
		for s := range sendings {
			all.Go(func() { outcomes[n][s] = o.Apply(signed, limit) })
		}
	}
	all.Wait()
	accepted := 0
	for n, o := range outcomes {
		if o[0] == nil || o[0].GetResult() != o[1].GetResult() || o[0].GetRevision() != o[1].GetRevision() {
			t.Errorf("operator %d was told %v and %v of one change", n, o[0], o[1])
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
	c := deciding(t)
	o := c.Operator(t)
	ids := applyChain(t, o, 0, changes)
	accepted := o.Document().GetRevision()
	for _, i := range c.Setup.Controls {
		c.Process(i.Name).Terminate(t, limit)
	}
	start := time.Now()
	for _, i := range c.Setup.Controls[:2] {
		c.StartControl(t, i, false)
	}
	first := c.Setup.Controls[0].Name
	harness.Eventually(t, limit, "an answer", func() bool { return o.AppliedRevision(first) > 0 })
	t.Logf("restart after %d changes: revision %d of %d loaded after %.2f s", changes, o.AppliedRevision(first), accepted, time.Since(start).Seconds())
	harness.Eventually(t, limit, "a replica that has its log", func() bool { return o.AppliedRevision(first) >= accepted })
	t.Logf("restart after %d changes: log applied %.2f s after the start of the process", changes, time.Since(start).Seconds())
	harness.Eventually(t, limit, "a leader", func() bool { return o.DocumentAt(first).GetRevision() >= accepted })
	t.Logf("restart after %d changes: configuration confirmed by a quorum after %.2f s", changes, time.Since(start).Seconds())
	checkHistory(t, o, ids)
}

// Guards against a control replica that needs a kill, or that leaves its group without a leader for long.
func TestTerminatedLeaderHandsOver(t *testing.T) {
	c := deciding(t)
	o := c.Operator(t)
	leader := c.Leader(t)
	if code := c.Process(leader.Name).Terminate(t, limit); code != 0 {
		t.Errorf("the leader ended with code %d", code)
	}
	applyChain(t, o, 0, 3)
	if _, err := os.Stat(leader.DataFolder); err != nil {
		t.Error(err)
	}
	if err := syscall.Kill(c.Process(leader.Name).ID(), 0); err == nil {
		t.Error("the process is still there")
	}
}
