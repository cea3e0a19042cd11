package process

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/relay"
)

// requestsVariable is the environment variable that sets the number of requests of the schedule. The default number takes
// about 45 s; a full run has at least 100000 requests.
const (
	requestsVariable = "HEATHERWALL_SCHEDULE_REQUESTS"
	defaultRequests  = 22500
	scheduleRate     = 500
	faultInterval    = 800 * time.Millisecond
	maxFaultDuration = 3 * time.Second
)

// schedule injects random faults, which depend only on the seed.
type schedule struct {
	t      *testing.T
	c      *harness.Cluster
	groups []*harness.ServerGroup
	rand   *rand.Rand
	counts map[string]int
}

// Guards against requests that run twice, that run or are answered outside their home regions, that are refused as not
// run although they ran, or whose response is incomplete or belongs to another request. The faults are killed and
// frozen processes and silently dropped traffic. Requests are resent through other gateways, some of them twice at the
// same time.
func TestFaultSchedule(t *testing.T) {
	requests := defaultRequests
	if text := os.Getenv(requestsVariable); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		requests = n
	}
	c := newServingCluster(t, true)
	s := &schedule{t: t, c: c, groups: startServers(t, c), rand: rand.New(rand.NewPCG(seed, 0)), counts: map[string]int{}}
	o, calls := c.NewLoadOptions(t, "schedule", scheduleRate, unlimitedRequests, seed)
	o.Resends = 3
	o.DuplicateShare = 0.02
	o.RetryRefused = true
	o.FollowReadiness = true
	o.Timeout = 6 * time.Second
	end := time.Now().Add(time.Duration(requests) * time.Second / scheduleRate)
	defer func() {
		t.Logf("seed %d, faults %v", seed, s.counts)
		c.CheckSafety(t, calls)
	}()
	summary := runDuringLoad(t, o, func() {
		for time.Now().Before(end) {
			time.Sleep(faultInterval)
			s.injectFault()
		}
		s.awaitRecovery()
	})
	if summary.OK == 0 {
		t.Error("no request was answered")
	}
}

func (s *schedule) injectFault() {
	faults := []struct {
		name   string
		inject func(time.Duration)
	}{
		{"gateway killed", s.killGateway},
		{"leader killed", s.killLeader},
		{"servers killed", s.killServers},
		{"gateway frozen", s.freezeGateway},
		{"leader frozen", s.freezeLeader},
		{"servers frozen", s.freezeServers},
		{"cut between two", s.cutPair},
		{"replica cut off", s.cutReplica},
	}
	f := faults[s.rand.IntN(len(faults))]
	s.counts[f.name]++
	f.inject(time.Duration(s.rand.Int64N(int64(maxFaultDuration))))
}

func (s *schedule) killGateway(d time.Duration) {
	g := s.c.Setup.Gateways[s.rand.IntN(len(s.c.Setup.Gateways))]
	s.c.Process(g.Name).Kill()
	time.Sleep(d)
	s.c.StartGateway(s.t, g)
}

func (s *schedule) killLeader(d time.Duration) {
	leader := s.c.Leader(s.t)
	s.c.Process(leader.Name).Kill()
	time.Sleep(d)
	s.c.StartControl(s.t, leader, false)
}

func (s *schedule) killServers(d time.Duration) {
	g := s.groups[s.rand.IntN(len(s.groups))]
	g.Kill()
	time.Sleep(d)
	g.Restart(s.t, s.c)
}

func (s *schedule) freezeGateway(d time.Duration) {
	freeze(s.c.Process(s.c.Setup.Gateways[s.rand.IntN(len(s.c.Setup.Gateways))].Name), d)
}

func (s *schedule) freezeLeader(d time.Duration) {
	freeze(s.c.Process(s.c.Leader(s.t).Name), d)
}

func (s *schedule) freezeServers(d time.Duration) {
	freeze(s.groups[s.rand.IntN(len(s.groups))].Process, d)
}

func freeze(p *harness.Process, d time.Duration) {
	p.Freeze()
	time.Sleep(d)
	p.Thaw()
}

var directions = []relay.Direction{relay.Forward, relay.Backward, relay.Both}

func (s *schedule) cutPair(d time.Duration) {
	g := s.c.Setup.Gateways[s.rand.IntN(len(s.c.Setup.Gateways))].Name
	r := s.c.Setup.Controls[s.rand.IntN(len(s.c.Setup.Controls))].Name
	s.c.Cut(s.t, g, r, directions[s.rand.IntN(len(directions))])
	time.Sleep(d)
	s.c.Cut(s.t, g, r, relay.None)
}

func (s *schedule) cutReplica(d time.Duration) {
	r := s.c.Setup.Controls[s.rand.IntN(len(s.c.Setup.Controls))].Name
	s.c.Isolate(s.t, r, directions[s.rand.IntN(len(directions))])
	time.Sleep(d)
	s.c.Isolate(s.t, r, relay.None)
}

// awaitRecovery waits until the whole cluster works again after the last fault.
func (s *schedule) awaitRecovery() {
	s.t.Helper()
	harness.Eventually(s.t, timeout, "all control replicas are voters", func() bool { return s.c.VoterCount(s.t) == len(s.c.Setup.Controls) })
	s.c.WaitReady(s.t)
	for _, g := range s.groups {
		harness.Eventually(s.t, timeout, g.Name+" registered", g.Registered)
		if g.Service == harness.Vault && g.Place.Region != harness.NearRegion {
			continue // servers outside the home regions must get no work
		}
		before := g.StartedRuns()
		harness.Eventually(s.t, timeout, "work for "+g.Name, func() bool { return g.StartedRuns() > before })
	}
}
