package control

import (
	"math/rand/v2"
	"time"
)

const (
	// reconnectInterval is the time between two attempts to reach a peer. It is short, because after a restart of all
	// replicas each of them waits until a majority has opened its listeners.
	reconnectInterval = 50 * time.Millisecond
	// promptReconnects is the number of failed attempts in a row after which the interval grows. A handshake for each
	// short interval would keep a busy peer from answering.
	promptReconnects = 20
	// maxReconnectInterval is shorter than an election timeout, so that a peer that returns is reached before it
	// campaigns.
	maxReconnectInterval = 400 * time.Millisecond
	// reconnectJitter is the largest random deviation of an interval, as a share of it.
	reconnectJitter = 0.2
)

// reconnectDelay returns the time until the next attempt to reach a peer after a number of failed ones in a row. random
// is in [0, 1).
func reconnectDelay(failures int, random float64) time.Duration {
	delay := reconnectInterval
	for n := promptReconnects; n < failures && delay < maxReconnectInterval; n++ {
		delay *= 2
	}
	delay = min(delay, maxReconnectInterval)
	return time.Duration(float64(delay) * (1 + reconnectJitter*(2*random-1)))
}

// waitToReconnect counts a failed attempt and waits until the next one is due.
func (s *sender) waitToReconnect(t *transport) {
	s.failures++
	sleep(t.ctx, reconnectDelay(s.failures, rand.Float64()))
}
