package balance

import (
	"fmt"
	"testing"
	"time"
)

// pathSimulation drives a Reachability in virtual time: requests ask a few servers, and a server answers at once if the
// path works and it is alive.
type pathSimulation struct {
	*Reachability
	now     time.Duration
	servers int
	works   func(server int) bool
	// idle is set if no request asks servers, waiting if some wait for answers.
	idle, waiting bool
	probes        int
	next          int
}

const simulationStep = 10 * time.Millisecond

func newPathSimulation(servers int) *pathSimulation {
	return &pathSimulation{Reachability: NewReachability(), servers: servers, works: func(int) bool { return true }}
}

func (s *pathSimulation) ask(n int) {
	for range n {
		server := s.next % s.servers
		s.next++
		name := fmt.Sprint(server)
		if s.Asked(name, s.now); s.works(server) {
			s.Answered(s.now)
		}
	}
}

// run advances the time. Every fifth step a request asks three servers, and every fifth there is a tick.
func (s *pathSimulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simulationStep {
		switch s.now / simulationStep % 5 {
		case 0:
			_, n := s.Tick(s.now, s.servers, s.waiting)
			s.probes += n
			s.ask(min(n, s.servers))
		case 2:
			if s.State() != CutOff && !s.idle {
				s.ask(3)
			}
		}
	}
}

// Guards against a cut that is detected late, a return that is detected late, and probes without bound in between.
func TestCutIsDetectedAndEnds(t *testing.T) {
	for _, servers := range []int{1, 3, 48} {
		s := newPathSimulation(servers)
		s.run(5 * time.Second)
		if s.State() != Reached || s.IsSuspect(s.now) || s.probes != 0 {
			t.Fatalf("%d servers: %s with %d probes while all answer", servers, s.State(), s.probes)
		}
		s.works = func(int) bool { return false }
		s.run(150 * time.Millisecond)
		if servers >= suspicionServers && !s.IsSuspect(s.now) {
			t.Errorf("%d servers: not suspect 150 ms after the cut", servers)
		}
		s.run(450 * time.Millisecond)
		if s.State() != CutOff || s.DirectShare(s.now) != 0 {
			t.Fatalf("%d servers: %s 600 ms after the cut", servers, s.State())
		}
		s.probes = 0
		s.run(10 * time.Second)
		if s.State() != CutOff || s.probes < 20 || s.probes > 100 {
			t.Errorf("%d servers: %s, %d probes in 10 s", servers, s.State(), s.probes)
		}
		s.works = func(int) bool { return true }
		s.run(time.Second)
		if share := s.DirectShare(s.now); s.State() != Returning || share < pathReturnShare || share > 0.9 {
			t.Errorf("%d servers: %s with a share of %.2f a second after the return", servers, s.State(), share)
		}
		s.run(2 * time.Second)
		if s.State() != Reached || s.DirectShare(s.now) != 1 {
			t.Errorf("%d servers: %s 3 s after the return", servers, s.State())
		}
	}
}

// Guards against taking the failure of many servers for a cut while others answer.
func TestFailedServersAreNoCut(t *testing.T) {
	s := newPathSimulation(48)
	s.works = func(server int) bool { return server%4 == 0 }
	for range 200 {
		s.run(50 * time.Millisecond)
		if s.State() != Reached {
			t.Fatalf("%s at %s, though every fourth server answers", s.State(), s.now)
		}
	}
}

// Guards against a gateway that counts as cut off by four failures without a verification, or after it was stopped.
func TestCutNeedsVerificationAndTime(t *testing.T) {
	r := NewReachability()
	fail := func(now time.Duration) {
		for i := range 5 {
			r.Asked(fmt.Sprint(i), now)
		}
	}
	r.Tick(0, 9, false)
	fail(0)
	if _, probes := r.Tick(50*time.Millisecond, 9, false); probes != 0 || r.IsSuspect(50*time.Millisecond) {
		t.Error("suspect 50 ms after failures at once")
	}
	if state, probes := r.Tick(suspicionPatience, 9, false); state != Reached || probes != verifyProbes || !r.IsSuspect(suspicionPatience) {
		t.Errorf("%s, %d probes after 75 ms", state, probes)
	}
	r.Answered(90 * time.Millisecond)
	if state, _ := r.Tick(100*time.Millisecond, 9, false); state != Reached || r.IsSuspect(100*time.Millisecond) {
		t.Errorf("%s after an answer", state)
	}
	fail(100 * time.Millisecond)
	r.Tick(150*time.Millisecond, 9, false)
	if state, _ := r.Tick(10*time.Second, 9, false); state != Reached || r.IsSuspect(10*time.Second) {
		t.Errorf("%s after a stop of the process", state)
	}
}

// Guards against a suspicion that never ends because no server can be probed.
func TestSuspicionWithoutProbesEnds(t *testing.T) {
	r := NewReachability()
	for i := range 5 {
		r.Asked(fmt.Sprint(i), 0)
	}
	for now := time.Duration(0); now <= suspicionLifetime; now += 50 * time.Millisecond {
		if state, probes := r.Tick(now, 0, true); state != Reached || probes != 0 {
			t.Fatalf("%s, %d probes without servers to probe", state, probes)
		}
	}
	if r.IsSuspect(suspicionLifetime) {
		t.Error("still suspect")
	}
}

// Guards against a gateway whose path fails again and again and that returns as fast each time.
func TestReturnTakesLongerAfterRelapse(t *testing.T) {
	s := newPathSimulation(12)
	var took []time.Duration
	for range 5 {
		s.works = func(int) bool { return false }
		s.run(time.Second)
		if s.State() != CutOff {
			t.Fatal(s.State())
		}
		s.works = func(int) bool { return true }
		begin := s.now
		for s.State() == CutOff && s.now-begin < 10*time.Second {
			s.run(50 * time.Millisecond)
		}
		took = append(took, s.now-begin)
	}
	if took[0] > time.Second || took[3] < 3*time.Second || took[4] > 4*time.Second {
		t.Errorf("returns took %v", took)
	}
	s.run(relapseWindow + time.Second)
	s.works = func(int) bool { return false }
	s.run(time.Second)
	s.works = func(int) bool { return true }
	s.run(time.Second)
	if s.State() != Returning {
		t.Errorf("%s a second after the return; want a short return after a calm time", s.State())
	}
}

// Guards against a cut that is not detected because requests hang on connections that were open before, and no server is asked
// for its load; and against probes without bound while requests are slow.
func TestCutIsDetectedByRequestsThatWait(t *testing.T) {
	s := newPathSimulation(12)
	s.run(time.Second)
	s.idle, s.waiting = true, true
	s.run(10 * time.Second)
	if s.State() != Reached || s.probes > 80 {
		t.Errorf("%s, %d probes in 10 s of slow requests", s.State(), s.probes)
	}
	s.works = func(int) bool { return false }
	s.run(1500 * time.Millisecond)
	if s.State() != CutOff {
		t.Errorf("%s 1.5 s after the cut", s.State())
	}
}
