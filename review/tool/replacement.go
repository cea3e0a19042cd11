package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	ackMs = 4000 * time.Millisecond
	// replacedAfter is the x of replace_core: how much later the empty machine comes.
	replacedAfter = 2 * time.Second
	// calmTime is the calm after a replacement, several times catch_up_s.
	calmTime = 25 * time.Second
	recoverS = 15 * time.Second
)

// configVersion returns configOne with another version.
func configVersion(version int) string {
	return strings.Replace(configOne, `"version":1,`, fmt.Sprintf(`"version":%d,`, version), 1)
}

// replaceCore replaces a machine of the core: it is gone for good, and an empty one comes later at another address.
func (c *cluster) replaceCore(n *node) *node {
	c.record.logf("%s is gone for good", n.name)
	c.signal(n, syscall.SIGKILL)
	<-n.done
	fresh := &node{name: n.name + "-new", ip: fmt.Sprintf("%s.%d", c.base, 31+len(c.controls)), zone: n.zone}
	time.Sleep(replacedAfter)
	for i, old := range c.controls {
		if old == n {
			c.controls[i] = fresh // the operator's list and the seeds name the new machine
		}
	}
	c.writeControl(fresh, false)
	c.start(fresh, "control")
	return fresh
}

// follower returns a replica that does not lead, other than the given one.
func (c *cluster) follower(not *node) *node {
	leader := c.leader()
	for _, n := range c.controls {
		if n != leader && n != not {
			return n
		}
	}
	return nil
}

// tryOrder sends an order to the replicas in turn for some time. It returns whether it was acknowledged.
func (c *cluster) tryOrder(query, body string, limit time.Duration) (string, bool) {
	end := time.Now().Add(limit)
	backoff := 100 * time.Millisecond
	counts := map[string]int{}
	for i := 0; time.Now().Before(end); i++ {
		n := c.controls[i%len(c.controls)]
		status, text := c.callOnce(n, query, body)
		c.record.logf("operator sends %s to %s: %d %.60s", query, n.name, status, text)
		counts[fmt.Sprintf("%s:%d", n.name, status)]++
		if status == http.StatusOK {
			c.record.logf("operator: %s acknowledged by %s", query, n.name)
			return text, true
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	c.record.logf("operator: %s had no acknowledgement in %v; answers by machine and status (0: none): %v", query, limit, counts)
	return "", false
}

// diskLossAfterReplacement: a machine of a core of three is replaced. Much later, as the final fault, another one loses its
// disk right after a configuration was acknowledged.
func diskLossAfterReplacement(e *caseEnv) string {
	r := e.record
	c := newCluster(e.binary, 3, 3, r)
	c.startAll()
	c.order(c.controls[0], "call=config.put", configVersion(1))
	c.awaitReady(20 * time.Second)
	time.Sleep(10 * time.Second) // every replica has become a voter
	var fresh *node
	if e.plays("replacement") {
		fresh = c.replaceCore(c.follower(nil))
	}
	time.Sleep(calmTime)
	r.logf("%v of calm have passed", calmTime)
	c.order(c.controls[1], "call=config.put", configVersion(2))
	if e.plays("loss") {
		lost := c.follower(fresh)
		r.logf("%s loses its disk", lost.name)
		c.signal(lost, syscall.SIGKILL)
		<-lost.done
		if err := os.RemoveAll(filepath.Join(c.folder, lost.name+"-data")); err != nil {
			cannotRun("%v", err)
		}
		time.Sleep(darkFor)
		c.writeControl(lost, false)
		c.start(lost, "control")
	}
	time.Sleep(recoverS)
	text, read := c.tryOrder("call=config.get", "", 15*time.Second)
	_, put := c.tryOrder("call=config.put", configVersion(3), 15*time.Second)
	switch {
	case read && !strings.Contains(text, `"version":2,`):
		return "CONFIG: the configuration that is read back is not the acknowledged one: " + text[:min(40, len(text))]
	case !read:
		return fmt.Sprintf("CONFIG: the acknowledged configuration does not come back in the 15 s that begin 15 s after the machine is back; a new one is acknowledged: %v", put)
	case !put:
		return "no new configuration is acknowledged"
	}
	return ""
}

// regionLossAfterReplacement: a machine of a core of five is replaced. Much later one region loses power.
func regionLossAfterReplacement(e *caseEnv) string {
	r := e.record
	c := newCluster(e.binary, 5, 3, r)
	c.startAll()
	c.order(c.controls[0], "call=config.put", configVersion(1))
	c.awaitReady(20 * time.Second)
	time.Sleep(10 * time.Second) // every replica has become a voter
	rs, h := &runs{}, &history{}
	for i, z := range []string{"rennes-a", "rennes-a", "vannes-a", "vannes-a"} {
		w := c.newWorker(rs, fmt.Sprintf("i-%d", i+1), "one", z)
		w.start()
		<-w.acked
	}
	stop := make(chan struct{})
	clients := c.traffic(h, 6, 100*time.Millisecond, "GET", "a.example", "/x/1", stop)
	if e.plays("replacement") {
		c.replaceCore(c.controls[4])
	}
	time.Sleep(calmTime)
	r.logf("%v of calm have passed", calmTime)
	c.order(c.controls[1], "call=config.put", configVersion(2))
	if e.plays("loss") {
		for _, n := range append(append([]*node{}, c.controls...), c.gateways...) {
			if zones[n.zone] == "finistere" {
				c.signal(n, syscall.SIGKILL)
				<-n.done
			}
		}
		r.logf("finistere has no power")
	}
	lostAt := r.now()
	time.Sleep(contactMs)
	_, ok := c.tryOrder("call=config.put", configVersion(3), 20*time.Second)
	time.Sleep(lostAt + 42*time.Second - r.now())
	close(stop)
	clients.Wait()
	r.dump(h, rs)
	statuses := map[int]int{}
	for _, a := range h.all() {
		if a.sent > lostAt+37*time.Second && a.gateway != c.gateways[0].name {
			statuses[a.status]++
		}
	}
	r.logf("requests through the gateways of the other regions from 37 to 42 s after the loss, by status: %v", statuses)
	if !ok {
		return fmt.Sprintf("Acks: with one region without power, a valid configuration had no acknowledgement in 20 s, %v allowed; from 37 to 42 s after the loss, requests at the gateways of the other regions got (by status) %v", ackMs, statuses)
	}
	return ""
}
