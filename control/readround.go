package control

import "time"

// readCallback is called once: with nil when its read round is confirmed, or with the error that ended the round.
type readCallback func(err error)

// readRound is a read index round in progress, with the reads that arrived before it started.
type readRound struct {
	id      uint64
	started time.Time
	readers []readCallback
	// index is zero until a quorum has confirmed the round.
	index uint64
}

// confirmRead calls done once a quorum has confirmed, after this call, that the applied state is current.
func (g *group) confirmRead(done readCallback) {
	if len(g.waitingReaders) == 0 {
		g.waitingSince = time.Now()
	}
	g.waitingReaders = append(g.waitingReaders, done)
	g.startReadRound()
}

// startReadRound starts a round for the waiting reads. While the node cannot start one because no leader is known, they
// keep waiting for up to readTimeout: after a restart of all replicas an election comes first, and asking another
// replica would not help.
func (g *group) startReadRound() {
	if g.activeRound != nil || len(g.waitingReaders) == 0 {
		return
	}
	round := &readRound{id: g.nextReadID, started: time.Now(), readers: g.waitingReaders}
	if err := g.node.ReadIndex(round.id); err != nil {
		if time.Since(g.waitingSince) > readTimeout {
			g.waitingReaders = nil
			g.endReadRound(round, &StaleError{Group: g.id})
		}
		return
	}
	g.nextReadID++
	g.waitingReaders = nil
	g.activeRound = round
}

func (g *group) endReadRound(r *readRound, err error) {
	g.counters.countRead(err)
	for _, done := range r.readers {
		done(err)
	}
}

func (g *group) expireReadRound(now time.Time) {
	if g.activeRound != nil && now.Sub(g.activeRound.started) > readTimeout {
		g.endReadRound(g.activeRound, &StaleError{Group: g.id})
		g.activeRound = nil
	}
	g.startReadRound()
}

func (g *group) finishReadRound() {
	if g.activeRound == nil || g.activeRound.index == 0 || g.applied < g.activeRound.index {
		return
	}
	g.endReadRound(g.activeRound, nil)
	g.activeRound = nil
	g.startReadRound()
}
