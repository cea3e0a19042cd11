package main

import (
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["route"] = encodedSlash
	cases["path"] = changedPath
	cases["door"] = readyAtTheDoor
}

// ran is what workers have run, by attempt.
type ran struct {
	mu   sync.Mutex
	runs map[string][]string
}

// worker returns the function with which a worker runs a request: it answers with its service and the target as it came.
func (l *ran) worker(w *worker, out http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	if l.runs == nil {
		l.runs = map[string][]string{}
	}
	id, what := r.Header.Get(headerAttempt), w.service+" "+r.Method+" "+r.RequestURI
	l.runs[id] = append(l.runs[id], what)
	l.mu.Unlock()
	w.c.note("worker of %s runs attempt %s: %s %s", w.service, id, r.Method, r.RequestURI)
	w.answer(out, what)
}

func (l *ran) of(attempt string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[attempt]
}

// startSmall starts three control replicas, one gateway and one worker for each service, and waits until all serve.
func (c *cluster) startSmall(l *ran, config string, probe map[string]string) *gateway {
	c.startControl(3)
	g := c.startGateway(zones[0])
	c.putConfig([]int{0, 1, 2}, config)
	for service := range probe {
		c.startWorker(service, zones[0], 2, l.worker)
	}
	c.awaitReady(g)
	for service, target := range probe {
		eventually(configTimeout, service+" is served", func() bool {
			return send(g, "GET", "a.example", target, time.Second).status == http.StatusOK
		})
	}
	return g
}

// encodedSlash sends requests whose path begins with a shorter prefix only: a slash of the longer one is encoded.
func encodedSlash(c *cluster, trouble bool) bool {
	l := &ran{}
	g := c.startSmall(l, configText(1, []routeSpec{
		{Name: "r-all", Hostname: "a.example", PathPrefix: "/x/", Type: "safe", TimeoutMs: 1500, TargetMs: 400, Service: "catalogue", MaxAttempts: 2},
		{Name: "r-deposits", Hostname: "a.example", PathPrefix: "/x/deposits/", Type: "safe", TimeoutMs: 1500, TargetMs: 400, Service: "ledger", MaxAttempts: 2},
	}, "catalogue", "ledger"), map[string]string{"catalogue": "/x/1", "ledger": "/x/deposits/1"})
	target := "/x/deposits-2f-1"
	if trouble {
		target = "/x/deposits%2f1"
	}
	held := true
	for range 10 {
		res := send(g, "GET", "a.example", target, time.Second)
		c.note("client: GET %s: %v", target, res)
		for _, what := range l.of(res.attempt) {
			if what != "catalogue GET "+target {
				c.note("ROUTE: the path begins with /x/ and not with /x/deposits/, so that only catalogue may run it; it ran: %s", what)
				held = false
			}
		}
	}
	return held
}

// changedPath sends requests with characters in the path that many clients do not encode.
func changedPath(c *cluster, trouble bool) bool {
	l := &ran{}
	g := c.startSmall(l, configText(1, []routeSpec{
		{Name: "r-all", Hostname: "a.example", PathPrefix: "/x/", Type: "safe", TimeoutMs: 1500, TargetMs: 400, Service: "catalogue", MaxAttempts: 2},
	}, "catalogue"), map[string]string{"catalogue": "/x/1"})
	targets := []string{"/x/lot,7;8=9", "/x/%7b7%7d", "/x/a[7]"}
	if trouble {
		targets = append(targets, "/x/lot|7", "/x/{7}", "/x/lot^7", "/x/`7", "/x/\"7\"")
	}
	held := true
	for _, target := range targets {
		res := send(g, "GET", "a.example", target, time.Second)
		c.note("client: GET %s: %v", target, res)
		for _, what := range l.of(res.attempt) {
			if what != "catalogue GET "+target {
				c.note("UNASKED: sent %s, it ran: %s", target, what)
				held = false
			}
		}
	}
	return held
}

// readyAtTheDoor sends requests for the path /readyz of a route, at the address for clients.
func readyAtTheDoor(c *cluster, trouble bool) bool {
	l := &ran{}
	g := c.startSmall(l, configText(1, []routeSpec{
		{Name: "r-all", Hostname: "a.example", PathPrefix: "/", Type: "safe", TimeoutMs: 1500, TargetMs: 400, Service: "catalogue", MaxAttempts: 2},
	}, "catalogue"), map[string]string{"catalogue": "/1"})
	target := "/ready"
	if trouble {
		target = "/readyz"
	}
	held := true
	for range 10 {
		res := send(g, "GET", "a.example", target, time.Second)
		c.note("client: GET %s: %v", target, res)
		if res.status/100 == 2 && (res.signature == "" || len(l.of(res.attempt)) == 0) {
			c.note("MIXED: a success without a signature; no worker ran the request")
			held = false
		}
	}
	return held
}
