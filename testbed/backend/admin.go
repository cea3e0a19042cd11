package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

// Counts is the response to GET /.standin/counts.
type Counts struct {
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	Shed      int64 `json:"shed"`
	Failed    int64 `json:"failed"`
	// BusyNs is the total time in nanoseconds that runs have held slots.
	BusyNs int64 `json:"busy_ns"`
	// ColdPeak is the highest ratio of outstanding requests to the capacity of the cold server, ColdOverCapacity the
	// number of arrivals above that capacity; see Options.ColdStep.
	ColdPeak         float64 `json:"cold_peak"`
	ColdOverCapacity int64   `json:"cold_over"`
	Collapses        int64   `json:"fell_over"`
	InFlight         int     `json:"in_flight"`
	State            string  `json:"state"`
	// Owner is the announce address of the gateway with which the server is registered; empty if there is none.
	Owner string `json:"owner"`
}

// Counts returns the current counters and state of the server.
func (s *Server) Counts() Counts {
	peak, overCapacity := s.coldStart.overloadCounts()
	return Counts{
		Started:          s.started.Load(),
		Completed:        s.completed.Load(),
		Shed:             s.shed.Load(),
		Failed:           s.failed.Load(),
		BusyNs:           s.busyNs.Load(),
		ColdPeak:         peak,
		ColdOverCapacity: overCapacity,
		Collapses:        s.collapses.Load(),
		InFlight:         s.inFlight(),
		State:            s.state(),
		Owner:            s.announcer.ownerAddress(),
	}
}

func (s *Server) serveState(w http.ResponseWriter, _ *http.Request) {
	s.setHeaders(w)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveCounts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s.Counts())
}

// serveRegistered succeeds while a gateway owns the server.
func (s *Server) serveRegistered(w http.ResponseWriter, _ *http.Request) {
	if s.announcer.ownerAddress() == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serveFallback puts the server back into its cold start without notifying gateways.
func (s *Server) serveFallback(w http.ResponseWriter, _ *http.Request) {
	s.coldStart.begin(time.Now())
	w.WriteHeader(http.StatusNoContent)
}
