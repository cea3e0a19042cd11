package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, start: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// operatorClient follows redirects by itself, as every caller of control does.
var operatorClient = &http.Client{Timeout: time.Second}

// call sends one call to control replica i.
func (c *cluster) call(i int, name, of string, body []byte) (int, []byte, error) {
	url := fmt.Sprintf("http://%s:%d%s?call=%s", c.ip(i), portControl, callPath, name)
	if of != "" {
		url += "&of=" + of
	}
	r, err := operatorClient.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	return r.StatusCode, text, err
}

// order sends an order to the replicas in turn until one acknowledges it.
func (c *cluster) order(name, of, body string, limit time.Duration) error {
	last := errors.New("not sent")
	for i, end := 1, time.Now().Add(limit); time.Now().Before(end); i = i%replicaCount + 1 {
		status, text, err := c.call(i, name, of, []byte(body))
		if status == http.StatusOK {
			c.out.add("operator: %s %s acknowledged by core-%d", name, of, i)
			return nil
		}
		last = fmt.Errorf("%s: status %d %s %v", name, status, text, err)
		time.Sleep(100 * time.Millisecond)
	}
	return last
}

// worker is a sound server of the platform.
type worker struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	// answer runs a request; nil for a short signed answer after work.
	answer func(w http.ResponseWriter, r *http.Request)
	work   time.Duration
	// coldUntil is the end of the cold start; zero for a warm worker.
	coldUntil time.Time

	running  atomic.Int64
	sequence atomic.Int64
	state    atomic.Value
	server   *http.Server
	stopped  chan struct{}
	out      *record
	cluster  *cluster
	runs     sync.Map // attempt id -> *atomic.Int64
}

func (c *cluster) startWorker(w *worker, host int) error {
	w.address = fmt.Sprintf("%s:%d", c.ip(host), portWorker)
	w.out, w.cluster, w.stopped = c.out, c, make(chan struct{})
	if w.born == 0 {
		w.born = time.Now().UnixMilli()
	}
	w.state.Store("ready")
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	go w.beat()
	return nil
}

// crash ends the worker at once: its listener and all its connections are closed, and it says nothing more.
func (w *worker) crash() {
	close(w.stopped)
	_ = w.server.Close()
}

// ServeHTTP answers health checks and runs requests.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	h := out.Header()
	h.Set("X-Instance-Id", w.id)
	h.Set(headerLoad, fmt.Sprintf("%d,0,%d,100", min(w.running.Load(), int64(w.slots)), w.slots))
	if r.URL.Path == "/healthz" {
		if left := w.coldLeft(); left > 0 {
			h.Set(headerCold, strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get(headerAttempt)
	h.Set(headerAttempt, id)
	if expected := r.Header.Get(headerExpect); expected != "" && expected != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.running.Add(1) > int64(2*w.slots) {
		w.running.Add(-1)
		h.Set(headerNotRun, "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.running.Add(-1)
	n, _ := w.runs.LoadOrStore(id, &atomic.Int64{})
	n.(*atomic.Int64).Add(1)
	if w.answer != nil {
		w.answer(out, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(w.work)
	h.Set(headerSignature, "sig."+w.id)
	_, _ = io.WriteString(out, "answer to "+id)
}

// runsOf returns how often the worker ran an attempt.
func (w *worker) runsOf(id string) int64 {
	if n, ok := w.runs.Load(id); ok {
		return n.(*atomic.Int64).Load()
	}
	return 0
}

// heartbeat returns the next heartbeat.
func (w *worker) heartbeat() map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "concurrency": w.slots, "state": w.state.Load(),
		fieldColdLeft: w.coldLeft().Milliseconds(), "sequence": w.sequence.Add(1), "born": w.born,
	}
}

// coldLeft returns how long the cold start still lasts.
func (w *worker) coldLeft() time.Duration { return max(time.Until(w.coldUntil), 0) }

func (w *worker) sendBeat(i int) bool {
	body, _ := json.Marshal(w.heartbeat())
	status, _, err := w.cluster.call(i, heartbeatCall, w.id, body)
	return err == nil && status/100 == 2
}

// beat sends a heartbeat every 1.5 s, to the next replica after a failure.
func (w *worker) beat() {
	for i := 1; ; {
		for n := 0; n < replicaCount && !w.sendBeat(i); n++ {
			i = i%replicaCount + 1
		}
		select {
		case <-w.stopped:
			return
		case <-time.After(1500 * time.Millisecond):
		}
	}
}

// ordinaryRequest sends one request on a new connection and returns the status; 0 without a complete answer.
func (c *cluster) ordinaryRequest(gateway int, method, host, path, id string, deadline time.Duration) (int, string) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.ip(10+gateway), portFront), time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadline))
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n"+headerAttempt+": %s\r\n"+headerDeadline+": %s\r\nConnection: close\r\n\r\n", method, path, host, id, strconv.FormatInt(deadline.Milliseconds(), 10))
	r, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(text)
}

// awaitServed waits until a gateway serves a request.
func (c *cluster) awaitServed(gateway int, host, path string, limit time.Duration) error {
	last := ""
	for n, end := 0, time.Now().Add(limit); time.Now().Before(end); n++ {
		status, text := c.ordinaryRequest(gateway, "GET", host, path, fmt.Sprintf("first-%d-%d", gateway, n), 3*time.Second)
		if status == http.StatusOK {
			return nil
		}
		last = fmt.Sprint(status, " ", text)
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("front-%d serves no request: %s", gateway, last)
}

// machineMemoryMB is memory_mb of a front machine of kerdrean-gw.
const machineMemoryMB = 284

// configOne has one route and one service, with the limits of the pages.
var configOne = `{"version":1,"routes":[{"name":"r","hostname":"a.example","path_prefix":"/x/","type":"safe","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"one","max_attempts":2,"` + fieldRegions + `":[]}],` +
	`"services":[{"name":"one","health_path":"/healthz","max_conns":220,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`
