package gateway

import (
	"net/http"
	"time"

	"heatherwall.example/balance"
)

// serverView is one entry of the /servers response on the admin listener.
type serverView struct {
	Service       string `json:"service"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	Sequence      uint64 `json:"sequence"`
	State         string `json:"state"`
	Slots         int    `json:"slots"`
	Owner         string `json:"owner"`
	// EvidenceAgeMs is the age of the newest evidence in the registry.
	EvidenceAgeMs int64 `json:"evidence_age_ms"`
	// SendRightMs is the remaining time of this gateway's right to send to a cold server that it owns; 0 for none.
	SendRightMs int64 `json:"send_right_ms"`
	// DomainOut reports whether operators took the failure domain out.
	DomainOut bool `json:"domain_out"`
}

// serversView is the response body of /servers.
type serversView struct {
	Gateway  string       `json:"gateway"`
	Revision uint64       `json:"revision"`
	LeaseMs  int64        `json:"lease_ms"`
	Servers  []serverView `json:"servers"`
}

// serveServers lists the backend servers in this gateway's registry, sorted by address.
func (d *daemon) serveServers(w http.ResponseWriter, _ *http.Request) {
	l := d.lease.Current()
	view := serversView{Gateway: d.settings.Name, Revision: l.revision, Servers: []serverView{}}
	d.state.do(func(now time.Duration) {
		view.LeaseMs = max(l.expires-now, 0).Milliseconds()
		for _, s := range d.state.registry.Servers() {
			r := s.Record
			view.Servers = append(view.Servers, serverView{
				Service: r.GetService(), Address: r.GetAddress(), Region: r.GetRegion(), FailureDomain: r.GetFailureDomain(),
				Incarnation: r.GetIncarnation(), Sequence: r.GetSequence(), State: stateName(balance.State(r.GetState())),
				Slots: int(r.GetSlots()), Owner: r.GetOwner(), EvidenceAgeMs: (now - s.EvidenceAt).Milliseconds(),
				SendRightMs: max(s.SendUntil-now, 0).Milliseconds(),
				DomainOut:   l.config != nil && l.config.IsDomainOut(r.GetFailureDomain()),
			})
		}
	})
	writeJSON(w, http.StatusOK, view)
}

func stateName(s balance.State) string {
	switch s {
	case balance.StateReady:
		return stateReady
	case balance.StateCold:
		return stateCold
	case balance.StateDraining:
		return stateDraining
	}
	return "left"
}
