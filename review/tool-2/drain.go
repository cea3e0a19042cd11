package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = silentWorker }

const (
	// workTime is the work of a request, and queueLength the number of requests that a worker queues.
	workTime    = 750 * time.Millisecond
	queueLength = 3
	// maxRounds limits the rounds of requests until a worker can't queue one.
	maxRounds = 12
)

// silentWorker stops a gateway by SIGTERM while a request waits at a worker that never responds, because it could not queue
// the request.
func silentWorker(c *cluster, trouble bool) bool {
	var mu sync.Mutex
	silent := map[string]bool{}
	isSilent := func(attempt string) bool {
		mu.Lock()
		defer mu.Unlock()
		return silent[attempt]
	}
	slots := make(chan struct{}, 3)
	run := func(w *worker, out http.ResponseWriter, r *http.Request) {
		defer w.running.Add(-1)
		if w.running.Add(1) > int64(cap(slots)+queueLength) {
			id := r.Header.Get(headerAttempt)
			mu.Lock()
			silent[id] = true
			mu.Unlock()
			c.note("the worker cannot queue attempt %s and never responds to it", id)
			<-r.Context().Done()
			c.note("the worker: the connection of attempt %s was closed", id)
			panic(http.ErrAbortHandler)
		}
		slots <- struct{}{}
		time.Sleep(workTime)
		<-slots
		w.answer(out, "ok")
	}
	c.startControl(3)
	gateways := []*gateway{c.startGateway(zones[0]), c.startGateway(zones[3])}
	c.putConfig([]int{0, 1, 2}, configText(1, []routeSpec{
		{Name: "r", Hostname: "a.example", PathPrefix: "/x/", Type: "unsafe", TimeoutMs: 8000, TargetMs: 2000, Service: "archive-reader", MaxAttempts: 2},
	}, "archive-reader"))
	c.startWorker("archive-reader", zones[0], cap(slots), run)
	for _, g := range gateways {
		c.awaitReady(g)
		eventually(configTimeout, "a request is served", func() bool { return send(g, "GET", "a.example", "/x/1", 2*time.Second).status == http.StatusOK })
	}
	time.Sleep(4 * time.Second)

	// Requests come in rounds until the worker is silent to one of them.
	var group sync.WaitGroup
	var results []result
	var stopped *gateway
	for range maxRounds {
		sentBy := map[string]*gateway{}
		for i := range 20 {
			g := gateways[i%2]
			id := newAttempt()
			sentBy[id] = g
			group.Go(func() {
				res := sendAs(g, id, "POST", "a.example", "/x/1", 15*time.Second)
				c.note("client at %s: %v", g.name, res)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
			})
		}
		time.Sleep(300 * time.Millisecond)
		for id, g := range sentBy {
			if isSilent(id) {
				stopped = g
			}
		}
		if stopped != nil {
			break
		}
		time.Sleep(3 * time.Second)
	}
	if stopped == nil {
		panic("the worker was never too full")
	}
	if trouble {
		c.note("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
		<-stopped.done
		c.note("%s has ended", stopped.name)
	}
	group.Wait()
	held := true
	for _, res := range results {
		if res.status == 0 && isSilent(res.attempt) {
			c.note("LOST: attempt %s was read and passed on to a worker; its connection ended without an answer after %s, before its timeout of 8 s", res.attempt, res.took.Round(time.Millisecond))
			held = false
		}
	}
	return held
}
