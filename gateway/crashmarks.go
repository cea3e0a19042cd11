package gateway

import (
	"slices"
	"time"

	"heatherwall.example/api/gossippb"
)

// OwnCounts returns the counts of this gateway that a gateway in the given region may store.
func (m *crashMarkTable) OwnCounts(now time.Duration, region string) []*gossippb.CrashMark {
	return m.CountsOf(now, m.self, region)
}

// CountsOf returns the counts of the named gateway that a gateway in the given region may store.
func (m *crashMarkTable) CountsOf(now time.Duration, gateway, region string) []*gossippb.CrashMark {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*gossippb.CrashMark
	for f, mark := range m.marks {
		if mark.counts[gateway] > 0 && mark.expires > now && isRegionPermitted(mark.regions, region) {
			list = append(list, mark.toProto(now, f, gateway))
		}
	}
	return list
}

func (mark *crashMark) toProto(now time.Duration, f fingerprint, gateway string) *gossippb.CrashMark {
	return &gossippb.CrashMark{
		Fingerprint: f[:], Count: uint32(mark.counts[gateway]),
		RemainingMs: uint32((mark.expires - now).Milliseconds()), Regions: mark.regions,
	}
}

func isRegionPermitted(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// permittedMarks returns the marks that a gateway in the region may store.
func permittedMarks(region string, marks []*gossippb.CrashMark) []*gossippb.CrashMark {
	var list []*gossippb.CrashMark
	for _, m := range marks {
		if isRegionPermitted(m.GetRegions(), region) {
			list = append(list, m)
		}
	}
	return list
}

// takePending returns and clears the marks that changed since the last call. A mark with a count of 0 deletes the
// counts of all gateways, because the request has succeeded.
func (m *crashMarkTable) takePending() []*gossippb.CrashMark {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := m.pending
	m.pending = nil
	return pending
}

// Merge merges the counts of the gateway named from. These may be counts of this gateway itself, which others still
// have after its restart. region is the region of this gateway; marks that must not be stored there are ignored.
func (m *crashMarkTable) Merge(now time.Duration, from, region string, marks []*gossippb.CrashMark) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, in := range marks {
		if len(in.GetFingerprint()) != fingerprintBytes || !isRegionPermitted(in.GetRegions(), region) {
			continue
		}
		f := fingerprint(in.GetFingerprint())
		if in.GetCount() == 0 {
			delete(m.marks, f)
			continue
		}
		mark := m.findOrAdd(now, f, in.GetRegions())
		mark.counts[from] = max(mark.counts[from], int(in.GetCount()))
		life := min(time.Duration(in.GetRemainingMs())*time.Millisecond, markLifetime)
		mark.expires = max(mark.expires, now+life)
	}
}
