package membership

import (
	"time"

	"heatherwall.example/api/gossippb"
)

// RecordEvidence records that a server itself answered that it is not leaving. The time is that at which the request or probe
// was sent, so the answer is not older.
func (r *Registry) RecordEvidence(address string, at time.Duration) {
	if rec := r.records[address]; rec != nil {
		r.evidence(rec, at)
	}
}

func (r *Registry) evidence(rec *record, at time.Duration) {
	if rec.left() || rec.server.State == gossippb.ServerState_SERVER_DRAINING {
		return
	}
	if rec.hasEvidence && at <= rec.evidence {
		return
	}
	rec.evidence, rec.hasEvidence = at, true
	if rec.listed {
		r.events = append(r.events, Event{Kind: EvidenceUpdated, Server: rec.view()})
		return
	}
	r.changed(rec)
}

// vouch spreads the freshness of owners' heartbeats to the servers for which they are evidence: those of the owner's
// current table, provided that the table is known up to the version that came with the heartbeat.
func (r *Registry) vouch(fresh map[GatewayID]*ownerView) {
	if len(fresh) == 0 {
		return
	}
	for _, address := range r.addresses() {
		rec := r.records[address]
		v := fresh[rec.server.Owner]
		if v == nil || rec.vouchIncarnation != v.incarnation || rec.server.Unrenewed {
			continue
		}
		r.evidence(rec, v.freshAt)
	}
}
