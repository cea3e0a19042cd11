package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a server of a service, as PROTOCOL.md describes it.
type worker struct {
	c           *cluster
	service     string
	zone        string
	address     string
	concurrency int
	// run answers a request that the worker works on. It returns false if it has taken the connection over.
	run func(w *worker, out http.ResponseWriter, r *http.Request)

	mu       sync.Mutex
	id       string
	born     time.Time
	sequence int
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	starts   int
	stopBeat chan struct{}
	running  atomic.Int64
	// beats counts the heartbeats that were acknowledged.
	beats atomic.Int64
	// waiting is the number of queued requests that the worker reports.
	waiting atomic.Int64
}

var workerCount atomic.Int64

// startWorker starts a worker at a free address.
func (c *cluster) startWorker(service, zone string, concurrency int, run func(w *worker, out http.ResponseWriter, r *http.Request)) *worker {
	w := &worker{c: c, service: service, zone: zone, address: freeAddresses(1)[0], concurrency: concurrency, run: run}
	w.start()
	c.onClose(w.crash)
	return w
}

// start begins a new incarnation with a new identifier, at the same address.
func (w *worker) start() { w.startAs(fmt.Sprintf("i-%d", workerCount.Add(1))) }

// startAs begins a new incarnation with the given identifier, at the same address.
func (w *worker) startAs(id string) {
	var l net.Listener
	eventually(5*time.Second, "the address of a worker is free", func() (ok bool) {
		var err error
		l, err = net.Listen("tcp", w.address)
		return err == nil
	})
	w.mu.Lock()
	w.starts++
	w.id, w.born, w.sequence = id, time.Now(), 0
	w.listener, w.conns, w.stopBeat = l, map[net.Conn]bool{}, make(chan struct{})
	w.server = &http.Server{Handler: w, ConnState: w.track}
	server, stop := w.server, w.stopBeat
	w.mu.Unlock()
	w.running.Store(0)
	w.c.note("worker %s of %s starts at %s", id, w.service, w.address)
	go func() { _ = server.Serve(l) }()
	go w.heartbeats(stop)
}

func (w *worker) track(conn net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		if w.conns == nil { // crashed meanwhile
			reset(conn)
			return
		}
		w.conns[conn] = true
	case http.StateClosed:
		delete(w.conns, conn)
	}
}

// crash ends the incarnation: the listener closes and all connections are reset. It may be called more than once.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listener == nil {
		return
	}
	w.stopHeartbeatsLocked()
	_ = w.listener.Close()
	w.listener = nil
	for conn := range w.conns {
		reset(conn)
	}
	w.conns = nil
}

// stopHeartbeats ends the heartbeats of the incarnation; it goes on serving.
func (w *worker) stopHeartbeats() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopHeartbeatsLocked()
}

func (w *worker) stopHeartbeatsLocked() {
	if w.stopBeat != nil {
		close(w.stopBeat)
		w.stopBeat = nil
	}
}

// end ends the incarnation after its requests have been answered.
func (w *worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopHeartbeatsLocked()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	server := w.server
	w.mu.Unlock()
	_ = server.Shutdown(ctx)
	w.mu.Lock()
	w.listener, w.conns = nil, nil
}

// reset closes a connection with a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (w *worker) heartbeats(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	next, url := 0, ""
	for {
		w.mu.Lock()
		w.sequence++
		body, _ := json.Marshal(map[string]any{
			"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "concurrency": w.concurrency,
			"state": "ready", fieldColdLeft: 0, "sequence": w.sequence, "born": w.born.UnixMilli(),
		})
		id := w.id
		w.mu.Unlock()
		for range len(w.c.replicas) {
			to := url
			if to == "" {
				to = w.c.replicas[next%len(w.c.replicas)].catalogue
				next++
			}
			url = ""
			r, err := client.Post("http://"+to+callPath+heartbeatCall+id, "application/json", strings.NewReader(string(body)))
			if err != nil {
				continue
			}
			text, _ := io.ReadAll(r.Body)
			_ = r.Body.Close()
			if r.StatusCode/100 != 2 {
				continue
			}
			var answer struct {
				URL string `json:"heartbeat_url"`
			}
			_ = json.Unmarshal(text, &answer)
			url = answer.URL
			w.beats.Add(1)
			break
		}
		select {
		case <-stop:
			return
		case <-time.After(heartbeatMs * time.Millisecond):
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id := w.id
	w.mu.Unlock()
	h := out.Header()
	h.Set("X-Instance-Id", id)
	h.Set(headerLoad, fmt.Sprintf("%d,%d,%d,100", min(w.running.Load(), int64(w.concurrency)), w.waiting.Load(), w.concurrency))
	if r.URL.Path == "/healthz" && r.Header.Get(headerAttempt) == "" {
		return
	}
	h.Set(headerAttempt, r.Header.Get(headerAttempt))
	if expected := r.Header.Get(headerExpected); expected != "" && expected != id {
		h.Set(headerNotRun, "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.run(w, out, r)
}

// answer sends a signed answer with a body.
func (w *worker) answer(out http.ResponseWriter, body string) {
	h := out.Header()
	h.Set(headerSignature, w.service+"."+h.Get("X-Instance-Id"))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(out, body)
}
