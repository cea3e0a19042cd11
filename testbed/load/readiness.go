package load

import (
	"net/http"
	"sync"
	"time"
)

// Polling of /readyz on the caller listeners.
const (
	readinessPeriod  = 200 * time.Millisecond
	readinessTimeout = time.Second
)

// readiness knows which gateways serve. A nil readiness takes all of them as ready.
type readiness struct {
	mu     sync.Mutex
	ready  map[string]bool
	ending chan struct{}
	polls  sync.WaitGroup
}

func followReadiness(gateways []Gateway) *readiness {
	r := &readiness{ready: map[string]bool{}, ending: make(chan struct{})}
	for _, g := range gateways {
		r.set(g.Address, isReady(g.Address))
		r.polls.Go(func() { r.poll(g.Address) })
	}
	return r
}

func (r *readiness) stop() {
	close(r.ending)
	r.polls.Wait()
}

func (r *readiness) poll(address string) {
	for {
		select {
		case <-r.ending:
			return
		case <-time.After(readinessPeriod):
			r.set(address, isReady(address))
		}
	}
}

func (r *readiness) set(address string, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready[address] = ready
}

// choose returns the gateway at index among the ready ones of the route, or among all of them if none is ready.
func (r *readiness) choose(route []Gateway, index int) Gateway {
	if r == nil {
		return route[index%len(route)]
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []Gateway
	for _, g := range route {
		if r.ready[g.Address] {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = route
	}
	return ready[index%len(ready)]
}

func isReady(address string) bool {
	client := http.Client{Timeout: readinessTimeout}
	response, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
