package gateway

import (
	"sync"
	"time"

	"heatherwall.example/api/gossippb"
)

// Limits of crash marks, see section 5.8 of docs/design.md.
const (
	// poisonThreshold is the number of crashes from which on a request is refused.
	poisonThreshold = 2
	markLifetime    = time.Minute
	// maxMarks is the maximum number of marks in memory; the mark that expires first is evicted.
	maxMarks = 10_000
	// maxPending is the maximum number of marks that wait to be pushed. Others are propagated by gossip exchanges.
	maxPending = 256
)

// crashMark counts the connections that broke while a request with one fingerprint was in flight on them. Each gateway
// sends only its own counts, so that the sum over all gateways counts every broken connection once.
type crashMark struct {
	counts  map[string]int // by gateway name
	expires time.Duration
	regions []string // regions that may hold the mark; empty for all
}

func (m *crashMark) total() int {
	n := 0
	for _, c := range m.counts {
		n += c
	}
	return n
}

// crashMarkTable holds the crash marks that one gateway knows. It is safe for concurrent use.
type crashMarkTable struct {
	self string
	// threshold is poisonThreshold, or reportedPoisonThreshold if control replicas sum the counts.
	threshold int

	mu      sync.Mutex
	marks   map[fingerprint]*crashMark
	pending []*gossippb.CrashMark
}

func newCrashMarkTable(self string) *crashMarkTable {
	return &crashMarkTable{self: self, threshold: poisonThreshold, marks: map[fingerprint]*crashMark{}}
}

// RefusedFor returns how long requests with the fingerprint are still refused; 0 if they are not.
func (m *crashMarkTable) RefusedFor(now time.Duration, f fingerprint) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	mark := m.unexpired(now, f)
	if mark == nil || mark.total() < m.threshold {
		return 0
	}
	return mark.expires - now
}

// RecordCrash counts a connection that broke while the request was in flight, and reports whether the request has
// reached the threshold.
func (m *crashMarkTable) RecordCrash(now time.Duration, f fingerprint, regions []string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mark := m.findOrAdd(now, f, regions)
	mark.counts[m.self]++
	mark.expires = now + markLifetime
	m.addPending(mark.toProto(now, f, m.self))
	return mark.total() >= m.threshold
}

// Clear deletes the mark of a request that succeeded, here and, by a pending mark with count 0, at other gateways.
func (m *crashMarkTable) Clear(now time.Duration, f fingerprint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mark := m.unexpired(now, f)
	if mark == nil {
		return
	}
	delete(m.marks, f)
	m.addPending(&gossippb.CrashMark{Fingerprint: f[:], RemainingMs: uint32(markLifetime.Milliseconds()), Regions: mark.regions})
}

func (m *crashMarkTable) addPending(mark *gossippb.CrashMark) {
	if len(m.pending) < maxPending {
		m.pending = append(m.pending, mark)
	}
}

// unexpired returns the mark of a fingerprint, or nil. It deletes an expired mark.
func (m *crashMarkTable) unexpired(now time.Duration, f fingerprint) *crashMark {
	mark := m.marks[f]
	if mark != nil && mark.expires <= now {
		delete(m.marks, f)
		return nil
	}
	return mark
}

func (m *crashMarkTable) findOrAdd(now time.Duration, f fingerprint, regions []string) *crashMark {
	mark := m.unexpired(now, f)
	if mark == nil {
		m.evict(now)
		mark = &crashMark{counts: map[string]int{}, regions: regions}
		m.marks[f] = mark
	}
	return mark
}

// evict deletes all expired marks if the table is full, and the one that expires first if it still is.
func (m *crashMarkTable) evict(now time.Duration) {
	if len(m.marks) < maxMarks {
		return
	}
	var oldest fingerprint
	first := true
	for f, mark := range m.marks {
		if mark.expires <= now {
			delete(m.marks, f)
			continue
		}
		if first || mark.expires < m.marks[oldest].expires {
			oldest, first = f, false
		}
	}
	if len(m.marks) >= maxMarks {
		delete(m.marks, oldest)
	}
}
