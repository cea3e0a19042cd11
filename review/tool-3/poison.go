package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["poison"] = playPoison }

const (
	poisonWorkers = 12
	// ordinaryCallers is the number of callers that send unsafe requests beside it.
	ordinaryCallers = 8
	// workerDown is how long a crashed worker is away.
	workerDown = 3 * time.Second
	// poisonPause is the time between two arrivals of the request.
	poisonPause = 2500 * time.Millisecond
	poisonTime  = 32 * time.Second
	contact     = 3 * time.Second
	// allowedRetries is the number of retries that may still reach workers later than contact after the third crash.
	allowedRetries = 3
)

// configPoison has a safe route, which one request uses to crash workers, and an unsafe one for ordinary requests.
const configPoison = `{"version":1,"routes":[{"name":"u","hostname":"a.example","path_prefix":"/u/","type":"unsafe","timeout_ms":3000,"target_latency_ms":400,"priority":1,"service":"one","max_attempts":2,"allowed_regions":[]},{"name":"r","hostname":"a.example","path_prefix":"/x/","type":"safe","timeout_ms":3000,"target_latency_ms":400,"priority":1,"service":"one","max_attempts":3,"allowed_regions":[]}],` +
	`"services":[{"name":"one","health_path":"/healthz","max_conns":220,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// poisonPlay counts the crashes that one request causes.
type poisonPlay struct {
	c   *cluster
	out *record

	mu      sync.Mutex
	crashes []time.Time
	// retries holds the attempts of the request that reached workers later than contact after the third crash.
	retries map[string]bool
	started int
}

// startCrashing starts a worker that crashes when it begins to run the path /x/bad, and comes back as a new incarnation.
func (p *poisonPlay) startCrashing(host int) error {
	p.mu.Lock()
	p.started++
	id := fmt.Sprintf("i-%d-%d", host, p.started)
	p.mu.Unlock()
	w := &worker{id: id, service: "one", zone: zones[host%len(zones)], slots: 6, work: 160 * time.Millisecond}
	var once sync.Once
	w.answer = func(out http.ResponseWriter, r *http.Request) {
		attempt := r.Header.Get("X-Attempt-Id")
		if r.URL.Path != "/x/bad" {
			time.Sleep(w.work)
			out.Header().Set("X-Server-Signature", "sig."+w.id)
			fmt.Fprint(out, "answer to ", attempt)
			return
		}
		p.reached(w.id, attempt)
		once.Do(func() {
			w.crash()
			time.AfterFunc(workerDown, func() {
				if err := p.startCrashing(host); err != nil {
					p.out.add("worker at host %d does not come back: %v", host, err)
				}
			})
		})
	}
	return p.c.startWorker(w, host)
}

// reached records that the request has reached a worker, which it crashes.
func (p *poisonPlay) reached(worker, attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if len(p.crashes) >= 3 && now.Sub(p.crashes[2]) > contact {
		p.retries[attempt] = true
	}
	p.crashes = append(p.crashes, now)
	p.out.add("%s begins to run %s and crashes: crash %d of the request, %d retries since %s after the third crash", worker, attempt, len(p.crashes), len(p.retries), contact)
}

func playPoison(out *record, trouble bool) (bool, error) {
	c, err := newCluster(out, 284)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(2, configPoison); err != nil {
		return false, err
	}
	p := &poisonPlay{c: c, out: out, retries: map[string]bool{}}
	for host := 101; host < 101+poisonWorkers; host++ {
		if err := p.startCrashing(host); err != nil {
			return false, err
		}
	}
	for g := 1; g <= 2; g++ {
		if err := c.awaitServed(g, "a.example", "/x/1", 20*time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second) // all workers are known and warm
	var served, failed atomic.Int64
	end := time.Now().Add(poisonTime)
	var clients sync.WaitGroup
	for n := range ordinaryCallers {
		clients.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("ordinary-%d-%d", n, i)
				status, text := c.ordinaryRequest(1+n%2, "DELETE", "a.example", "/u/"+id, id, 2*time.Second)
				if out.add("%s: %d %s", id, status, reason(status, text)); status == http.StatusOK {
					served.Add(1)
				} else {
					failed.Add(1)
				}
				time.Sleep(400 * time.Millisecond)
			}
		})
	}
	for i := 0; trouble && time.Now().Before(end); i++ {
		id := fmt.Sprintf("bad-%d", i)
		out.add("client sends %s to front-%d", id, 1+i%2)
		status, text := c.ordinaryRequest(1+i%2, "GET", "a.example", "/x/bad", id, 2*time.Second)
		out.add("client gets %d %s for %s", status, reason(status, text), id)
		time.Sleep(poisonPause)
	}
	clients.Wait()
	out.add("ordinary unsafe requests: %d served, %d not", served.Load(), failed.Load())
	out.add("crashes: %d; retries that reached workers later than %s after the third crash: %d, allowed %d", len(p.crashes), contact, len(p.retries), allowedRetries)
	fmt.Println("crashes", len(p.crashes), "retries", len(p.retries), "ordinary", served.Load(), failed.Load())
	return len(p.retries) > allowedRetries, nil
}
