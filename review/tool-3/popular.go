package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["popular"] = playPopular }

const (
	popularWorkers = 8
	popularCallers = 48
	// popularPace is the time between two requests of one caller; popularWork is what each takes a worker.
	popularPace = 400 * time.Millisecond
	popularWork = 300 * time.Millisecond
	// crashRunning is the number of requests at which the worker is at work when it crashes.
	crashRunning = 5
	// recoverTime is recover_s of the site.
	recoverTime = 15 * time.Second
	// minServedShare is the share of the requests that must be served later than recoverTime.
	minServedShare = 0.25
)

// tally counts the requests of a phase.
type tally struct{ sent, served atomic.Int64 }

func (t *tally) share() float64 { return float64(t.served.Load()) / float64(max(t.sent.Load(), 1)) }

// reason returns the reason in the body of a refusal, or who answered.
func reason(status int, text string) string {
	if status == http.StatusOK {
		return "served"
	}
	if _, rest, ok := strings.Cut(text, `"reason":"`); ok {
		name, _, _ := strings.Cut(rest, `"`)
		return name
	}
	return text
}

// playPopular lets many callers send the same safe request. One worker crashes, once. Then all processes of the system are
// killed and come back.
func playPopular(out *record, trouble bool) (bool, error) {
	c, err := newCluster(out, 284)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(2, configOne); err != nil {
		return false, err
	}
	var workers []*worker
	for i := range popularWorkers {
		w := &worker{id: fmt.Sprintf("i-%d", i+1), service: "one", zone: zones[i%len(zones)], slots: 6}
		w.answer = func(o http.ResponseWriter, r *http.Request) {
			time.Sleep(popularWork)
			o.Header().Set(headerSignature, "sig."+w.id)
			fmt.Fprint(o, "answer to ", r.Header.Get(headerAttempt))
		}
		if err := c.startWorker(w, 101+i); err != nil {
			return false, err
		}
		workers = append(workers, w)
	}
	for g := 1; g <= 2; g++ {
		if err := c.awaitServed(g, "a.example", "/x/first", 20*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)

	var before, down, after tally
	var phase atomic.Pointer[tally]
	phase.Store(&before)
	done := make(chan struct{})
	var callers sync.WaitGroup
	for n := range popularCallers {
		callers.Go(func() {
			time.Sleep(time.Duration(n) * popularPace / popularCallers)
			pace := time.NewTicker(popularPace)
			defer pace.Stop()
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				case <-pace.C:
				}
				t, id := phase.Load(), fmt.Sprintf("c%d-%d", n, i)
				status, text := c.ordinaryRequest(1+n%2, "GET", "a.example", "/x/status", id, 1200*time.Millisecond)
				t.sent.Add(1)
				if status == http.StatusOK {
					t.served.Add(1)
				}
				out.add("%s to front-%d: %d %s", id, 1+n%2, status, reason(status, text))
			}
		})
	}
	time.Sleep(8 * time.Second)
	mode := os.Getenv("MODE")
	if trouble && mode != "kill" {
		for end := time.Now().Add(5 * time.Second); workers[0].running.Load() < crashRunning && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		out.add("worker i-1 crashes at %d requests; it is lost for good", workers[0].running.Load())
		workers[0].crash()
	}
	time.Sleep(2 * time.Second)
	out.add("runs at each worker before the final fault: %s", runsAt(workers))
	out.add("before the final fault: %d of %d served", before.served.Load(), before.sent.Load())
	phase.Store(&down)
	if trouble && mode != "crash" {
		all := append(append([]*machine{}, c.replicas...), c.gateways...)
		for _, m := range all {
			m.signal(syscall.SIGKILL)
		}
		out.add("all processes of the system are killed")
		for _, m := range all {
			<-m.exited
		}
		time.Sleep(800 * time.Millisecond)
		for _, m := range all {
			if err := m.run(); err != nil {
				return false, err
			}
		}
		out.add("all processes of the system are back")
	}
	time.Sleep(recoverTime)
	phase.Store(&after)
	out.add("recover_s is over: %d of %d were served meanwhile", down.served.Load(), down.sent.Load())
	time.Sleep(20 * time.Second)
	status, text := c.ordinaryRequest(1, "GET", "a.example", "/x/other", "other-1", 1200*time.Millisecond)
	out.add("other-1, a request for another path of the route, to front-1: %d %s", status, reason(status, text))
	phase.Store(&tally{})
	close(done)
	callers.Wait()
	out.add("runs at each worker: %s", runsAt(workers))
	out.add("served before the final fault: %.2f of %d; later than %s after the machines were back: %.2f of %d", before.share(), before.sent.Load(), recoverTime, after.share(), after.sent.Load())
	fmt.Printf("served before %.2f, later than recover_s after %.2f\n", before.share(), after.share())
	return before.share() >= minServedShare && after.share() < minServedShare, nil
}

// runsAt returns how many requests each worker has run.
func runsAt(workers []*worker) string {
	var list []string
	for _, w := range workers {
		n := 0
		w.runs.Range(func(any, any) bool { n++; return true })
		list = append(list, fmt.Sprintf("%s %d", w.id, n))
	}
	return strings.Join(list, ", ")
}
