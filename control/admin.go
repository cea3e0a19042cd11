package control

import (
	"context"
	"net/http"
	"time"

	"heatherwall.example/api/controlpb"
)

const readyTimeout = time.Second

// adminMux serves /healthz, /readyz and /metrics. A replica is ready while each of its groups has an active leader.
func (r *replica) adminMux() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, request *http.Request) {
		if !r.isReady(request.Context()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", r.counters.exporter)
	return mux
}

func (r *replica) isReady(ctx context.Context) bool {
	if !r.opened.Load() || r.isStopping() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	groups, err := r.groupStatus(ctx)
	return err == nil && allCurrent(groups)
}

func allCurrent(groups []*controlpb.GroupStatus) bool {
	for _, g := range groups {
		if !g.Current {
			return false
		}
	}
	return len(groups) > 0
}
