package membership

import (
	"time"

	"heatherwall.example/api/gossippb"
)

// RecordEvidence records that the server itself answered that it is not leaving. at is the time at which the request or
// probe was sent; the answer is at least as recent.
func (r *Registry) RecordEvidence(address string, at time.Duration) {
	if rec := r.records[address]; rec != nil {
		r.addEvidence(rec, at)
	}
}

// addEvidence raises the evidence time of a record to at, unless the server is leaving or newer evidence is known.
func (r *Registry) addEvidence(rec *record, at time.Duration) {
	if rec.hasLeft() || rec.server.State == gossippb.ServerState_SERVER_DRAINING {
		return
	}
	if rec.hasEvidence && at <= rec.evidenceAt {
		return
	}
	rec.evidenceAt, rec.hasEvidence = at, true
	if rec.listed {
		r.events = append(r.events, Event{Kind: EvidenceUpdated, Server: rec.view()})
		return
	}
	r.reportChange(rec)
}

// applyHeartbeats takes newer heartbeats of owners as evidence of the servers in their current tables, provided that the
// table is known up to the version that came with the heartbeat.
func (r *Registry) applyHeartbeats(newHeartbeats map[GatewayID]*ownerView) {
	if len(newHeartbeats) == 0 {
		return
	}
	for _, address := range r.recordAddresses() {
		rec := r.records[address]
		v := newHeartbeats[rec.server.Owner]
		if v == nil || rec.ownerIncarnation != v.incarnation || rec.server.Unrenewed {
			continue
		}
		r.addEvidence(rec, v.heartbeatAt)
	}
}
