package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"heatherwall.example/testbed/journal"
)

const (
	headerTimeout = 10 * time.Second
	shutdownLimit = 30 * time.Second
)

// ListenError reports an address that could not be listened on.
type ListenError struct {
	Address string
	Cause   error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Server is one stand-in backend server. Start it with Run.
type Server struct {
	options      Options
	serviceTimes *serviceTimes
	coldStart    coldStart
	loadReport   loadReport
	faults       faults
	slots        chan struct{}
	waiting      atomic.Int64
	running      atomic.Int64
	started      atomic.Int64
	completed    atomic.Int64
	shed         atomic.Int64
	failed       atomic.Int64
	// outstanding counts the requests that wait for a slot or hold one, busyNs the nanoseconds for which slots were held.
	outstanding atomic.Int64
	busyNs      atomic.Int64
	collapses   atomic.Int64
	sequence    *atomic.Uint64
	announcer   *announcer
	leftAt      atomic.Int64
	draining    atomic.Bool
	down        atomic.Bool

	mu         sync.Mutex
	httpServer *http.Server
	restarts   chan struct{}
}

// New returns a server. The servers of a process share sequence, which numbers their journal records.
func New(o Options, sequence *atomic.Uint64) *Server {
	s := &Server{
		options:      o,
		serviceTimes: newServiceTimes(o),
		coldStart:    coldStart{maxDuration: o.ColdDuration, warmUpRuns: o.ColdRequests, step: o.ColdStep, grace: o.ColdGrace},
		loadReport:   loadReport{mode: o.ReportMode, lag: o.ReportLag},
		slots:        make(chan struct{}, o.Slots),
		sequence:     sequence,
		restarts:     make(chan struct{}, 1),
	}
	s.announcer = newAnnouncer(s)
	return s
}

// Run serves until the context ends. Then it drains the server: it announces that the server leaves, accepts requests for
// Options.DrainTime, and completes those in flight.
func (s *Server) Run(ctx context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	s.coldStart.begin(time.Now())
	announcing, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.announcer.keepRegistered(announcing)
	}()
	err := s.restartUntilDone(ctx)
	s.draining.Store(true)
	stop()
	<-ended
	if err != nil {
		return err
	}
	s.drain()
	return nil
}

// restartUntilDone restarts the server after each collapse until the context ends.
func (s *Server) restartUntilDone(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.restarts:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.options.RestartDelay):
		}
		if err := s.listen(); err != nil {
			return err
		}
		s.coldStart.begin(time.Now())
		s.announcer.restart()
	}
}

func (s *Server) listen() error {
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return &ListenError{Address: s.options.Address, Cause: err}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /.heatherwall/state", s.serveState)
	mux.HandleFunc("GET /.standin/counts", s.serveCounts)
	mux.HandleFunc("GET /.standin/registered", s.serveRegistered)
	mux.HandleFunc("POST /.standin/fallback", s.serveFallback)
	mux.HandleFunc("POST /.standin/fault", s.serveFault)
	mux.HandleFunc("/", s.serveRequest)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	s.mu.Lock()
	s.httpServer = server
	s.down.Store(false)
	s.mu.Unlock()
	go server.Serve(listener)
	return nil
}

// collapse closes the listener and all connections; the server stays down for Options.RestartDelay.
func (s *Server) collapse() {
	if s.down.Swap(true) {
		return
	}
	s.collapses.Add(1)
	s.record(journal.ServerEvent{Event: journal.Collapsed, Cold: true})
	s.mu.Lock()
	server := s.httpServer
	s.mu.Unlock()
	go func() {
		server.Close()
		s.restarts <- struct{}{}
	}()
}

func (s *Server) drain() {
	if s.announcer.leave() {
		s.leftAt.Store(journal.Nanotime())
	}
	time.Sleep(s.options.DrainTime)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	s.mu.Lock()
	server := s.httpServer
	s.mu.Unlock()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

func (s *Server) state() string {
	switch {
	case s.draining.Load():
		return "draining"
	case s.coldStart.isCold(time.Now()):
		return s.faults.reportedState("cold")
	}
	return s.faults.reportedState("ready")
}

func (s *Server) inFlight() int { return int(s.running.Load() + s.waiting.Load()) }

func (s *Server) record(r journal.ServerEvent) {
	if s.options.Journal == nil {
		return
	}
	r.Sequence = s.sequence.Add(1)
	r.At = journal.Nanotime()
	r.Service = s.options.Service
	r.Server = s.options.Address
	r.Region = s.options.Region
	r.FailureDomain = s.options.FailureDomain
	if left := s.leftAt.Load(); left > 0 {
		r.AfterLeave = r.At - left
	}
	s.options.Journal.Write(r)
}
