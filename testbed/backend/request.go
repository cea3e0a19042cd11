package backend

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"heatherwall.example/testbed/answer"
	"heatherwall.example/testbed/journal"
)

// Headers between gateways and backend servers.
const (
	StateHeader    = "Heatherwall-State"
	LoadHeader     = "Heatherwall-Load"
	NotRunHeader   = "Heatherwall-Not-Run"
	DeadlineHeader = "Heatherwall-Deadline-Ms"
	KeyHeader      = "Idempotency-Key"
	// RequestIDHeader holds the identifier of a request, which the server echoes.
	RequestIDHeader = "Heatherwall-Request-Id"
)

const (
	maxRequestBody = 16 << 20
	// crashStatus is the exit status of the process after a request with the crash header.
	crashStatus = 70
)

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(RequestIDHeader); id != "" {
		w.Header().Set(RequestIDHeader, id)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !s.simulateLatency(ctx, r.Header.Get(answer.OriginHeader)) {
		s.shedRequest(w, r)
		return
	}
	if text := s.faults.retryAfter(); text != "" {
		w.Header().Set("Retry-After", text)
		s.shedRequest(w, r)
		return
	}
	if s.faults.isFailing() {
		s.respondFailing(w)
		return
	}
	if excess := s.coldStart.recordArrival(time.Now(), int(s.outstanding.Add(1)), s.options.Slots); excess != "" {
		record := s.newEvent(r, journal.OverCapacity)
		record.Detail = excess + ", sent by " + r.Header.Get(answer.OriginHeader)
		s.record(record)
	}
	if !s.acquireSlot(ctx) {
		s.outstanding.Add(-1)
		s.shedRequest(w, r)
		return
	}
	s.runRequest(ctx, w, r, body)
}

// respondFailing responds at once with an error without the not-run header.
func (s *Server) respondFailing(w http.ResponseWriter) {
	s.failed.Add(1)
	s.setHeaders(w)
	http.Error(w, "failing", http.StatusServiceUnavailable)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.Atoi(r.Header.Get(DeadlineHeader))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// acquireSlot waits in the queue for a slot. It reports false if the queue is full or the context has ended.
func (s *Server) acquireSlot(ctx context.Context) bool {
	if ctx.Err() != nil {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	default:
	}
	if s.waiting.Add(1) > int64(s.options.Queue) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		s.running.Add(1)
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) releaseSlot() {
	s.outstanding.Add(-1)
	s.running.Add(-1)
	<-s.slots
}

// shedRequest refuses the request with the not-run header: it has not run and will not run.
func (s *Server) shedRequest(w http.ResponseWriter, r *http.Request) {
	s.shed.Add(1)
	s.record(s.newEvent(r, journal.Shed))
	s.setHeaders(w)
	w.Header().Set(NotRunHeader, "true")
	if s.options.RetryAfter > 0 && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", strconv.Itoa(s.options.RetryAfter))
	}
	http.Error(w, "overloaded", http.StatusServiceUnavailable)
}

func (s *Server) runRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	s.started.Add(1)
	s.record(s.newEvent(r, journal.Started))
	if s.options.ExitOnCrash && r.Header.Get(answer.CrashHeader) != "" {
		os.Exit(crashStatus)
	}
	now := time.Now()
	running := int(s.running.Load())
	if s.coldStart.collapses(now, running, s.options.Slots) {
		s.collapse()
	}
	duration := float64(s.serviceTimes.sample(now)) * s.coldStart.slowdown(now, running, s.options.Slots)
	ended := s.newEvent(r, journal.Ended)
	workDone := s.simulateWork(ctx, time.Duration(duration))
	if workDone {
		s.coldStart.runCompleted()
	}
	s.busyNs.Add(int64(time.Since(now)))
	s.releaseSlot()
	ended.Completed = workDone && s.simulateLatency(ctx, r.Header.Get(answer.OriginHeader)) && s.writeResponse(w, r, body)
	if ended.Completed {
		s.completed.Add(1)
	}
	s.record(ended)
	if !ended.Completed {
		panic(http.ErrAbortHandler) // closes the connection instead of completing the response
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, body []byte) bool {
	head := answer.Head{
		Request:    r.Header.Get(answer.RequestHeader),
		Key:        r.Header.Get(KeyHeader),
		Server:     s.options.Address,
		Region:     s.options.Region,
		BodySHA256: answer.Digest(body),
	}
	text := answer.Encode(head, s.options.FillerBytes)
	s.setHeaders(w)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, err := w.Write(text)
	return err == nil
}

func (s *Server) setHeaders(w http.ResponseWriter) {
	w.Header().Set(StateHeader, s.faults.stateInResponse(s.state()))
	w.Header().Set(LoadHeader, s.loadReport.header(time.Now(), s.inFlight(), s.options.Slots))
}

func (s *Server) newEvent(r *http.Request, e journal.Event) journal.ServerEvent {
	return journal.ServerEvent{
		Event:   e,
		Request: r.Header.Get(answer.RequestHeader),
		Attempt: r.Header.Get(answer.AttemptHeader),
		Key:     r.Header.Get(KeyHeader),
		Cold:    s.coldStart.isCold(time.Now()),
	}
}
