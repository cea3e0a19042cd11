package gateway

import (
	"time"

	"heatherwall.example/api/controlpb"
)

const (
	// reportedPoisonThreshold is the number of crashes from which on a request is refused if control replicas sum the
	// counts. It is higher than poisonThreshold, because a reset connection looks like a crash, and a network failure
	// resets many.
	reportedPoisonThreshold = 3
	// otherGateways is the key in crashMark.counts for the sum of all other gateways.
	otherGateways = ""
)

// takeReports returns and clears the crashes that this gateway has counted since the last call.
func (m *crashMarkTable) takeReports() []*controlpb.PoisonReport {
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

// mergeTotals merges the sums over all gateways, including this one.
func (m *crashMarkTable) mergeTotals(now time.Duration, reports []*controlpb.PoisonReport) {
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
