package balance

import "sync/atomic"

// ticketSlots is the number of open attempts per server that are protected against a second Done.
const ticketSlots = 64

// ticketTries is the number of slots tried for a new attempt.
const ticketTries = 4

// tickets records which attempts are open, so that a second Done has no effect.
type tickets struct {
	next atomic.Uint64
	open [ticketSlots]atomic.Uint64
}

// issue returns the ticket of a new attempt, or 0 if no slot is free; such an attempt is not protected.
func (t *tickets) issue() uint64 {
	for range ticketTries {
		id := t.next.Add(1)
		if t.open[id%ticketSlots].CompareAndSwap(0, id) {
			return id
		}
	}
	return 0
}

// release frees the slot of a ticket and reports whether the attempt was still open.
func (t *tickets) release(id uint64) bool {
	if id == 0 {
		return true
	}
	return t.open[id%ticketSlots].CompareAndSwap(id, 0)
}
