package balance

import "sync/atomic"

// ticketSlots is the number of attempts per server whose end is protected against a second Done.
const ticketSlots = 64

// ticketTries is the number of slots tried for a new attempt.
const ticketTries = 4

// tickets remembers which attempts are open, so that a second Done has no effect.
type tickets struct {
	next atomic.Uint64
	open [ticketSlots]atomic.Uint64
}

// issue returns a ticket, or 0 when no slot was free; such an attempt is not protected.
func (t *tickets) issue() uint64 {
	for range ticketTries {
		id := t.next.Add(1)
		if t.open[id%ticketSlots].CompareAndSwap(0, id) {
			return id
		}
	}
	return 0
}

// close reports whether the ticket was still open, and closes it.
func (t *tickets) close(id uint64) bool {
	if id == 0 {
		return true
	}
	return t.open[id%ticketSlots].CompareAndSwap(id, 0)
}
