package gateway

import (
	"time"

	"heatherwall.example/api/controlpb"
)

const (
	// reportedPoisonThreshold is the number of crashes from which on a request is refused where control replicas add up
	// the counts. It is higher than between gateways that tell each other, because a connection that is reset looks like
	// a crash, and many are while a network fails.
	reportedPoisonThreshold = 3
	// otherGateways is the name under which the counts of all other gateways stand.
	otherGateways = ""
)

// takeReports returns the crashes that this gateway counted since the last call.
func (m *poisonMarks) takeReports() []*controlpb.PoisonReport {
	counted := map[fingerprint]uint32{}
	for _, mark := range m.takePending() {
		if mark.GetCount() > 0 {
			counted[fingerprint(mark.GetFingerprint())]++
		}
	}
	var reports []*controlpb.PoisonReport
	for f, crashes := range counted {
		reports = append(reports, &controlpb.PoisonReport{Fingerprint: f[:], Crashes: crashes})
	}
	return reports
}

// mergeTotals takes over the sums of all gateways, this one included.
func (m *poisonMarks) mergeTotals(now time.Duration, reports []*controlpb.PoisonReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, r := range reports {
		if len(r.GetFingerprint()) != fingerprintBytes {
			continue
		}
		mark := m.findOrAdd(now, fingerprint(r.GetFingerprint()), nil)
		mark.counts[otherGateways] = max(int(r.GetCrashes())-mark.counts[m.self], 0)
		mark.expires = now + markLifetime
	}
}
