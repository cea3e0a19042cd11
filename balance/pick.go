package balance

import "time"

// Constants of sampling.
const (
	// sampleSize is the number of eligible candidates compared in each tier.
	sampleSize = 4
	// scanSize is the number of servers looked at in a tier once one that is eligible has been found.
	scanSize = 24
	// reserveTries bounds how often Pick starts again when another request took the last place at the chosen server.
	reserveTries = 3
	// spillMargin multiplies the cost of another region, because its bytes are billed.
	spillMargin = 1.25
	// refuseRetryAfter is suggested to callers of refused requests.
	refuseRetryAfter = time.Second
	// hopelessFactor: a request whose expected time exceeds its remaining time so many times is refused.
	hopelessFactor = 2
)

// choice is the best candidate found so far.
type choice struct {
	candidate *candidate
	// wait is the expected time to an answer in ns, with the network.
	wait float64
	// busy tells that a permitted server was at a limit.
	busy bool
}

// Pick selects a server for one attempt. Either the attempt may be sent and must be ended with Done, or the refusal
// tells why not. It may be called by any goroutine and allocates nothing.
func (s *Snapshot) Pick(q Query) (Attempt, Refusal) {
	v := s.services[q.Service]
	if v == nil {
		return Attempt{}, refusal(ReasonNoServer)
	}
	if !s.charge(v, &q) {
		return Attempt{}, refusal(ReasonBudget)
	}
	m := s.members[q.Member]
	if r := s.admit(v, m); r != ReasonNone {
		s.refund(v, &q)
		return Attempt{}, refusal(r)
	}
	c, cold, refused := s.find(v, &q)
	if refused.Refused() {
		s.release(v, m)
		s.refund(v, &q)
		return Attempt{}, refused
	}
	return s.start(v, m, c, cold, &q), Refusal{}
}

// find chooses a server and reserves a place there.
func (s *Snapshot) find(v *serviceView, q *Query) (*candidate, bool, Refusal) {
	for range reserveTries {
		best := s.choose(v, q)
		if best.candidate == nil {
			if best.busy {
				return nil, false, refusal(ReasonOverloaded)
			}
			return nil, false, refusal(ReasonNoServer)
		}
		if q.Remaining > 0 && best.wait > hopelessFactor*float64(q.Remaining) {
			return nil, false, refusal(ReasonDeadline)
		}
		if y, yields := s.yields(v, q, &best); yields {
			return nil, false, Refusal{Reason: ReasonYield, RetryAfter: refuseRetryAfter, Yield: y}
		}
		cold := s.isCold(best.candidate, q.Now)
		if s.take(best.candidate, cold, q.Now) {
			return best.candidate, cold, Refusal{}
		}
		q.Random = mix(q.Random, 1)
	}
	return nil, false, refusal(ReasonOverloaded)
}

// take reserves a place at a server and, while it is cold, its next turn.
func (s *Snapshot) take(c *candidate, cold bool, now time.Duration) bool {
	if !reserve(&c.load.inFlight, s.hardLimit(c, cold)) {
		return false
	}
	if !cold || c.server.ColdInterval == 0 || c.load.coldTurn.advance(now, c.server.ColdInterval) {
		return true
	}
	c.load.inFlight.Add(-1)
	return false
}

// hardLimit is the limit of this gateway's requests at a server, which concurrent picks must not exceed either.
func (s *Snapshot) hardLimit(c *candidate, cold bool) int64 {
	if cold {
		return c.load.cold.limit()
	}
	return int64(c.server.MaxInFlight)
}

// choose prefers servers that have answered a probe, if the query asks for that.
func (s *Snapshot) choose(v *serviceView, q *Query) choice {
	if !q.PreferProbed {
		return s.chooseAny(v, q)
	}
	if best := s.chooseAny(v, q); best.candidate != nil {
		return best
	}
	q.PreferProbed = false // no server has answered; those that are only known by their history remain
	return s.chooseAny(v, q)
}

// chooseAny compares the tiers: the own region first, and other regions only when the gain exceeds their cost.
func (s *Snapshot) chooseAny(v *serviceView, q *Query) choice {
	var best choice
	s.sample(v, v.tiers[tierDomain], q, 0, &best)
	s.sample(v, v.tiers[tierRegion], q, float64(s.config.RegionCost), &best)
	spill := spillMargin * float64(s.config.SpillCost)
	if best.candidate != nil && best.wait <= spill {
		return best
	}
	if q.Kind == AttemptHedge && (s.local(v) || best.candidate != nil) {
		return best
	}
	if q.Remaining > 0 && q.Remaining < s.config.SpillCost {
		return best
	}
	s.sample(v, v.tiers[tierOther], q, spill, &best)
	return best
}

