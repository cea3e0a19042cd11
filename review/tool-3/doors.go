package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["doors"] = playDoors }

const (
	// doorsDescriptors is the number of descriptors of a front machine of the site, and doorsContact its contact_ms.
	doorsDescriptors = 2870
	doorsMemoryMB    = 136
	doorsContact     = 4 * time.Second
	// doorsCrowd is the number of clients that stop short of the end of their body.
	doorsCrowd = 2000
	// doorsCallers is the number of ordinary clients that try to connect.
	doorsCallers = 8
	doorsTime    = 12 * time.Second
)

// configDoors has the route of the slowest requests of the site.
var configDoors = `{"version":1,"routes":[{"name":"r","hostname":"a.example","path_prefix":"/x/","type":"safe","timeout_ms":8000,"target_latency_ms":2000,"priority":2,"service":"one","max_attempts":2,"` + fieldRegions + `":[]}],` +
	`"services":[{"name":"one","health_path":"/healthz","max_conns":1659,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// playDoors lets a crowd connect and send all but the end of a small body. Meanwhile ordinary clients try to connect, and the
// platform asks whether the machine is ready.
func playDoors(out *record, trouble bool) (bool, error) {
	c, err := newCluster(out, doorsMemoryMB)
	if err != nil {
		return false, err
	}
	defer c.stop()
	c.descriptors = doorsDescriptors
	if err := c.startAll(1, configDoors); err != nil {
		return false, err
	}
	w := &worker{id: "i-1", service: "one", zone: "quimper-a", slots: 6, work: 20 * time.Millisecond}
	if err := c.startWorker(w, 101); err != nil {
		return false, err
	}
	if err := c.awaitServed(1, "a.example", "/x/1", 20*time.Second); err != nil {
		return false, err
	}
	g := c.gateways[0]
	if trouble {
		conns := 0
		for range doorsCrowd {
			conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", g.ip, portFront), time.Second)
			if err != nil {
				continue
			}
			defer conn.Close()
			conns++
			fmt.Fprint(conn, "POST /x/crowd HTTP/1.1\r\nHost: a.example\r\n"+headerAttempt+": crowd\r\n"+headerDeadline+": 8000\r\nContent-Length: 100\r\n\r\n0123456789")
		}
		out.add("crowd: %d clients have connected and sent 10 of 100 bytes", conns)
	}
	start := time.Now()
	var lastTaken, longest, notReady atomic.Int64
	lastTaken.Store(start.UnixNano())
	var callers sync.WaitGroup
	for n := range doorsCallers {
		callers.Go(func() {
			time.Sleep(time.Duration(n) * 25 * time.Millisecond)
			for i := 0; time.Since(start) < doorsTime; i++ {
				id := fmt.Sprintf("o-%d-%d", n, i)
				status, text := c.ordinaryRequest(1, "GET", "a.example", "/x/1", id, 2*time.Second)
				out.add("%s: %d %s", id, status, reason(status, text))
				if now := time.Now().UnixNano(); status != 0 {
					gap := now - lastTaken.Swap(now)
					for old := longest.Load(); gap > old && !longest.CompareAndSwap(old, gap); old = longest.Load() {
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	callers.Go(func() { // the platform
		client := &http.Client{Timeout: time.Second}
		for ; time.Since(start) < doorsTime; time.Sleep(time.Second) {
			r, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", g.ip, portReady))
			if err != nil || r.StatusCode != http.StatusOK {
				notReady.Add(1)
				out.add("platform: front-1 is not ready: %v", err)
				continue
			}
			_ = r.Body.Close()
			out.add("platform: front-1 says that it is ready")
		}
	})
	callers.Wait()
	gap := max(time.Duration(longest.Load()), time.Since(time.Unix(0, lastTaken.Load())))
	out.add("longest time without a connection taken, while %d clients tried: %s; contact_ms %s; not ready %d times", doorsCallers, gap, doorsContact, notReady.Load())
	fmt.Printf("longest %.1f s, not ready %d times\n", gap.Seconds(), notReady.Load())
	return gap > doorsContact && notReady.Load() == 0, nil
}
