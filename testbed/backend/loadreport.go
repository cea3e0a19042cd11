package backend

import (
	"fmt"
	"sync"
	"time"
)

// loadReport produces the value of the load header. With LaggingReport it repeats an earlier value until that is older
// than lag.
type loadReport struct {
	mu      sync.Mutex
	mode    ReportMode
	lag     time.Duration
	takenAt time.Time
	value   string
}

// overloadFactor is the ratio of requests to slots that OverloadReport claims.
const overloadFactor = 3

func (l *loadReport) set(mode ReportMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
}

func (l *loadReport) header(now time.Time, inFlight, slots int) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.mode {
	case IdleReport:
		return fmt.Sprintf("0/%d", slots)
	case OverloadReport:
		return fmt.Sprintf("%d/%d", overloadFactor*slots, slots)
	case LaggingReport:
		return l.laggingHeader(now, inFlight, slots)
	}
	return fmt.Sprintf("%d/%d", inFlight, slots)
}

func (l *loadReport) laggingHeader(now time.Time, inFlight, slots int) string {
	if l.value == "" || now.Sub(l.takenAt) >= l.lag {
		l.takenAt = now
		l.value = fmt.Sprintf("%d/%d", inFlight, slots)
	}
	return l.value
}