// local reports whether the service has servers in the own region; a hedge to another one would come too late.
func (s *Snapshot) local(v *serviceView) bool {
	return len(v.tiers[tierDomain])+len(v.tiers[tierRegion]) > 0
}

// sample compares eligible candidates from a random position on: up to sampleSize of them or, where the query asks for
// servers that answered a probe, all of those.
func (s *Snapshot) sample(v *serviceView, list []candidate, q *Query, cost float64, best *choice) {
	n := uint64(len(list))
	if n == 0 {
		return
	}
	i := mix(q.Random, n) % n
	readOnly := q.PreferProbed && !(list[0].tier == tierOther && best.candidate != nil)
	found := 0
	for scanned := range n {
		if scanned >= scanSize && found > 0 && !readOnly {
			return
		}
		c := &list[i]
		i++
		if i == n {
			i = 0
		}
		if readOnly && !c.load.isRead(q.Now) {
			continue
		}
		switch s.judge(v, c, q) {
		case verdictNo:
			continue
		case verdictBusy:
			best.busy = true
			continue
		}
		wait := s.expected(v, c, q.Now) + cost
		if best.candidate == nil || wait < best.wait {
			best.candidate, best.wait = c, wait
		}
		if found++; found == sampleSize && !readOnly {
			return
		}
	}
}

// admit reserves a place within the limits of the service and the member.
func (s *Snapshot) admit(v *serviceView, m *memberLoad) Reason {
	if !reserve(&v.load.inFlight, v.load.limit.Load()) {
		return ReasonServiceLimit
	}
	if m != nil && !reserve(&m.inFlight, m.limit.Load()) {
		v.load.inFlight.Add(-1)
		return ReasonMemberLimit
	}
	return ReasonNone
}

func (s *Snapshot) release(v *serviceView, m *memberLoad) {
	v.load.inFlight.Add(-1)
	if m != nil {
		m.inFlight.Add(-1)
	}
}

func (s *Snapshot) start(v *serviceView, m *memberLoad, c *candidate, cold bool, q *Query) Attempt {
	c.load.opened(q.Now)
	if q.Kind == AttemptFirst {
		v.load.first.Add(1)
	}
	return Attempt{
		Address: c.server.Address, ID: c.server.ID, FailureDomain: c.server.FailureDomain, Region: c.server.Region,
		State: c.server.State, Owned: c.server.Owned,
		snapshot: s, view: v, candidate: c, member: m,
		Details: s.evidence(v, c, q.Now),
		start:   q.Now, slowness: c.load.currentSlowness(q.Now), ticket: c.load.tickets.issue(), cold: cold,
	}
}

func (s *Snapshot) evidence(v *serviceView, c *candidate, now time.Duration) PickDetails {
	e := PickDetails{Load: s.total(v, c, now, c.load.inFlight.Load()), Slowness: c.load.currentSlowness(now), ReadingAge: -1}
	if at := c.load.readAt.load(); at > 0 {
		e.ReadingAge = now - at
	}
	return e
}

// charge spends from the budget of retries or hedges, or fills both.
func (s *Snapshot) charge(v *serviceView, q *Query) bool {
	switch q.Kind {
	case AttemptRetry:
		return s.config.Switches.NoRetryBudget || v.load.retries.take()
	case AttemptHedge:
		return q.Idempotent && !s.config.Switches.NoHedging && v.load.hedges.take()
	case AttemptFreeRetry:
		return true
	}
	v.load.retries.earn(s.config.RetryShare, s.config.RetryBurst)
	v.load.hedges.earn(s.config.HedgeShare, hedgeBurst)
	return true
}

// refund returns what a refused retry or hedge was charged.
func (s *Snapshot) refund(v *serviceView, q *Query) {
	switch q.Kind {
	case AttemptRetry:
		v.load.retries.giveBack()
	case AttemptHedge:
		v.load.hedges.giveBack()
	}
}

func refusal(r Reason) Refusal { return Refusal{Reason: r, RetryAfter: refuseRetryAfter} }

// mix derives a further random value (the finaliser of SplitMix64).
func mix(random, salt uint64) uint64 {
	z := random + (salt+1)*0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
