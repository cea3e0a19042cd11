package relay

import (
	"fmt"
	"net/http"
)

// Admin returns a handler that controls a set of relays. POST /cut?direction=D starts or ends the cut of all relays, and
// with &target=ADDRESS only of those to that target. GET /bytes lists the bytes that each relay has forwarded.
func Admin(relays []*Relay) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, r *http.Request) {
		target := r.FormValue("target")
		for _, relay := range relays {
			if target != "" && relay.target != target {
				continue
			}
			if err := relay.Cut(Direction(r.FormValue("direction"))); err != nil {
				http.Error(w, err.Error(), http.StatusBadRequest)
				return
			}
		}
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /bytes", func(w http.ResponseWriter, _ *http.Request) {
		for _, relay := range relays {
			fmt.Fprintf(w, "%s %d\n", relay.target, relay.Bytes())
		}
	})
	return mux
}
