package control

import "time"

// reader is called once, when its round was confirmed or given up.
type reader func(err error)

// readRound is a read index under way, with the readers that arrived before it started.
type readRound struct {
	id      uint64
	started time.Time
	readers []reader
	// index is zero until a quorum has confirmed the round.
	index uint64
}

// read calls done once a quorum has confirmed, after this call, that the applied state is current.
func (g *group) read(done reader) {
	if len(g.waiting) == 0 {
		g.waitingSince = time.Now()
	}
	g.waiting = append(g.waiting, done)
	g.startRead()
}

// startRead starts a round for the readers that wait. While no leader is known they go on waiting, for as long as a round
// may take: after a restart of all replicas an election comes first, and asking another replica would not help.
func (g *group) startRead() {
	if g.running != nil || len(g.waiting) == 0 {
		return
	}
	round := &readRound{id: g.nextID, started: time.Now(), readers: g.waiting}
	if err := g.node.ReadIndex(round.id); err != nil {
		if time.Since(g.waitingSince) > readTimeout {
			g.waiting = nil
			g.end(round, &StaleError{Group: g.id})
		}
		return
	}
	g.nextID++
	g.waiting = nil
	g.running = round
}

func (g *group) end(r *readRound, err error) {
	g.counters.countRead(err)
	for _, done := range r.readers {
		done(err)
	}
}

func (g *group) expireRead(now time.Time) {
	if g.running != nil && now.Sub(g.running.started) > readTimeout {
		g.end(g.running, &StaleError{Group: g.id})
		g.running = nil
	}
	g.startRead()
}

func (g *group) finishRead() {
	if g.running == nil || g.running.index == 0 || g.applied < g.running.index {
		return
	}
	g.end(g.running, nil)
	g.running = nil
	g.startRead()
}
