package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/settings"
)

// stubVoters is a control group whose voters answer what the test sets.
type stubVoters struct {
	members []*raftpb.Member

	mu sync.Mutex
	// versions holds the version that each voter reports; a voter without one does not answer.
	versions map[string]uint64
	// delay is how long each answer takes.
	delay time.Duration
	calls int
}

func newStubVoters(size int) *stubVoters {
	s := &stubVoters{versions: map[string]uint64{}}
	for i := range size {
		name := string(rune('a' + i))
		s.members = append(s.members, &raftpb.Member{Id: uint64(i + 1), Name: name, Address: name})
	}
	return s
}

// report lets the first n voters report a version, and silences the others.
func (s *stubVoters) report(version uint64, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.versions)
	for _, m := range s.members[:n] {
		s.versions[m.Name] = version
	}
}

// set lets one voter report a version.
func (s *stubVoters) set(voter int, version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[s.members[voter].Name] = version
}

func (s *stubVoters) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func (s *stubVoters) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// called counts a call and returns how the voter answers it.
func (s *stubVoters) called(name string) (version uint64, delay time.Duration, answers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	version, answers = s.versions[name]
	return version, s.delay, answers
}

func (s *stubVoters) newestRoutes(ctx context.Context, replica settings.Replica) (*controlpb.NewestRoutesAnswer, error) {
	version, delay, answers := s.called(replica.Name)
	if !answers {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for _, m := range s.members {
		if m.Name == replica.Name {
			return &controlpb.NewestRoutesAnswer{ClusterId: 7, ReplicaId: m.Id, Version: version, Members: s.members}, nil
		}
	}
	return nil, errors.New("no such replica")
}

// newTestVerifier returns the verifier of a gateway that holds route table 3, confirmed at the current time.
func newTestVerifier(t *testing.T, voters *stubVoters) (*routeVerifier, *leaseClient) {
	t.Helper()
	c := newTestLease(t)
	c.serveStale = time.Hour
	c.replicas = &replicaList{}
	c.replicas.setMembers(voters.members)
	v := &routeVerifier{
		replicas: c.replicas, newestRoutes: voters.newestRoutes, connections: newConnectionPool(nil),
		applyTime: 2 * time.Second, current: c.Current, clock: c.clock, log: c.log, counters: c.counters,
	}
	time.Sleep(time.Second) // the clock of a gateway that has a table is not 0
	confirmRoutes(t, c, routeTable(3))
	return v, c
}

// confirmRoutes lets a replica confirm a table to the gateway now.
func confirmRoutes(t *testing.T, c *leaseClient, table *controlpb.RouteTable) {
	t.Helper()
	a := catalogueAnswer(0, 10, table)
	a.RoutesVersion = table.GetVersion()
	if _, err := c.applyAnswer(a, c.clock.now()+leaseDuration); err != nil {
		t.Fatal(err)
	}
}

// Guards against a gateway that serves a table past the time at which a newer one must be in force while it reaches a majority
// of the voters, and against one that refuses although its table is the newest or it is cut off.
func TestUnconfirmedRoutesAreServedByMajority(t *testing.T) {
	tests := map[string]struct {
		reported  uint64
		answering int
		served    bool
	}{
		"all report the table in use":           {3, 5, true},
		"a majority reports the table in use":   {3, 3, true},
		"a majority reports a newer table":      {4, 3, false},
		"cut off, a minority reports the table": {3, 2, true},
		"cut off, a minority reports a newer":   {4, 2, true},
		"no voter answers":                      {0, 0, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				voters := newStubVoters(5)
				voters.report(test.reported, test.answering)
				v, c := newTestVerifier(t, voters)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go v.run(ctx)
				confirmed := c.clock.now()
				for c.clock.now() < confirmed+20*time.Second {
					time.Sleep(10 * time.Millisecond)
					synctest.Wait()
					age := c.clock.now() - confirmed
					if got, want := v.mayServe(c.Current()), test.served || age <= v.applyTime; got != want {
						t.Fatalf("%s after the last confirmation: may serve %t; want %t", age, got, want)
					}
				}
				confirmRoutes(t, c, routeTable(4))
				if !v.mayServe(c.Current()) {
					t.Error("a table that a replica has just confirmed is not served")
				}
			})
		})
	}
}

// Guards against replicas that are asked although renewals confirm the table.
func TestConfirmedRoutesAreNotVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		voters := newStubVoters(3)
		v, c := newTestVerifier(t, voters)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go v.run(ctx)
		for range 30 {
			time.Sleep(renewInterval)
			confirmRoutes(t, c, routeTable(3))
		}
		if n := voters.callCount(); n != 0 {
			t.Errorf("%d calls to replicas", n)
		}
	})
}

