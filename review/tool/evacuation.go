package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	evacMs    = 5000 * time.Millisecond
	contactMs = 3000 * time.Millisecond
	// frozenFor is the length of node_freeze on core in the list of troubles of kerdrean-gw.
	frozenFor = 4 * time.Second
	evacuated = "rennes-a"
	// evacuationRounds is how often the sequence is played. Whether the frozen replica's order gets through depends on a race
	// in it.
	evacuationRounds = 7
)

// staleEvacuationEnd: the operator ends an evacuation and begins it again. The replica that gets the end first is frozen for
// some seconds; the operator gets no response there within a second and sends the end to another replica.
func staleEvacuationEnd(e *caseEnv) string {
	r := e.record
	c := newCluster(e.binary, 3, 3, r)
	c.startAll()
	c.order(c.controls[0], "call=config.put", configOne)
	rs, h := &runs{}, &history{}
	var workers []*worker
	for i, z := range []string{"quimper-a", "quimper-a", "rennes-a", "rennes-a", "vannes-a", "vannes-a"} {
		w := c.newWorker(rs, fmt.Sprintf("i-%d", i+1), "one", z)
		w.start()
		workers = append(workers, w)
	}
	for _, w := range workers {
		<-w.acked
	}
	c.awaitReady(20 * time.Second)
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	clients := c.traffic(h, 12, 20*time.Millisecond, "GET", "a.example", "/x/1", stop)
	time.Sleep(2 * time.Second)
	broken := ""
	for round := 1; round <= evacuationRounds && broken == ""; round++ {
		broken = evacuationRound(e, c, rs, round)
	}
	close(stop)
	clients.Wait()
	served := 0
	for _, a := range h.all() {
		if a.status == 200 {
			served++
		}
	}
	r.logf("%d attempts, %d answered with 200", len(h.all()), served)
	r.dump(h, rs)
	return broken
}

// evacuationRound plays the sequence once, each time with another frozen replica.
func evacuationRound(e *caseEnv, c *cluster, rs *runs, round int) string {
	r := c.record
	leader := c.leader()
	var followers []*node
	for _, n := range c.controls {
		if n != leader {
			followers = append(followers, n)
		}
	}
	frozen, other := followers[round%2], followers[1-round%2]
	r.logf("round %d: %s leads", round, leader.name)
	before := len(runsIn(rs, r.now()-time.Second, r.now()))
	c.order(leader, "call=evacuate.start&of="+evacuated, "")
	time.Sleep(time.Second)
	frozenAt := time.Now()
	if e.trouble {
		c.signal(frozen, syscall.SIGSTOP)
	}
	time.Sleep(100 * time.Millisecond)
	c.order(frozen, "call=evacuate.end&of="+evacuated, "")
	time.Sleep(500 * time.Millisecond)
	acked := c.order(other, "call=evacuate.start&of="+evacuated, "")
	time.Sleep(time.Until(frozenAt.Add(frozenFor)))
	if e.trouble {
		c.signal(frozen, syscall.SIGCONT)
	}
	// Machines are in touch again contactMs after the replica woke.
	from := max(acked+evacMs, r.now()+contactMs)
	until := from + 3*time.Second
	time.Sleep(until - r.now())
	late := runsIn(rs, from, until)
	for _, x := range late[:min(len(late), 10)] {
		r.logf("at %.3f worker %s in %s ran %s", x.at.Seconds(), x.worker.id, evacuated, x.attempt)
	}
	r.logf("round %d: %d runs in %s in the second before, %d between %.1f s and %.1f s", round, before, evacuated, len(late), from.Seconds(), until.Seconds())
	if before == 0 && round == 1 {
		cannotRun("no request reached %s at all", evacuated)
	}
	if len(late) > 0 {
		return fmt.Sprintf("EVAC: %d requests ran in %s between %.1f s and %.1f s, although its evacuation was acknowledged at %.1f s and not taken back since", len(late), evacuated, from.Seconds(), until.Seconds(), acked.Seconds())
	}
	c.order(leader, "call=evacuate.end&of="+evacuated, "")
	time.Sleep(3 * time.Second) // requests return to the zone
	return ""
}

// runsIn returns what ran in the evacuated zone in a span of time.
func runsIn(rs *runs, from, until time.Duration) (list []run) {
	for _, x := range rs.all() {
		if x.worker.zone == evacuated && x.at > from && x.at < until {
			list = append(list, x)
		}
	}
	return list
}
