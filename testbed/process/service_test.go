package process

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/journal"
	"heatherwall.example/testbed/load"
	"heatherwall.example/testbed/localsetup"
	"heatherwall.example/testbed/relay"
)

// newWorkBound is the time after which a leaving server or a failure domain that is out must get no new work
// (requirements 3 and 8).
const newWorkBound = 3 * time.Second

// runDuringLoad runs the steps while a load is running. It cancels the load after the steps and waits for it to end,
// also if the steps end the test.
func runDuringLoad(t *testing.T, o load.Options, steps func()) (summary load.Summary) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s, err := load.Run(ctx, o)
		if err != nil {
			t.Error(err)
		}
		summary = s
	}()
	defer func() {
		cancel()
		<-done
		t.Log(summary.Line())
	}()
	steps()
	return summary
}

// unlimitedRequests is a number of requests that no test reaches, so that the load runs until it is cancelled.
const unlimitedRequests = 1 << 30

// checkNoneInterrupted checks that no caller lost its connection or was told that the outcome is unknown.
func checkNoneInterrupted(t *testing.T, calls string) {
	t.Helper()
	err := journal.Read(calls, func(c journal.Call) {
		if c.Outcome == journal.Interrupted || c.Ran == journal.RanUnknown {
			t.Errorf("request %s through %s: %s %s %s", c.Request, c.Gateway, c.Outcome, c.Reason, c.Failure)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against planned stops that interrupt requests, and against servers or leadership that stay with a stopped
// process. Servers of every service, a gateway that owns servers, and the control leader get SIGTERM while requests are
// in flight.
func TestPlannedStopsInterruptNoRequest(t *testing.T) {
	c := newServingCluster(t, false)
	// A long service time keeps many requests in flight at any time.
	flags := []string{"-service-time", "150ms", "-shift-every", "0"}
	groups := startServers(t, c, flags...)
	vault := c.StartServers(t, harness.Vault, nearPlace2, 2, append(slices.Clone(serverFlags), flags...)...)
	harness.Eventually(t, timeout, vault.Name+" registered", vault.Registered)
	// One group of each service leaves; the others stay.
	leaving := []*harness.ServerGroup{groups[0], groups[3], groups[5]}
	staying := []*harness.ServerGroup{groups[1], groups[2], groups[4], vault}
	gateway, leader := gatewayOwningMost(c, staying), c.Leader(t)
	if countOwned(gateway, staying) == 0 {
		t.Fatalf("%s owns no server that stays", gateway.Name)
	}
	o, calls := c.NewLoadOptions(t, "stops", 120, unlimitedRequests, seed)
	o.FollowReadiness = true
	runDuringLoad(t, o, func() {
		for _, g := range leaving {
			harness.Eventually(t, timeout, "work for "+g.Name, func() bool { return g.StartedRuns() > 0 })
		}
		for _, p := range append(processesOf(leaving), c.Process(gateway.Name), c.Process(leader.Name)) {
			p.Signal(syscall.SIGTERM)
		}
		for _, p := range append(processesOf(leaving), c.Process(gateway.Name), c.Process(leader.Name)) {
			if code := p.Wait(t, timeout); code != 0 {
				t.Errorf("%s ended with code %d", p.Name, code)
			}
		}
		awaitHandover(t, c, staying, gateway, leader)
		c.StartGateway(t, gateway)
		c.StartControl(t, leader, false)
		c.WaitReady(t)
	})
	checkNoneInterrupted(t, calls)
	latest := time.Duration(c.CheckSafety(t, calls).MaxAfterLeave)
	t.Logf("last new work %s after a gateway had accepted a leave", latest)
	if latest > newWorkBound {
		t.Errorf("a stopping server got new work %s after a gateway had accepted its leave", latest)
	}
	for _, g := range leaving {
		checkLeftCleanly(t, g)
	}
}

func processesOf(groups []*harness.ServerGroup) []*harness.Process {
	var list []*harness.Process
	for _, g := range groups {
		list = append(list, g.Process)
	}
	return list
}

// gatewayOwningMost returns the gateway of the near region that owns the most servers of the groups. The near region
// has a second gateway, which keeps running.
func gatewayOwningMost(c *harness.Cluster, groups []*harness.ServerGroup) localsetup.Instance {
	far := func(g localsetup.Instance) bool { return g.Region != harness.NearRegion }
	return slices.MaxFunc(slices.DeleteFunc(slices.Clone(c.Setup.Gateways), far), func(a, b localsetup.Instance) int {
		return cmp.Compare(countOwned(a, groups), countOwned(b, groups))
	})
}

func countOwned(gateway localsetup.Instance, groups []*harness.ServerGroup) int {
	owned := 0
	for _, g := range groups {
		for _, s := range g.Counts() {
			if s.Owner == gateway.Announce {
				owned++
			}
		}
	}
	return owned
}

// awaitHandover waits, while the gateway and the former leader are down, until other gateways own all servers, another
// replica leads and decides a change, and every group gets work.
func awaitHandover(t *testing.T, c *harness.Cluster, groups []*harness.ServerGroup, gateway, leader localsetup.Instance) {
	t.Helper()
	harness.Eventually(t, timeout, "other owners", func() bool {
		return countOwned(gateway, groups) == 0 && !slices.ContainsFunc(groups, func(g *harness.ServerGroup) bool { return !g.Registered() })
	})
	if next := c.Leader(t); next.Name == leader.Name {
		t.Errorf("%s still leads", leader.Name)
	}
	applyChanges(t, c.Operator(t), 0, 1)
	for _, g := range groups {
		before := g.StartedRuns()
		harness.Eventually(t, timeout, "work for "+g.Name, func() bool { return g.StartedRuns() > before })
	}
}

// checkLeftCleanly checks that each server of the group announced its leave and ended every run that it started.
func checkLeftCleanly(t *testing.T, g *harness.ServerGroup) {
	t.Helper()
	left, underWay := 0, 0
	err := journal.Read(g.Journal, func(r journal.ServerEvent) {
		switch r.Event {
		case journal.LeaveAccepted:
			left++
		case journal.Started:
			underWay++
		case journal.Ended:
			underWay--
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if left != len(g.Addresses) || underWay != 0 {
		t.Errorf("%s: %d of %d servers left, %d runs did not end", g.Name, left, len(g.Addresses), underWay)
	}
}

// Guards against new work in a failure domain later than 3 s after the change that takes it out was accepted, against
// taking out a failure domain although a service has no other servers, and against a failure domain that gets no work
// after its return.
func TestDomainOut(t *testing.T) {
	c := newServingCluster(t, false)
	groups := startServers(t, c)
	out := []*harness.ServerGroup{groups[1], groups[4]}
	o, calls := c.NewLoadOptions(t, "domain", 200, unlimitedRequests, seed)
	runDuringLoad(t, o, func() {
		for _, g := range out {
			harness.Eventually(t, timeout, "work for "+g.Name, func() bool { return g.StartedRuns() > 0 })
		}
		for _, g := range groups {
			harness.Eventually(t, timeout, g.Name+" known to every gateway", func() bool { return g.ReadyEverywhere(c) })
		}
		if r := c.SetDomain(t, "out", harness.NearDomain1, "-capacity=require"); r.Code != 1 || !strings.Contains(r.Output, "service "+harness.Vault) {
			t.Errorf("domain out without other servers of a service: %s", r)
		}
		// Without -wait, the command returns with the response to the change, so accepted is never before the acceptance.
		if r := c.SetDomain(t, "out", harness.NearDomain2); r.Code != 0 {
			t.Fatalf("domain out: %s", r)
		}
		accepted := journal.Nanotime()
		if r := c.SetDomain(t, "out", harness.NearDomain2, "-wait"); r.Code != 0 {
			t.Errorf("in force: %s", r)
		}
		time.Sleep(newWorkBound + 2*time.Second - time.Duration(journal.Nanotime()-accepted))
		returned := journal.Nanotime()
		if r := c.SetDomain(t, "in", harness.NearDomain2, "-wait"); r.Code != 0 {
			t.Fatalf("domain in: %s", r)
		}
		for _, g := range out {
			checkNoStarts(t, g, accepted, returned)
			before := g.StartedRuns()
			harness.Eventually(t, timeout, "work after the return", func() bool { return g.StartedRuns() > before })
		}
	})
	c.CheckSafety(t, calls)
}

// checkNoStarts checks that no server of the group started a request later than newWorkBound after from and before until.
// Both are readings of the monotonic clock.
func checkNoStarts(t *testing.T, g *harness.ServerGroup, from, until int64) {
	t.Helper()
	late, last := 0, int64(0)
	err := journal.Read(g.Journal, func(r journal.ServerEvent) {
		if r.Event != journal.Started || r.At <= from || r.At >= until {
			return
		}
		last = max(last, r.At-from)
		if r.At > from+int64(newWorkBound) {
			late++
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: last new work %s after the acceptance", g.Name, time.Duration(last))
	if late > 0 {
		t.Errorf("%s started %d requests later than %s after the acceptance", g.Name, late, newWorkBound)
	}
}

// Guards against a gateway that keeps sending to a leaving server because it receives no messages from its peers.
func TestLeavingServerSeenByCutOffGateway(t *testing.T) {
	c := newServingCluster(t, true)
	alone := c.Setup.Gateways[1]
	staying := c.StartServers(t, harness.Catalogue, nearPlace1, 2, serverFlags...)
	o, calls := c.NewLoadOptions(t, "cut-off", 100, unlimitedRequests, seed)
	o.Gateways = []load.Gateway{{Address: alone.Callers, Region: alone.Region}}
	o.Targets = harness.Targets()[:1]
	runDuringLoad(t, o, func() {
		harness.Eventually(t, timeout, "work for the staying servers", func() bool { return staying.StartedRuns() > 0 })
		leaving := c.StartServers(t, harness.Catalogue, nearPlace2, 6, append(serverFlags, "-drain", "8s")...)
		harness.Eventually(t, timeout, "work for the leaving servers", func() bool { return leaving.StartedRuns() > 20 && leaving.Registered() })
		for _, g := range c.Setup.Gateways {
			if g.Name != alone.Name {
				c.Cut(t, alone.Name, g.Name, relay.Both)
			}
		}
		leaving.Terminate(t, timeout)
		before := staying.StartedRuns()
		harness.Eventually(t, timeout, "the other servers serve", func() bool { return staying.StartedRuns() > before })
	})
	if report := c.CheckSafety(t, calls); report.MaxAfterLeave > int64(newWorkBound) {
		t.Errorf("a server got new work %s after a gateway had accepted its leave", time.Duration(report.MaxAfterLeave))
	}
}

// Guards against gateways that overload servers in cold start until they collapse.
func TestColdServersDoNotCollapse(t *testing.T) {
	c := newServingCluster(t, false)
	warm := c.StartServers(t, harness.Catalogue, nearPlace1, 3, serverFlags...)
	harness.Eventually(t, timeout, "registration", warm.Registered)
	o, calls := c.NewLoadOptions(t, "cold", 400, unlimitedRequests, seed)
	o.Targets = harness.Targets()[:1]
	var cold *harness.ServerGroup
	runDuringLoad(t, o, func() {
		cold = c.StartServers(t, harness.Catalogue, nearPlace2, 3, append(serverFlags, "-cold", "4s")...)
		harness.Eventually(t, timeout, "warm servers", func() bool {
			for _, s := range cold.Counts() {
				if s.State != "ready" || s.Completed == 0 {
					return false
				}
			}
			return true
		})
	})
	if report := c.CheckSafety(t, calls); report.Collapses > 0 {
		t.Errorf("cold servers collapsed %d times", report.Collapses)
	}
}

// Guards against a request that is retried at one server after another and crashes each of them.
func TestRequestThatCrashesServers(t *testing.T) {
	c := newServingCluster(t, false)
	flags := append([]string{"-crash"}, serverFlags...)
	var groups []*harness.ServerGroup
	for range 5 {
		groups = append(groups, c.StartServers(t, harness.Catalogue, nearPlace1, 1, flags...))
	}
	for _, g := range groups {
		harness.Eventually(t, timeout, "registration", g.Registered)
	}
	for range 6 {
		for _, g := range c.Setup.Gateways {
			harness.GetStatusAsCaller(t, "http://"+g.Callers+harness.CataloguePath+"/poison", http.Header{"Standin-Crash": {"yes"}})
			time.Sleep(100 * time.Millisecond)
		}
	}
	crashed := 0
	for _, g := range groups {
		if !g.Alive() {
			crashed++
		}
	}
	if crashed == 0 || crashed > 3 {
		t.Errorf("one request crashed %d of %d servers; expected 1 to 3", crashed, len(groups))
	}
}
