package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["ready"] = playReady }

// configAll adds a route that covers every path of another host.
var configAll = strings.Replace(strings.Replace(configOne, `"version":1`, `"version":2`, 1), `"routes":[`,
	`"routes":[{"name":"all","hostname":"b.example","path_prefix":"/","type":"safe","timeout_ms":2000,"target_latency_ms":400,"priority":1,"service":"one","max_attempts":2,"allowed_regions":[]},`, 1)

// playReady adds a route for all paths of a host and sends requests for some of them.
func playReady(out *record, trouble bool) (bool, error) {
	c, err := newCluster(out, machineMemoryMB)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(1, configOne); err != nil {
		return false, err
	}
	w := &worker{id: "i-1", service: "one", zone: "quimper-a", slots: 6, work: 50 * time.Millisecond}
	if err := c.startWorker(w, 101); err != nil {
		return false, err
	}
	if err := c.awaitServed(1, "a.example", "/x/1", 20*time.Second); err != nil {
		return false, err
	}
	host, paths := "a.example", []string{"/x/1", "/x/ready", "/x/readyz"}
	if trouble {
		if err := c.order("config.put", "", configAll, 5*time.Second); err != nil {
			return false, err
		}
		time.Sleep(3 * time.Second) // config_apply_ms is 2,000
		host, paths = "b.example", []string{"/1", "/ready", "/readyz"}
	}
	broken := false
	for i, path := range paths {
		id := fmt.Sprintf("path-%d", i)
		status, text := c.ordinaryRequest(1, "GET", host, path, id, 2*time.Second)
		foreign := status/100 == 2 && text != "answer to "+id
		broken = broken || foreign
		out.add("client sends GET %s to host %s as %s and gets %d %q; the worker ran it %d times; foreign answer: %t", path, host, id, status, text, w.runsOf(id), foreign)
	}
	return broken, nil
}
