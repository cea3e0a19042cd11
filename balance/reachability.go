package balance

import (
	"maps"
	"sync"
	"time"
)

// Constants of Reachability.
const (
	// answerPatience is the time after which a probe counts as unanswered. Servers of another region answer within 30 ms.
	answerPatience = 120 * time.Millisecond
	// suspicionPatience is the same for the suspicion, which costs little if it is wrong.
	suspicionPatience = 75 * time.Millisecond
	// cutOffServers and suspicionServers are the numbers of distinct servers that must have failed since the last answer.
	cutOffServers    = 4
	suspicionServers = 3
	// verifyServers is the number of failed servers from which on further servers are probed.
	verifyServers = 2
	// cutOffSilence is the shortest time without any answer before the gateway counts as cut off.
	cutOffSilence = 250 * time.Millisecond
	// maxTickGap is the longest time between two ticks; after a longer one the process was stopped, and what seems
	// unanswered may have been answered.
	maxTickGap = 200 * time.Millisecond
	// suspicionLifetime is how long a suspicion lasts if no server can be probed to verify it; requests then try again.
	suspicionLifetime = time.Second
	// maxUnanswered bounds the number of servers whose failures are remembered.
	maxUnanswered = 64

	// quietTime is the time without any answer after which servers are probed if requests wait for answers.
	quietTime = 300 * time.Millisecond

	verifyInterval = 150 * time.Millisecond
	verifyProbes   = 4
	// cutOffProbeInterval is the time between two rounds of probes while cut off, returnProbeInterval that after an answer.
	cutOffProbeInterval = 250 * time.Millisecond
	returnProbeInterval = 100 * time.Millisecond
	cutOffProbes        = 2

	// returnAnswers is the number of answers after which a gateway returns, unless minReturnTime or a multiple has not
	// passed since the first one. A gap longer than maxAnswerGap starts the count anew.
	returnAnswers   = 4
	minReturnTime   = 400 * time.Millisecond
	maxReturnTime   = 3200 * time.Millisecond
	maxAnswerGap    = 600 * time.Millisecond
	relapseWindow   = 10 * time.Second
	pathReturnRamp  = time.Second
	pathReturnShare = 0.2
)

// ReachState is the state of the path from this gateway to all backend servers together.
type ReachState uint8

// States of the path to backend servers.
const (
	// Reached: at least some servers answer.
	Reached ReachState = iota
	// CutOff: no server answers, though several were asked.
	CutOff
	// Returning: servers answer again and receive a growing share of the requests.
	Returning
)

// String returns the name of the state in logs.
func (s ReachState) String() string { return [...]string{"reached", "cut_off", "returning"}[s] }

// Reachability decides whether this gateway reaches backend servers at all. A single server that fails proves nothing;
// several that fail while no other answers do. It is safe for concurrent use.
type Reachability struct {
	mu       sync.Mutex
	state    ReachState
	lastTick time.Duration
	// unanswered holds when each server was first asked, or failed, since the last answer of any server.
	unanswered map[string]time.Duration
	// verifiedAt is when further servers were first probed since the last answer; 0 for never.
	verifiedAt  time.Duration
	nextProbeAt time.Duration
	// answeredAt is when any server last answered.
	answeredAt time.Duration

	// answers counts the answers while cut off, from firstAnswerAt on.
	answers                     int
	firstAnswerAt, lastAnswerAt time.Duration
	returnTime                  time.Duration
	returnedAt                  time.Duration
}

// NewReachability returns a Reachability in the state Reached.
func NewReachability() *Reachability {
	return &Reachability{unanswered: map[string]time.Duration{}, returnTime: minReturnTime}
}

// Asked records that a probe was sent to a server, that a connection to it is being opened, or that one has failed. A failure
// counts no sooner than silence, because servers that ended refuse several connections at once.
func (r *Reachability) Asked(server string, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.unanswered[server]; !known && len(r.unanswered) < maxUnanswered {
		r.unanswered[server] = now
	}
}

