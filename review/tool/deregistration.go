package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	drainMs = 2000 * time.Millisecond
	// darkFor is how long the machine is without power.
	darkFor = 1500 * time.Millisecond
	// servesOn is how long the worker continues to serve after the acknowledgement of its deregistration.
	servesOn = 8 * time.Second
)

// deregistrationAtEmptyReplica: a replica has lost its disk and starts again with an empty folder. A worker that leaves
// without a word before sends its deregistration there.
func deregistrationAtEmptyReplica(e *caseEnv) string {
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
	stop := make(chan struct{})
	clients := c.traffic(h, 12, 20*time.Millisecond, "GET", "a.example", "/x/1", stop)
	time.Sleep(6 * time.Second)

	leader := c.leader()
	var lost *node
	for _, n := range c.controls {
		if n != leader {
			lost = n
		}
	}
	r.logf("%s leads, %s loses its disk", leader.name, lost.name)
	if e.trouble {
		c.signal(lost, syscall.SIGKILL)
		<-lost.done
		if err := os.RemoveAll(filepath.Join(c.folder, lost.name+"-data")); err != nil {
			cannotRun("%v", err)
		}
		time.Sleep(darkFor)
		c.writeControl(lost, false)
		c.start(lost, "control")
	}
	back := r.now()
	awaitListener(c.controlAddress(lost))

	leaving := workers[0]
	close(leaving.stop) // no further heartbeat
	acked := c.deregister(leaving, lost)
	time.Sleep(acked + servesOn - r.now())
	close(stop)
	clients.Wait()
	r.dump(h, rs)

	// Machines are in touch again contactMs after the start of the replica.
	from, until := max(acked+drainMs, back+contactMs), acked+servesOn
	before, late := 0, 0
	for _, x := range rs.all() {
		switch {
		case x.worker != leaving:
		case x.at < acked:
			before++
		case x.at > from && x.at < until:
			if late++; late <= 10 {
				r.logf("at %.3f worker %s ran %s", x.at.Seconds(), leaving.id, x.attempt)
			}
		}
	}
	r.logf("%d attempts; %s ran %d requests before, %d between %.1f s and %.1f s", len(h.all()), leaving.id, before, late, from.Seconds(), until.Seconds())
	if before == 0 {
		cannotRun("no request reached the worker at all")
	}
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached worker %s between %.1f s and %.1f s, although its deregistration was acknowledged at %.1f s", late, leaving.id, from.Seconds(), until.Seconds(), acked.Seconds())
	}
	return ""
}

// deregister sends the deregistration of a worker to the given replica first, then to the others, until it is acknowledged.
func (c *cluster) deregister(w *worker, first *node) time.Duration {
	at := 0
	for i, n := range c.controls {
		if n == first {
			at = i
		}
	}
	for try := range 30 {
		n := c.controls[(at+try)%len(c.controls)]
		status, text := c.callOnce(n, "call=instances.deregister&of="+w.id, "")
		c.record.logf("worker %s deregisters at %s: %d %s", w.id, n.name, status, text)
		if status == http.StatusOK {
			return c.record.now()
		}
	}
	cannotRun("the deregistration was never acknowledged")
	return 0
}

// awaitListener waits until an address accepts connections.
func awaitListener(address string) {
	for range 1000 {
		if conn, err := net.Dial("tcp", address); err == nil {
			_ = conn.Close()
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	cannotRun("%s does not listen", address)
}
