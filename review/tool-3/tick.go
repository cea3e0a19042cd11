package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["tick"] = playTick }

const (
	tickWorkers = 8
	// tickCallers is the number of callers of each kind. All of one kind send at the same moment, every tickPace.
	tickCallers = 32
	tickPace    = time.Second
	tickWork    = 60 * time.Millisecond
	// tickRunning is the number of requests at which the worker is at work when it crashes.
	tickRunning = 4
	tickBefore  = 5
	tickAfter   = 55
)

// playTick lets callers ask for the status of something every second, as programs do that are started by the clock. One worker
// crashes, once.
func playTick(out *record, trouble bool) (bool, error) {
	c, err := newCluster(out, machineMemoryMB)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(2, configTwo); err != nil {
		return false, err
	}
	var workers []*worker
	for i := range 2 * tickWorkers {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "one", zone: zones[i%len(zones)], slots: 6}
		if i >= tickWorkers {
			w.service = "two"
		}
		w.answer = func(o http.ResponseWriter, r *http.Request) {
			time.Sleep(tickWork)
			o.Header().Set(headerSignature, "sig."+w.id)
			fmt.Fprint(o, "answer to ", r.Header.Get(headerAttempt))
		}
		if err := c.startWorker(w, 101+i); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	for _, path := range []string{"/one/1", "/two/1"} {
		for g := 1; g <= 2; g++ {
			if err := c.awaitServed(g, "a.example", path, 20*time.Second); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(4 * time.Second)
	kinds := map[string]*tally{"one": {}, "two": {}}
	var callers sync.WaitGroup
	pace := time.NewTicker(tickPace)
	defer pace.Stop()
	crashed := !trouble
	for round := range tickBefore + tickAfter {
		<-pace.C
		for kind, t := range kinds {
			for n := range tickCallers {
				callers.Go(func() {
					id := fmt.Sprintf("%s-%d-%d", kind, round, n)
					status, text := c.ordinaryRequest(1+n%2, "GET", "a.example", "/"+kind+"/status", id, 1200*time.Millisecond)
					t.sent.Add(1)
					if status == http.StatusOK {
						t.served.Add(1)
					}
					out.add("%s: %d %s", id, status, reason(status, text))
				})
			}
		}
		for end := time.Now().Add(tickPace / 2); !crashed && round >= tickBefore && time.Now().Before(end); time.Sleep(time.Millisecond) {
			if n := workers[0].running.Load(); n >= tickRunning {
				workers[0].crash()
				out.add("worker i-1 of service one crashes at %d requests; it is lost for good", n)
				crashed = true
			}
		}
	}
	callers.Wait()
	if !crashed {
		return false, fmt.Errorf("worker i-1 was never at work on %d requests", tickRunning)
	}
	one, two := kinds["one"], kinds["two"]
	total := float64(one.served.Load()+two.served.Load()) / float64(one.sent.Load()+two.sent.Load())
	out.add("runs at each worker: %s", runsAt(workers))
	out.add("served: one %.3f of %d, two %.3f of %d, all %.3f", one.share(), one.sent.Load(), two.share(), two.sent.Load(), total)
	fmt.Printf("served: one %.3f, two %.3f, all %.3f\n", one.share(), two.share(), total)
	return one.share() < minStarvedShare*total, nil
}
