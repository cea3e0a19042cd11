package main

import (
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["poison"] = poisonRequest }

const (
	// poisonRetries is the number of retries of a request that the rule allows after contactAfterCrash.
	poisonRetries     = 3
	contactAfterCrash = 3 * time.Second
	// workerAway is how long a worker is away after a crash.
	workerAway = 2 * time.Second
)

// poisonRequest sends a request that crashes each worker that begins to run it, again and again.
func poisonRequest(c *cluster, trouble bool) bool {
	maxAttempts := 3
	if n, err := strconv.Atoi(os.Getenv("MAX_ATTEMPTS")); err == nil {
		maxAttempts = n
	}
	var mu sync.Mutex
	var crashes []time.Time
	arrivals := map[string][]time.Time{}
	run := func(w *worker, out http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.RequestURI, "/poison") {
			w.running.Add(1)
			time.Sleep(50 * time.Millisecond)
			w.running.Add(-1)
			w.answer(out, "ok")
			return
		}
		mu.Lock()
		crashes = append(crashes, time.Now())
		id := r.Header.Get(headerAttempt)
		arrivals[id] = append(arrivals[id], time.Now())
		n := len(crashes)
		mu.Unlock()
		c.note("worker at %s begins to run %s, attempt %s, and crashes (crash %d)", w.address, r.RequestURI, id, n)
		w.crash()
		time.AfterFunc(workerAway, w.start)
	}
	c.startControl(3)
	var g []*gateway
	for _, zone := range []string{"erie-a", "superior-a", "ontario-a", "erie-b"} {
		g = append(g, c.startGateway(zone))
	}
	c.putConfig([]int{0, 1, 2}, configText(1, []routeSpec{
		{Name: "r", Hostname: "a.example", PathPrefix: "/x/", Type: "safe", TimeoutMs: 1500, TargetMs: 400, Service: "catalogue", MaxAttempts: maxAttempts},
	}, "catalogue"))
	for i := range 13 {
		c.startWorker("catalogue", zones[i%len(zones)], 2, run)
	}
	for _, gw := range g {
		c.awaitReady(gw)
		eventually(configTimeout, "a request is served", func() bool { return send(gw, "GET", "a.example", "/x/1", time.Second).status == http.StatusOK })
	}
	// Ordinary traffic: it also earns the retry budget.
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	var served, failed int
	for i := range 8 {
		traffic.Go(func() {
			for {
				res := send(g[i%len(g)], "GET", "a.example", "/x/"+strconv.Itoa(i), 2*time.Second)
				mu.Lock()
				if res.status == http.StatusOK {
					served++
				} else {
					failed++
				}
				mu.Unlock()
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	target := "/x/ordinary"
	if trouble {
		target = "/x/poison"
	}
	for i := range 18 {
		at := g[i%len(g)]
		res := send(at, "GET", "a.example", target, 2*time.Second)
		c.note("client: GET %s at %s: %v", target, at.name, res)
		time.Sleep(2 * time.Second)
	}
	close(stop)
	traffic.Wait()
	mu.Lock()
	defer mu.Unlock()
	c.note("ordinary requests: %d served, %d not", served, failed)
	c.note("crashes: %d", len(crashes))
	if len(crashes) < 3 {
		return true
	}
	late := 0
	for _, times := range arrivals {
		for _, at := range times {
			if at.Sub(crashes[2]) > contactAfterCrash {
				late++
				break
			}
		}
	}
	c.note("BUDGET: %d retries reached workers later than %s after the third crash; %d are allowed", late, contactAfterCrash, poisonRetries)
	return late <= poisonRetries
}
