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
	options   Options
	pace      *pace
	warmth    warmth
	report    loadReport
	faults    faults
	slots     chan struct{}
	waiting   atomic.Int64
	running   atomic.Int64
	started   atomic.Int64
	completed atomic.Int64
	shed      atomic.Int64
	failed    atomic.Int64
	// present counts requests between arrival and the end of their run, busy the nanoseconds in slots.
	present   atomic.Int64
	busy      atomic.Int64
	fellOver  atomic.Int64
	sequence  *atomic.Uint64
	announcer *announcer
	leftAt    atomic.Int64
	draining  atomic.Bool
	closed    atomic.Bool

	mu     sync.Mutex
	http   *http.Server
	revive chan struct{}
}

// New returns a server. The counter numbers the journal records of all servers of the process.
func New(o Options, sequence *atomic.Uint64) *Server {
	s := &Server{
		options:  o,
		pace:     newPace(o),
		warmth:   warmth{coldTime: o.ColdDuration, coldRequests: o.ColdRequests, step: o.ColdStep, grace: o.ColdGrace},
		report:   loadReport{kind: o.ReportMode, lag: o.ReportLag},
		slots:    make(chan struct{}, o.Slots),
		sequence: sequence,
		revive:   make(chan struct{}, 1),
	}
	s.announcer = newAnnouncer(s)
	return s
}

// Run serves until the context ends; then it drains: it announces that it leaves, keeps taking requests for the drain
// time, and finishes those in flight.
func (s *Server) Run(ctx context.Context) error {
	if err := s.listen(); err != nil {
		return err
	}
	s.warmth.chill(time.Now())
	announcing, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.announcer.run(announcing)
	}()
	err := s.live(ctx)
	s.draining.Store(true)
	stop()
	<-ended
	if err != nil {
		return err
	}
	s.leave()
	return nil
}

// live serves and restarts the server after each breakdown.
func (s *Server) live(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.revive:
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(s.options.RestartDelay):
		}
		if err := s.listen(); err != nil {
			return err
		}
		s.warmth.chill(time.Now())
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
	s.http = server
	s.closed.Store(false)
	s.mu.Unlock()
	go server.Serve(listener)
	return nil
}

// fallOver breaks every connection and keeps the server away for the restart time.
func (s *Server) fallOver() {
	if s.closed.Swap(true) {
		return
	}
	s.fellOver.Add(1)
	s.record(journal.ServerEvent{Event: journal.Collapsed, Cold: true})
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	go func() {
		server.Close()
		s.revive <- struct{}{}
	}()
}

func (s *Server) leave() {
	if s.announcer.leave() {
		s.leftAt.Store(journal.Nanotime())
	}
	time.Sleep(s.options.DrainTime)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
	defer cancel()
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	if err := server.Shutdown(ctx); err != nil {
		server.Close()
	}
}

func (s *Server) state() string {
	switch {
	case s.draining.Load():
		return "draining"
	case s.warmth.isCold(time.Now()):
		return s.faults.shown("cold")
	}
	return s.faults.shown("ready")
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
