package gateway

import (
	"net/http"
	"time"

	"heatherwall.example/gateway/pipeline"
)

// Limits of the announce and admin listeners.
const (
	maxInternalHeaderBytes = 16 << 10
	adminTimeout           = 10 * time.Second
	readyPath              = "/readyz"
	// unreadBodyTimeout is the time after which the connection of a request ends whose body nobody reads.
	unreadBodyTimeout = 2 * time.Second
)

// callerServer returns the server for callers. It also serves /readyz for the platform's load balancer.
func (d *daemon) callerServer() *http.Server {
	return &http.Server{
		Handler:           d.callerHandler(),
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		ConnContext:       pipeline.ConnContext,
	}
}

// callerHandler bypasses the mux for requests of callers, because the mux redirects paths that are not clean.
func (d *daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+readyPath, d.serveReady)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			// A request that is refused before its body is read must not wait for the rest of the body. readBody sets another
			// deadline, and net/http resets it before the next request.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
		}
		if r.URL.Path == readyPath {
			mux.ServeHTTP(w, r)
			return
		}
		d.path.ServeHTTP(w, r)
	})
}

func (d *daemon) announceServer() *http.Server {
	s := &announceServer{configuration: d.lease, registrar: d.state, log: d.log, counters: d.counters}
	return newInternalServer(s.handler(), announceTimeout)
}

func (d *daemon) adminServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeStatus(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET "+readyPath, d.serveReady)
	mux.Handle("GET /metrics", d.counters)
	if d.state != nil {
		mux.HandleFunc("GET /servers", d.serveServers)
	}
	return newInternalServer(mux, adminTimeout)
}

// metricsServer serves only /metrics, for a collector that must not reach the other admin paths.
func (d *daemon) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", d.counters)
	return newInternalServer(mux, adminTimeout)
}

func newInternalServer(h http.Handler, timeout time.Duration) *http.Server {
	return &http.Server{Handler: h, MaxHeaderBytes: maxInternalHeaderBytes, ReadHeaderTimeout: timeout, ReadTimeout: timeout, WriteTimeout: timeout, IdleTimeout: callerIdleTimeout}
}

// serveReady responds with 200 only while this gateway may serve requests.
func (d *daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	l, valid := d.lease.Valid()
	switch {
	case d.path.stopping.Load():
		writeStatus(w, http.StatusServiceUnavailable, string(ReasonDraining))
	case d.path.joining.Load():
		writeStatus(w, http.StatusServiceUnavailable, string(ReasonNotReady))
	case !valid || !d.path.routeVerifier.mayServe(l):
		writeStatus(w, http.StatusServiceUnavailable, string(ReasonConfigurationStale))
	default:
		writeStatus(w, http.StatusOK, "ready")
	}
}

func writeStatus(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
