package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a worker began to work on.
type run struct {
	at      time.Duration
	attempt string
	worker  *worker
	method  string
	path    string
	body    string
}

// runs holds what all workers ran.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(e run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, e)
}

func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// worker is a stand-in for a worker, as PROTOCOL.md describes it.
type worker struct {
	c       *cluster
	runs    *runs
	id      string
	service string
	zone    string
	address string
	slots   int
	work    time.Duration
	born    int64
	// handle replaces the usual work if it is set. It returns false to leave the request to the usual work.
	handle func(w http.ResponseWriter, r *http.Request, body string) bool

	state    atomic.Value
	sequence atomic.Int64
	running  atomic.Int64
	server   *http.Server
	stop     chan struct{}
	// acked is closed when the first heartbeat was acknowledged.
	acked chan struct{}
	once  sync.Once
}

func (c *cluster) newWorker(rs *runs, id, service, zone string) *worker {
	w := &worker{c: c, runs: rs, id: id, service: service, zone: zone, slots: 6, work: 20 * time.Millisecond, born: time.Now().UnixMilli(), stop: make(chan struct{}), acked: make(chan struct{})}
	w.state.Store("ready")
	return w
}

// start opens the listener and begins to send heartbeats.
func (w *worker) start() {
	l, err := net.Listen("tcp", w.c.base+".200:0")
	if err != nil {
		cannotRun("worker: %v", err)
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	w.c.record.logf("worker %s of %s in %s at %s", w.id, w.service, w.zone, w.address)
	go w.beat()
}

func (w *worker) body() string {
	return fmt.Sprintf(heartbeatFormat,
		w.service, w.address, w.zone, w.slots, w.state.Load(), w.sequence.Add(1), w.born)
}

// beat sends a heartbeat every 1.5 s, to the replica that acknowledged the last one, or else to another.
func (w *worker) beat() {
	at := rand.IntN(len(w.c.controls))
	for {
		for range len(w.c.controls) {
			status, _ := w.c.callOnce(w.c.controls[at], heartbeatCall+w.id, w.body())
			if status == http.StatusOK {
				w.once.Do(func() { close(w.acked) })
				break
			}
			at = (at + 1) % len(w.c.controls)
		}
		select {
		case <-w.stop:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set(headerInstance, w.id)
	h.Set(headerLoad, fmt.Sprintf("%d,0,%d,100", w.running.Load(), w.slots))
	if r.URL.Path == "/healthz" {
		if w.state.Load() != "ready" {
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get(headerAttempt)
	h.Set(headerAttempt, attempt)
	if expected := r.Header.Get(headerExpected); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if w.running.Add(1) > int64(w.slots) {
		w.running.Add(-1)
		h.Set(headerNotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	w.runs.add(run{at: w.c.record.now(), attempt: attempt, worker: w, method: r.Method, path: r.URL.RequestURI(), body: string(body)})
	if w.handle != nil && w.handle(out, r, string(body)) {
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	h.Set(headerSignature, "sig-"+w.id+"-"+attempt)
	_, _ = io.WriteString(out, "answer to "+attempt+" "+strings.Repeat("x", 100))
}
