package gateway

import (
	"sync"
	"time"

	"heatherwall.example/api/gossippb"
)

// Limits of crash marks, see section 5.8 of docs/design.md.
const (
	poisonThreshold = 2
	markLifetime    = time.Minute
	// maxMarks bounds the memory of marks; the oldest go first.
	maxMarks = 10_000
	// maxPending bounds the marks that wait to be pushed; exchanges of digests carry the rest.
	maxPending = 256
)

// crashMark counts broken connections on which one request was in flight. Each gateway sends only its own counts, so
// the sum over gateways counts every break once.
type crashMark struct {
	counts  map[string]int // by gateway
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

// poisonMarks holds the crash marks known to one gateway. It is safe for use by several goroutines.
type poisonMarks struct {
	self string
	// threshold is the number of crashes from which on a request is refused.
	threshold int

	mu      sync.Mutex
	marks   map[fingerprint]*crashMark
	pending []*gossippb.CrashMark
}

func newPoisonMarks(self string) *poisonMarks {
	return &poisonMarks{self: self, threshold: poisonThreshold, marks: map[fingerprint]*crashMark{}}
}

// RefusedFor returns how long the request is still refused; 0 when it is not.
func (m *poisonMarks) RefusedFor(now time.Duration, f fingerprint) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	mark := m.unexpired(now, f)
	if mark == nil || mark.total() < m.threshold {
		return 0
	}
	return mark.expires - now
}

// RecordCrash counts a broken connection with the request in flight and reports whether it is poison now.
func (m *poisonMarks) RecordCrash(now time.Duration, f fingerprint, regions []string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	mark := m.findOrAdd(now, f, regions)
	mark.counts[m.self]++
	mark.expires = now + markLifetime
	m.addPending(mark.toProto(now, f, m.self))
	return mark.total() >= m.threshold
}

// Clear forgets the marks of a request that succeeded.
func (m *poisonMarks) Clear(now time.Duration, f fingerprint) {
	m.mu.Lock()
	defer m.mu.Unlock()
	mark := m.unexpired(now, f)
	if mark == nil {
		return
	}
	delete(m.marks, f)
	m.addPending(&gossippb.CrashMark{Fingerprint: f[:], RemainingMs: uint32(markLifetime.Milliseconds()), Regions: mark.regions})
}

func (m *poisonMarks) addPending(mark *gossippb.CrashMark) {
	if len(m.pending) < maxPending {
		m.pending = append(m.pending, mark)
	}
}

func (m *poisonMarks) unexpired(now time.Duration, f fingerprint) *crashMark {
	mark := m.marks[f]
	if mark != nil && mark.expires <= now {
		delete(m.marks, f)
		return nil
	}
	return mark
}

func (m *poisonMarks) findOrAdd(now time.Duration, f fingerprint, regions []string) *crashMark {
	mark := m.unexpired(now, f)
	if mark == nil {
		m.evict(now)
		mark = &crashMark{counts: map[string]int{}, regions: regions}
		m.marks[f] = mark
	}
	return mark
}

// evict deletes expired marks, then the oldest one, when the table is full.
func (m *poisonMarks) evict(now time.Duration) {
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
