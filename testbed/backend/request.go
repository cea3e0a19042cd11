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
)

const (
	maxBody = 16 << 20
	// crashStatus is the exit status of a process that a request crashed.
	crashStatus = 70
)

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "incomplete body", http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !s.travel(ctx, r.Header.Get(answer.OriginHeader)) {
		s.refuse(w, r)
		return
	}
	if s.faults.isFailing() {
		s.fail(w)
		return
	}
	if excess := s.warmth.arrived(time.Now(), int(s.present.Add(1)), s.options.Slots); excess != "" {
		record := s.about(r, journal.OverCapacity)
		record.Detail = excess + ", sent by " + r.Header.Get(answer.OriginHeader)
		s.record(record)
	}
	if !s.takeSlot(ctx) {
		s.present.Add(-1)
		s.refuse(w, r)
		return
	}
	s.run(ctx, w, r, body)
}

// fail answers at once with an error that does not say "not run".
func (s *Server) fail(w http.ResponseWriter) {
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

// takeSlot waits in the queue for a slot. It reports false if the queue is full or the request no longer needed.
func (s *Server) takeSlot(ctx context.Context) bool {
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

func (s *Server) freeSlot() {
	s.present.Add(-1)
	s.running.Add(-1)
	<-s.slots
}

// refuse tells that the request has not been run and will not be.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	s.shed.Add(1)
	s.record(s.about(r, journal.Shed))
	s.setHeaders(w)
	w.Header().Set(NotRunHeader, "true")
	if s.options.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s.options.RetryAfter))
	}
	http.Error(w, "overloaded", http.StatusServiceUnavailable)
}

func (s *Server) run(ctx context.Context, w http.ResponseWriter, r *http.Request, body []byte) {
	s.started.Add(1)
	s.record(s.about(r, journal.Started))
	if s.options.ExitOnCrash && r.Header.Get(answer.CrashHeader) != "" {
		os.Exit(crashStatus)
	}
	now := time.Now()
	running := int(s.running.Load())
	if s.warmth.fallsOver(now, running, s.options.Slots) {
		s.fallOver()
	}
	work := float64(s.pace.draw(now)) * s.warmth.slowdown(now, running, s.options.Slots)
	ended := s.about(r, journal.Ended)
	done := s.work(ctx, time.Duration(work))
	if done {
		s.warmth.done()
	}
	s.busy.Add(int64(time.Since(now)))
	s.freeSlot()
	ended.Completed = done && s.travel(ctx, r.Header.Get(answer.OriginHeader)) && s.reply(w, r, body)
	if ended.Completed {
		s.completed.Add(1)
	}
	s.record(ended)
	if !ended.Completed {
		panic(http.ErrAbortHandler) // breaks the connection instead of ending the answer
	}
}

func wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Server) reply(w http.ResponseWriter, r *http.Request, body []byte) bool {
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
	w.Header().Set(StateHeader, s.state())
	w.Header().Set(LoadHeader, s.report.text(time.Now(), s.inFlight(), s.options.Slots))
}

func (s *Server) about(r *http.Request, e journal.Event) journal.ServerEvent {
	return journal.ServerEvent{
		Event:   e,
		Request: r.Header.Get(answer.RequestHeader),
		Attempt: r.Header.Get(answer.AttemptHeader),
		Key:     r.Header.Get(KeyHeader),
		Cold:    s.warmth.isCold(time.Now()),
	}
}
