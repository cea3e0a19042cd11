package load

import (
	"net/http"
	"sync"
	"time"
)

// Interval and timeout of the polls of /readyz on the gateways' caller listeners.
const (
	readinessPeriod  = 200 * time.Millisecond
	readinessTimeout = time.Second
)

// readiness tracks which gateways are ready by polling them. A nil readiness treats all of them as ready.
type readiness struct {
	mu       sync.Mutex
	ready    map[string]bool
	stopping chan struct{}
	polls    sync.WaitGroup
}

func followReadiness(gateways []Gateway) *readiness {
	r := &readiness{ready: map[string]bool{}, stopping: make(chan struct{})}
	for _, g := range gateways {
		r.set(g.Address, isReady(g.Address))
		r.polls.Go(func() { r.poll(g.Address) })
	}
	return r
}

func (r *readiness) stop() {
	close(r.stopping)
	r.polls.Wait()
}

func (r *readiness) poll(address string) {
	for {
		select {
		case <-r.stopping:
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

// choose returns the gateway at index, wrapping around, among the ready gateways of the route, or among all of them if none
// is ready.
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
