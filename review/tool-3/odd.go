package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["odd"] = playOdd }

const (
	oddWorkers = 6
	oddCallers = 4
	// oddPace is the time between two requests of a caller of each service.
	oddPace   = 200 * time.Millisecond
	oddBefore = 5 * time.Second
	oddAfter  = 45 * time.Second
	// minStarvedShare is the part of the share of all requests that each kind must be served.
	minStarvedShare = 0.25
)

// configTwo has a route and a service for each of two kinds of request.
var configTwo = `{"version":1,"routes":[{"name":"r1","hostname":"a.example","path_prefix":"/one/","type":"safe","timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"one","max_attempts":2,"` + fieldRegions + `":[]},` +
	`{"name":"r2","hostname":"a.example","path_prefix":"/two/","type":"safe","timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"two","max_attempts":2,"` + fieldRegions + `":[]}],` +
	`"services":[{"name":"one","health_path":"/healthz","max_conns":220,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8},{"name":"two","health_path":"/healthz","max_conns":220,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// playOdd sends one heartbeat of another writer for the address of each worker of a service. It names a service that no
// configuration has. The workers go on as before.
func playOdd(out *record, trouble bool) (bool, error) {
	c, err := newCluster(out, machineMemoryMB)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(2, configTwo); err != nil {
		return false, err
	}
	var ones, all []*worker
	for i := range 2 * oddWorkers {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "one", zone: zones[i%len(zones)], slots: 6, work: 100 * time.Millisecond}
		if i >= oddWorkers {
			w.service = "two"
		} else {
			ones = append(ones, w)
		}
		if err := c.startWorker(w, 101+i); err != nil {
			return false, err
		}
		all = append(all, w)
	}
	for _, path := range []string{"/one/1", "/two/1"} {
		for g := 1; g <= 2; g++ {
			if err := c.awaitServed(g, "a.example", path, 20*time.Second); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(3 * time.Second)
	kinds := map[string]*tally{"one": {}, "two": {}}
	done := make(chan struct{})
	var callers sync.WaitGroup
	var number atomic.Int64
	for kind, t := range kinds {
		for n := range oddCallers {
			callers.Go(func() {
				for {
					select {
					case <-done:
						return
					case <-time.After(oddPace):
					}
					id := fmt.Sprintf("%s-%d", kind, number.Add(1))
					status, text := c.ordinaryRequest(1+n%2, "GET", "a.example", "/"+kind+"/"+id, id, 1200*time.Millisecond)
					t.sent.Add(1)
					if status == http.StatusOK {
						t.served.Add(1)
					}
					out.add("%s: %d %s", id, status, reason(status, text))
				}
			})
		}
	}
	time.Sleep(oddBefore)
	if trouble {
		for i, w := range ones {
			beat := map[string]any{
				"service": "agent-of-another-system", "address": w.address, "zone": w.zone, "version": "v1", "concurrency": 1, "state": "ready",
				fieldColdLeft: 0, "sequence": 1, "born": time.Now().UnixMilli(),
			}
			body, _ := json.Marshal(beat)
			status, text, err := c.call(1+i%replicaCount, heartbeatCall, fmt.Sprintf("agent-%d", i+1), body)
			out.add("another writer: heartbeat %s: %d %s %v", body, status, text, err)
		}
	}
	time.Sleep(oddAfter)
	close(done)
	callers.Wait()
	one, two := kinds["one"], kinds["two"]
	total := float64(one.served.Load()+two.served.Load()) / float64(one.sent.Load()+two.sent.Load())
	out.add("runs at each worker: %s", runsAt(all))
	for _, w := range ones {
		out.add("%s has sent %d heartbeats", w.id, w.sequence.Load())
	}
	out.add("served: one %.3f of %d, two %.3f of %d, all %.3f", one.share(), one.sent.Load(), two.share(), two.sent.Load(), total)
	fmt.Printf("served: one %.3f, two %.3f, all %.3f\n", one.share(), two.share(), total)
	return one.share() < minStarvedShare*total, nil
}
