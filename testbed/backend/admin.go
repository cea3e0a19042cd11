package backend

import (
	"encoding/json"
	"net/http"
	"time"
)

// Counts is the answer of GET /.standin/counts.
type Counts struct {
	Started   int64 `json:"started"`
	Completed int64 `json:"completed"`
	Shed      int64 `json:"shed"`
	Failed    int64 `json:"failed"`
	// BusyNs is the time that runs have spent in slots.
	BusyNs int64 `json:"busy_ns"`
	// ColdPeak is the highest number of requests at the cold server in times of what it bore, ColdOver the number of
	// arrivals above what it bore; see Options.ColdStep.
	ColdPeak         float64 `json:"cold_peak"`
	ColdOverCapacity int64   `json:"cold_over"`
	Collapses        int64   `json:"fell_over"`
	InFlight         int     `json:"in_flight"`
	State            string  `json:"state"`
	// Owner is the announce address of the gateway with which the server is registered; empty before the first.
	Owner string `json:"owner"`
}

// Counts returns the counts of the server.
func (s *Server) Counts() Counts {
	peak, over := s.warmth.excess()
	return Counts{
		Started:          s.started.Load(),
		Completed:        s.completed.Load(),
		Shed:             s.shed.Load(),
		Failed:           s.failed.Load(),
		BusyNs:           s.busy.Load(),
		ColdPeak:         peak,
		ColdOverCapacity: over,
		Collapses:        s.fellOver.Load(),
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

// serveFallback puts the server back into cold start without any notice to gateways.
func (s *Server) serveFallback(w http.ResponseWriter, _ *http.Request) {
	s.warmth.chill(time.Now())
	w.WriteHeader(http.StatusNoContent)
}