// Guards against a process that was paused and serves with what it knew before.
func TestPausedGatewayVerifiesBeforeItServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		voters := newStubVoters(3)
		v, c := newTestVerifier(t, voters)
		v.ask(t.Context()) // no voter answers: the gateway is cut off
		if !v.mayServe(c.Current()) {
			t.Fatal("a gateway that is cut off does not serve")
		}
		time.Sleep(5 * time.Second) // the goroutine of the verifier is not running
		if v.mayServe(c.Current()) {
			t.Error("the table is served 5 s after the last verdict")
		}
		voters.report(3, 2)
		v.ask(t.Context())
		if !v.mayServe(c.Current()) {
			t.Error("the table is not served although a majority has no newer one")
		}
	})
}

// Guards against an order of confirmations, rounds and changes in which a gateway in touch serves a table that is older than one
// acknowledged longer ago than the apply time.
func TestOlderRoutesAreNeverServedInTouch(t *testing.T) {
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) { runVerifierHistory(t, seed) })
	}
}

func runVerifierHistory(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	voters := newStubVoters(5)
	voters.report(3, 5)
	v, c := newTestVerifier(t, voters)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go v.run(ctx)
	version := uint64(3)
	// due is the version that must be in force, and pending holds the times at which the later ones were acknowledged.
	due, pending := version, []time.Duration(nil)
	// arrivesAt is when the newest table reaches the gateway.
	arrivesAt := time.Duration(0)
	refused := 0
	for c.clock.now() < 60*time.Second {
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		now := c.clock.now()
		voters.setDelay(time.Duration(random.Int64N(int64(v.askTimeout() / 2))))
		if random.IntN(300) == 0 { // the voters with the newest table, a majority, change while it is put
			version++
			for _, i := range random.Perm(5)[:3+random.IntN(3)] {
				voters.set(i, version)
			}
			pending = append(pending, now)
			arrivesAt = now + time.Duration(random.Int64N(int64(6*time.Second)))
		}
		for len(pending) > 0 && now > pending[0]+v.applyTime {
			due, pending = due+1, pending[1:]
		}
		if held := c.Current().catalogue.routes.Version; held < version && now >= arrivesAt {
			must(t, c.acceptPush(catalogueAnswer(10, 10, routeTable(version))))
		} else if held == version && random.IntN(400) == 0 {
			confirmRoutes(t, c, routeTable(version))
		}
		held := c.Current().catalogue.routes.Version
		served := v.mayServe(c.Current())
		if served && held < due {
			t.Fatalf("seed %d: version %d is served at %s, when version %d must be in force", seed, held, now, due)
		}
		if held == version && !served {
			refused++
		}
	}
	if refused > 1000 { // of 6,000 steps
		t.Errorf("seed %d: the newest table was refused in %d steps", seed, refused)
	}
}

// Guards against a gateway that knows of a newer table and serves the old one because a single round is not answered, and against
// one that refuses for ever once it is cut off.
func TestOneUnansweredRoundIsNoCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		voters := newStubVoters(3)
		v, c := newTestVerifier(t, voters)
		voters.report(4, 3)
		time.Sleep(2 * v.applyTime)
		v.ask(t.Context())
		answered := c.clock.now()
		voters.report(4, 1)
		v.ask(t.Context())
		if v.mayServe(c.Current()) {
			t.Error("the table is served after one unanswered round")
		}
		time.Sleep(answered + v.applyTime + time.Millisecond - c.clock.now())
		v.ask(t.Context())
		if !v.mayServe(c.Current()) {
			t.Error("a gateway that is cut off does not serve")
		}
	})
}

// Guards against a verdict that counts from the answers, although a newer table may be acknowledged before they arrive.
func TestVerdictCountsFromTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		voters := newStubVoters(3)
		voters.report(3, 3)
		v, c := newTestVerifier(t, voters)
		voters.setDelay(v.askTimeout() / 2)
		time.Sleep(v.applyTime)
		asked := c.clock.now()
		v.ask(t.Context())
		voters.report(4, 3)
		v.ask(t.Context())
		time.Sleep(asked + v.applyTime - c.clock.now())
		if !v.mayServe(c.Current()) {
			t.Error("a later verdict took back what an earlier one confirmed")
		}
		time.Sleep(time.Millisecond)
		if v.mayServe(c.Current()) {
			t.Errorf("the table is served %s after the question", c.clock.now()-asked)
		}
	})
}
