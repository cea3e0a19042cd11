package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// attempt is one client attempt and its answer.
type attempt struct {
	id       string
	gateway  string
	sent     time.Duration
	answered time.Duration
	status   int // 0 without a complete answer
	signed   string
	body     string
	err      string
}

// history holds the attempts of all clients.
type history struct {
	mu   sync.Mutex
	list []attempt
}

func (h *history) add(a attempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list = append(h.list, a)
}

func (h *history) all() []attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]attempt(nil), h.list...)
}

// dump writes all attempts and runs to the record.
func (r *record) dump(h *history, rs *runs) {
	for _, a := range h.all() {
		r.logf("client attempt %s through %s: sent %.3f, ended %.3f, status %d, signature %q %s", a.id, a.gateway, a.sent.Seconds(), a.answered.Seconds(), a.status, a.signed, a.err)
	}
	for _, x := range rs.all() {
		r.logf("worker %s in %s ran %s at %.3f", x.worker.id, x.worker.zone, x.attempt, x.at.Seconds())
	}
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}, Timeout: 10 * time.Second}
}

// send sends one request through a gateway.
func (c *cluster) send(client *http.Client, h *history, gateway *node, method, host, path, body string, deadline time.Duration) attempt {
	a := attempt{id: fmt.Sprintf("%016x", attempts.Add(1)), gateway: gateway.name, sent: c.record.now()}
	r, err := http.NewRequest(method, "http://"+c.frontAddress(gateway)+path, strings.NewReader(body))
	if err != nil {
		cannotRun("request: %v", err)
	}
	// With a body and no GetBody, the library sends nothing again by itself.
	r.Body, r.GetBody = io.NopCloser(strings.NewReader(body)), nil
	r.Host = host
	r.Header.Set(headerAttempt, a.id)
	r.Header.Set(headerDeadline, fmt.Sprint(deadline.Milliseconds()))
	if answer, err := client.Do(r); err != nil {
		a.err = err.Error()
	} else {
		text, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			a.err = err.Error()
		} else {
			a.status, a.signed, a.body = answer.StatusCode, answer.Header.Get(headerSignature), string(text)
		}
	}
	a.answered = c.record.now()
	h.add(a)
	return a
}

// traffic sends requests from several clients until stop is closed.
func (c *cluster) traffic(h *history, clients int, pause time.Duration, method, host, path string, stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for i := range clients {
		wg.Go(func() {
			client := newClient()
			for n := i; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				c.send(client, h, c.gateways[n%len(c.gateways)], method, host, path, "", 2*time.Second)
			}
		})
	}
	return &wg
}
