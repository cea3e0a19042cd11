package backend

import (
	"fmt"
	"sync"
	"time"
)

// loadReport is the value of the load header. A lagging report repeats an older value.
type loadReport struct {
	mu    sync.Mutex
	kind  ReportMode
	lag   time.Duration
	taken time.Time
	value string
}

// fullLoad is the load that OverloadReport claims, in times of the slots.
const fullLoad = 3

func (l *loadReport) set(kind ReportMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.kind = kind
}

func (l *loadReport) text(now time.Time, inFlight, slots int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.kind {
	case IdleReport:
		return fmt.Sprintf("0/%d", slots)
	case OverloadReport:
		return fmt.Sprintf("%d/%d", fullLoad*slots, slots)
	case LaggingReport:
		return l.lagging(now, inFlight, slots)
	}
	return fmt.Sprintf("%d/%d", inFlight, slots)
}

func (l *loadReport) lagging(now time.Time, inFlight, slots int) string {
	if l.value == "" || now.Sub(l.taken) >= l.lag {
		l.taken = now
		l.value = fmt.Sprintf("%d/%d", inFlight, slots)
	}
	return l.value
}
