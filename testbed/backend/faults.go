package backend

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// coldPoll bounds the time in which a run at a cold server notices a change of its speed.
const coldPoll = 10 * time.Millisecond

// faults are the deviations that POST /.standin/fault switches on and off while the server runs.
type faults struct {
	mu sync.Mutex
	// slowness is the factor on the time of work; 0 counts as 1.
	slowness float64
	// changed is closed when the slowness changes.
	changed chan struct{}
	failing bool
	silent  bool
	// state is announced and reported in place of the true one; empty for the true one.
	state string
}

func (f *faults) setSlowness(factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowness = factor
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// speed returns the factor on the time of work and a channel that is closed when it changes.
func (f *faults) speed() (float64, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return max(f.slowness, 1), f.changed
}

func (f *faults) isFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

// shown is the state that the server shows in place of the true one.
func (f *faults) shown(truth string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.state != "":
		return f.state
	case f.silent && truth == "cold":
		return "ready"
	}
	return truth
}

func (f *faults) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// serveFault changes the faults named in the query: slowness=FACTOR, failing=BOOL, report=KIND, state=STATE (empty for
// the true one, announced at once), silent=BOOL (a cold start is not shown), warm=true.
func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	for name, values := range r.URL.Query() {
		if !s.setFault(name, values[0]) {
			http.Error(w, "unknown fault "+name, http.StatusBadRequest)
			return
		}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) setFault(name, value string) bool {
	f := &s.faults
	switch name {
	case "slowness":
		factor, err := strconv.ParseFloat(value, 64)
		f.setSlowness(factor)
		return err == nil
	case "failing":
		f.set(func() { f.failing = value == "true" })
	case "silent":
		f.set(func() { f.silent = value == "true" })
	case "report":
		s.report.set(ReportMode(value))
	case "state":
		f.set(func() { f.state = value })
		s.announcer.wakeUp()
	case "warm":
		s.warmth.warm()
		s.announcer.wakeUp()
	default:
		return false
	}
	return true
}

// work runs a request that takes d at full speed; the speed may change meanwhile. It reports false if the context ended
// first.
func (s *Server) work(ctx context.Context, d time.Duration) bool {
	left := float64(d)
	for left > 0 {
		factor, changed := s.faults.speed()
		cold := s.warmth.crowding(time.Now(), int(s.present.Load()), s.options.Slots)
		factor *= cold
		step := time.Duration(left * factor)
		if cold > 1 {
			step = min(step, coldPoll)
		}
		began := time.Now()
		if !waitOr(ctx, step, changed) {
			return false
		}
		left -= float64(time.Since(began)) / factor
	}
	return true
}

// waitOr waits for d or until changed is closed. It reports false if the context ended first.
func waitOr(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}

// travel waits for the one-way latency between the place of the sender and this server. Senders name their place in
// the header Standin-Origin as REGION/DOMAIN; without it there is no latency.
func (s *Server) travel(ctx context.Context, origin string) bool {
	d := s.options.distance(origin)
	return d == 0 || wait(ctx, d)
}
