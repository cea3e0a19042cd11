package backend

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// coldPollInterval bounds the delay until a run at a cold server notices a change of its slowdown.
const coldPollInterval = 10 * time.Millisecond

// faults are the faults that POST /.standin/fault injects and removes while the server runs.
type faults struct {
	mu sync.Mutex
	// slowdown is the factor on the service time; values below 1 count as 1.
	slowdown float64
	// slowdownChanged is closed when slowdown changes.
	slowdownChanged chan struct{}
	failing         bool
	hideColdStart   bool
	// stateOverride is announced and reported instead of the actual state; empty for no override.
	stateOverride string
	// saidState is the state in responses instead of the reported one; empty for no override. It is not announced.
	saidState string
	// turnAway is the Retry-After with which all requests are turned away; empty if they are not. It need not be valid.
	turnAway string
}

func (f *faults) setSlowdown(factor float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowdown = factor
	if f.slowdownChanged != nil {
		close(f.slowdownChanged)
		f.slowdownChanged = nil
	}
}

// currentSlowdown returns the factor on the service time and a channel that is closed when the factor changes.
func (f *faults) currentSlowdown() (float64, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slowdownChanged == nil {
		f.slowdownChanged = make(chan struct{})
	}
	return max(f.slowdown, 1), f.slowdownChanged
}

func (f *faults) isFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing
}

// reportedState returns the state that the server reports, given its actual state.
func (f *faults) reportedState(actual string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.stateOverride != "":
		return f.stateOverride
	case f.hideColdStart && actual == "cold":
		return "ready"
	}
	return actual
}

// stateInResponse returns the state in responses, given the reported one.
func (f *faults) stateInResponse(reported string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.saidState != "" {
		return f.saidState
	}
	return reported
}

func (f *faults) retryAfter() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.turnAway
}

func (f *faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// serveFault sets the faults named in the query: slowness=FACTOR, failing=BOOL, report=MODE, state=STATE (empty for the
// actual one; announced at once), say=STATE (in responses only), turn-away=RETRY_AFTER (503 to all requests), silent=BOOL (reports "ready" during a cold start), warm=true (ends the cold start).
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
		f.setSlowdown(factor)
		return err == nil
	case "failing":
		f.update(func() { f.failing = value == "true" })
	case "silent":
		f.update(func() { f.hideColdStart = value == "true" })
	case "report":
		s.loadReport.set(ReportMode(value))
	case "state":
		f.update(func() { f.stateOverride = value })
		s.announcer.wakeUp()
	case "say":
		f.update(func() { f.saidState = value })
	case "turn-away":
		f.update(func() { f.turnAway = value })
	case "warm":
		s.coldStart.end()
		s.announcer.wakeUp()
	default:
		return false
	}
	return true
}

// simulateWork waits for the duration of a run that takes d without slowdown. The slowdown may change during the run. It
// reports false if the context ended first.
func (s *Server) simulateWork(ctx context.Context, d time.Duration) bool {
	remaining := float64(d)
	for remaining > 0 {
		factor, changed := s.faults.currentSlowdown()
		coldFactor := s.coldStart.coldStepSlowdown(time.Now(), int(s.outstanding.Load()), s.options.Slots)
		factor *= coldFactor
		step := time.Duration(remaining * factor)
		if coldFactor > 1 {
			step = min(step, coldPollInterval)
		}
		began := time.Now()
		if !waitOrChange(ctx, step, changed) {
			return false
		}
		remaining -= float64(time.Since(began)) / factor
	}
	return true
}

// waitOrChange waits for d or until changed is closed. It reports false if the context ended first.
func waitOrChange(ctx context.Context, d time.Duration, changed <-chan struct{}) bool {
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

// simulateLatency waits for the one-way latency between the sender and this server. The header Standin-Origin names the
// sender's location as REGION/DOMAIN; without it there is no latency. It reports false if the context ended first.
func (s *Server) simulateLatency(ctx context.Context, origin string) bool {
	d := s.options.latencyFrom(origin)
	return d == 0 || sleep(ctx, d)
}
