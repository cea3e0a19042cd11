package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["leave"] = lateDeregistration }

const (
	// leaveRounds limits the rounds, each with an untouched deployment.
	leaveRounds = 7
	// freezeTime is how long a replica is frozen, and drainTime how long a worker serves after its deregistration.
	freezeTime = 4500 * time.Millisecond
	drainTime  = 2 * time.Second
	// calmTime is the time after the freeze in which requests are counted.
	calmTime = 30 * time.Second
)

// lateDeregistration lets a worker deregister at a frozen replica, then at another one, and start again under its identifier
// before the first replica wakes up.
func lateDeregistration(c *cluster, trouble bool) bool {
	for round := range leaveRounds {
		c.note("round %d", round+1)
		if !c.playLeave(round, trouble) {
			return false
		}
		if !trouble || time.Since(c.start) > 60*time.Second {
			return true
		}
		c.reset()
	}
	return true
}

func (c *cluster) playLeave(round int, trouble bool) bool {
	work := func(w *worker, out http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		w.answer(out, "ok")
	}
	c.startControl(3)
	g := c.startGateway(zones[0])
	c.putConfig([]int{0, 1, 2}, configText(1, []routeSpec{
		{Name: "r-1", Hostname: "a.example", PathPrefix: "/lookup/", Type: "safe", TimeoutMs: 1500, TargetMs: 400, Service: "catalogue", MaxAttempts: 2},
		{Name: "r-2", Hostname: "a.example", PathPrefix: "/reserve/", Type: "unsafe", TimeoutMs: 2000, TargetMs: 500, Service: "kilnbook", MaxAttempts: 2},
	}, "catalogue", "kilnbook"))
	c.startWorker("catalogue", zones[0], 2, work)
	w := c.startWorker("kilnbook", zones[0], 2, work)
	c.awaitReady(g)
	for _, target := range []string{"/lookup/1", "/reserve/1"} {
		eventually(configTimeout, target+" is served", func() bool { return send(g, "GET", "a.example", target, time.Second).status == http.StatusOK })
	}
	eventually(configTimeout, "three voters", func() bool { return c.voters(0) == 3 && c.voters(1) == 3 && c.voters(2) == 3 })
	time.Sleep(time.Second)

	frozen := c.replicas[(round+1)%3]
	if c.leads(frozen.index) {
		frozen = c.replicas[(round+2)%3]
	}
	if trouble {
		frozen.signal(syscall.SIGSTOP)
		c.note("core-%d is frozen", frozen.index)
	}
	began := time.Now()
	w.stopHeartbeats()
	acknowledged := false
	for i := range 6 {
		to := (frozen.index + i) % 3
		status, text := c.call(to, "call=instances.deregister&of="+w.id, "")
		c.note("worker %s: deregistration at core-%d: %d %.60s", w.id, to, status, text)
		if acknowledged = status/100 == 2; acknowledged {
			break
		}
	}
	if !acknowledged {
		panic("no replica acknowledged the deregistration")
	}
	time.Sleep(drainTime)
	w.end()
	c.note("worker %s has ended", w.id)
	time.Sleep(200 * time.Millisecond)
	w.startAs(w.id)
	eventually(5*time.Second, "the worker is used again", func() bool { return send(g, "POST", "a.example", "/reserve/1", time.Second).status == http.StatusOK })
	c.note("worker %s has started again, has registered and serves", w.id)
	time.Sleep(time.Until(began.Add(freezeTime)))
	if trouble {
		frozen.signal(syscall.SIGCONT)
		c.note("core-%d wakes up", frozen.index)
	}
	time.Sleep(3 * time.Second)
	if status := send(g, "POST", "a.example", "/reserve/1", time.Second).status; status == http.StatusOK && trouble {
		c.note("the worker is still used")
		return true
	}
	return c.countServed(g, w)
}

// countServed sends requests of both kinds for a while, and reports whether each is served a quarter as often as all or more.
func (c *cluster) countServed(g *gateway, w *worker) bool {
	targets := []string{"/lookup/", "/reserve/"}
	var sent, served [2]atomic.Int64
	var clients sync.WaitGroup
	beats := w.beats.Load()
	end := time.Now().Add(calmTime)
	for kind, target := range targets {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				sent[kind].Add(1)
				res := send(g, "POST", "a.example", target+strconv.Itoa(i), 2*time.Second)
				if res.status == http.StatusOK {
					served[kind].Add(1)
				} else if i%50 == 0 {
					c.note("client: %s%d: %v", target, i, res)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	all := float64(served[0].Load()+served[1].Load()) / float64(sent[0].Load()+sent[1].Load())
	c.note("%d heartbeats of worker %s were acknowledged meanwhile", w.beats.Load()-beats, w.id)
	held := true
	for kind, target := range targets {
		share := float64(served[kind].Load()) / float64(sent[kind].Load())
		c.note("%s: %d of %d served; all: %s", target, served[kind].Load(), sent[kind].Load(), fmt.Sprintf("%.2f", all))
		if share < all/4 {
			c.note("Starved: %s is served less than a quarter as often as all requests, though its worker runs and reports", target)
			held = false
		}
	}
	return held
}
