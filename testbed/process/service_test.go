package process

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/journal"
	"heatherwall.example/testbed/load"
	"heatherwall.example/testbed/relay"
)

// newWorkBound is the time after which a leaving server or a domain that is out gets no new work (requirements 3 and 8).
const newWorkBound = 3 * time.Second

// during runs a load and, while it is under way, the steps. The load has ended when during returns, also if the steps
// end the test.
func during(t *testing.T, o load.Options, steps func()) (summary load.Summary) {
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

// endless is a number of requests that no test sends.
const endless = 1 << 30

// checkUncut fails if a caller was cut off, or told that the outcome is unknown.
func checkUncut(t *testing.T, calls string) {
	t.Helper()
	err := journal.Read(calls, func(c journal.Call) {
		if c.Told == journal.Cut || c.Ran == journal.RanUnknown {
			t.Errorf("request %s through %s: %s %s %s", c.Request, c.Gateway, c.Told, c.Reason, c.Failure)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against planned stops that break requests: a gateway, the control leader and backend servers get SIGTERM
// while requests are under way.
func TestPlannedStopsCutNoRequest(t *testing.T) {
	c := serving(t, false)
	// Long runs keep many requests under way at every moment.
	groups := startServers(t, c, "-service-time", "150ms", "-shift-every", "0")
	o, calls := c.NewLoad(t, "stops", 120, endless, seed)
	o.FollowReadiness = true
	s := during(t, o, func() {
		time.Sleep(time.Second)
		gateway := c.Setup.Gateways[0]
		if code := c.Process(gateway.Name).Terminate(t, limit); code != 0 {
			t.Errorf("%s ended with code %d", gateway.Name, code)
		}
		c.StartGateway(t, gateway)
		if code := c.Process(c.Leader(t).Name).Terminate(t, limit); code != 0 {
			t.Errorf("the leader ended with code %d", code)
		}
		for _, g := range groups[:1] {
			if code := g.Terminate(t, limit); code != 0 {
				t.Errorf("%s ended with code %d", g.Name, code)
			}
		}
		c.Ready(t)
		time.Sleep(time.Second)
	})
	checkUncut(t, calls)
	if s.OK == 0 {
		t.Error("no request was answered")
	}
	c.CheckSafety(t, calls)
}

// Guards against new work in a failure domain later than 3 s after the acceptance of its going out, against a failure
// domain that goes out although a service has no other servers, and against one that stays without work after its return.
func TestDomainOut(t *testing.T) {
	c := serving(t, false)
	groups := startServers(t, c)
	out := []*harness.ServerGroup{groups[1], groups[4]}
	o, calls := c.NewLoad(t, "domain", 200, endless, seed)
	during(t, o, func() {
		for _, g := range out {
			harness.Eventually(t, limit, "work for "+g.Name, func() bool { return g.Started() > 0 })
		}
		if r := c.Domain(t, "out", harness.NearFirst); r.Code != 1 || !strings.Contains(r.Output, "service "+harness.Vault) {
			t.Errorf("domain out without other servers of a service: %s", r)
		}
		// Without -wait, the command returns with the answer to the change, so this moment is never before the acceptance.
		if r := c.Domain(t, "out", harness.NearSecond); r.Code != 0 {
			t.Fatalf("domain out: %s", r)
		}
		accepted := journal.Now()
		if r := c.Domain(t, "out", harness.NearSecond, "-wait"); r.Code != 0 {
			t.Errorf("in force: %s", r)
		}
		time.Sleep(newWorkBound + 2*time.Second - time.Duration(journal.Now()-accepted))
		returned := journal.Now()
		if r := c.Domain(t, "in", harness.NearSecond, "-wait"); r.Code != 0 {
			t.Fatalf("domain in: %s", r)
		}
		for _, g := range out {
			checkNoStarts(t, g, accepted, returned)
			before := g.Started()
			harness.Eventually(t, limit, "work after the return", func() bool { return g.Started() > before })
		}
	})
	c.CheckSafety(t, calls)
}

// checkNoStarts fails if a server of the group started a request later than the bound after a moment, and before another
// one; both are readings of the monotonic clock.
func checkNoStarts(t *testing.T, g *harness.ServerGroup, from, until int64) {
	t.Helper()
	late, last := 0, int64(0)
	err := journal.Read(g.Journal, func(r journal.Run) {
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

// Guards against a gateway that keeps sending to a server because it cannot hear its peers.
func TestLeavingServerSeenByCutOffGateway(t *testing.T) {
	c := serving(t, true)
	alone := c.Setup.Gateways[1]
	staying := c.StartServers(t, harness.Catalogue, nearFirst, 2, serverFlags...)
	o, calls := c.NewLoad(t, "cut-off", 100, endless, seed)
	o.Gateways = []load.Gateway{{Address: alone.Callers, Region: alone.Region}}
	o.Targets = harness.Targets()[:1]
	during(t, o, func() {
		harness.Eventually(t, limit, "work for the staying servers", func() bool { return staying.Started() > 0 })
		leaving := c.StartServers(t, harness.Catalogue, nearSecond, 6, append(serverFlags, "-drain", "8s")...)
		harness.Eventually(t, limit, "work for the leaving servers", func() bool { return leaving.Started() > 20 && leaving.Registered() })
		for _, g := range c.Setup.Gateways {
			if g.Name != alone.Name {
				c.Cut(t, alone.Name, g.Name, relay.Both)
			}
		}
		leaving.Terminate(t, limit)
		before := staying.Started()
		harness.Eventually(t, limit, "the other servers serve", func() bool { return staying.Started() > before })
	})
	if report := c.CheckSafety(t, calls); report.LatestAfterLeave > int64(newWorkBound) {
		t.Errorf("a server got new work %s after a gateway had accepted its leave", time.Duration(report.LatestAfterLeave))
	}
}

// Guards against gateways that overload servers in cold start, which then fall over.
func TestColdServersDoNotFallOver(t *testing.T) {
	c := serving(t, false)
	warm := c.StartServers(t, harness.Catalogue, nearFirst, 3, serverFlags...)
	harness.Eventually(t, limit, "registration", warm.Registered)
	o, calls := c.NewLoad(t, "cold", 400, endless, seed)
	o.Targets = harness.Targets()[:1]
	var cold *harness.ServerGroup
	during(t, o, func() {
		cold = c.StartServers(t, harness.Catalogue, nearSecond, 3, append(serverFlags, "-cold", "4s")...)
		harness.Eventually(t, limit, "warm servers", func() bool {
			for _, s := range cold.Counts() {
				if s.State != "ready" || s.Completed == 0 {
					return false
				}
			}
			return true
		})
	})
	if report := c.CheckSafety(t, calls); report.FellOver > 0 {
		t.Errorf("cold servers fell over %d times", report.FellOver)
	}
}

// Guards against a request that crashes server after server.
func TestRequestThatCrashesServers(t *testing.T) {
	c := serving(t, false)
	flags := append([]string{"-crash"}, serverFlags...)
	var groups []*harness.ServerGroup
	for range 5 {
		groups = append(groups, c.StartServers(t, harness.Catalogue, nearFirst, 1, flags...))
	}
	for _, g := range groups {
		harness.Eventually(t, limit, "registration", g.Registered)
	}
	for range 6 {
		for _, g := range c.Setup.Gateways {
			harness.Get(t, "http://"+g.Callers+harness.CataloguePath+"/poison", http.Header{"Standin-Crash": {"yes"}})
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
