package control

import (
	"context"
	"net/http"
	"time"

	"heatherwall.example/api/controlpb"
)

const readyTimeout = time.Second

// adminMux serves /healthz, /readyz and /metrics. A replica is ready while it knows a leader that a quorum backs.
func (r *replica) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, request *http.Request) {
		ctx, cancel := context.WithTimeout(request.Context(), readyTimeout)
		defer cancel()
		groups, err := r.groupStatus(ctx)
		if err != nil || r.isStopping() || !allCurrent(groups) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", r.counters)
	return mux
}

func allCurrent(groups []*controlpb.GroupStatus) bool {
	for _, g := range groups {
		if !g.Current {
			return false
		}
	}
	return len(groups) > 0
}