// Answered records an answer of any server, which proves that the path works.
func (r *Reachability) Answered(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLocked()
	r.answeredAt = now
	if r.state != CutOff {
		return
	}
	if r.answers == 0 || now-r.lastAnswerAt > maxAnswerGap {
		r.answers, r.firstAnswerAt = 0, now
	}
	r.answers++
	r.lastAnswerAt = now
}

func (r *Reachability) forgetLocked() {
	clear(r.unanswered)
	r.verifiedAt = 0
}

// IsSuspect reports whether the gateway may be cut off, before that is certain.
func (r *Reachability) IsSuspect(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state == CutOff || r.countLocked(now, suspicionPatience) >= suspicionServers
}

// State returns the state as of the last tick.
func (r *Reachability) State() ReachState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state
}

// DirectShare returns the share of requests that may be sent to servers.
func (r *Reachability) DirectShare(now time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.state {
	case CutOff:
		return 0
	case Returning:
		return min(1, pathReturnShare+(1-pathReturnShare)*float64(now-r.returnedAt)/float64(pathReturnRamp))
	}
	return 1
}

// Tick advances the state. servers is the number of servers that can be probed, and waiting is set if requests wait for
// answers of servers. It returns the state and the number of servers to probe now.
func (r *Reachability) Tick(now time.Duration, servers int, waiting bool) (ReachState, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.lastTick > maxTickGap {
		r.forgetLocked()
	}
	r.lastTick = now
	if servers == 0 {
		maps.DeleteFunc(r.unanswered, func(_ string, since time.Duration) bool { return now-since >= suspicionLifetime })
	}
	switch {
	case r.state == CutOff && r.mayReturnLocked(now):
		r.state, r.returnedAt = Returning, now
		r.forgetLocked()
	case r.state != CutOff && r.isCutOffLocked(now, servers):
		r.startCutOffLocked(now)
	case r.state == Returning && now-r.returnedAt >= pathReturnRamp:
		r.state = Reached
	}
	return r.state, r.probesLocked(now, servers, waiting)
}

func (r *Reachability) mayReturnLocked(now time.Duration) bool {
	return r.answers >= returnAnswers && now-r.firstAnswerAt >= r.returnTime && now-r.lastAnswerAt <= maxAnswerGap
}

// startCutOffLocked doubles the time that a return takes if the last one was not long ago.
func (r *Reachability) startCutOffLocked(now time.Duration) {
	r.returnTime = min(2*r.returnTime, maxReturnTime)
	if r.returnedAt == 0 || now-r.returnedAt > relapseWindow {
		r.returnTime = minReturnTime
	}
	r.state, r.answers, r.nextProbeAt = CutOff, 0, now
}

func (r *Reachability) isCutOffLocked(now time.Duration, servers int) bool {
	if servers == 0 || r.verifiedAt == 0 || now-r.verifiedAt < answerPatience {
		return false
	}
	oldest := now
	for _, since := range r.unanswered {
		oldest = min(oldest, since)
	}
	return now-oldest >= cutOffSilence && r.countLocked(now, answerPatience) >= min(cutOffServers, servers)
}

// countLocked returns the number of servers that have not answered within the patience.
func (r *Reachability) countLocked(now, patience time.Duration) int {
	n := 0
	for _, since := range r.unanswered {
		if now-since >= patience {
			n++
		}
	}
	return n
}

// probesLocked returns the number of servers to probe now.
func (r *Reachability) probesLocked(now time.Duration, servers int, waiting bool) int {
	if servers == 0 || now < r.nextProbeAt {
		return 0
	}
	switch {
	case r.state == CutOff && r.answers > 0 && now-r.lastAnswerAt <= maxAnswerGap:
		r.nextProbeAt = now + returnProbeInterval
		return cutOffProbes
	case r.state == CutOff:
		r.nextProbeAt = now + cutOffProbeInterval
		return cutOffProbes
	case r.countLocked(now, suspicionPatience) >= min(verifyServers, servers):
	case waiting && now-r.answeredAt >= quietTime:
		r.nextProbeAt = now + verifyInterval
		return verifyServers
	default:
		return 0
	}
	if r.verifiedAt == 0 {
		r.verifiedAt = now
	}
	r.nextProbeAt = now + verifyInterval
	return verifyProbes
}
