package balance

import (
	"sync"
	"time"
)

// Queue holds the few requests that wait for a server of one service, ordered by deadline. It is safe for concurrent
// use.
type Queue struct {
	mu      sync.Mutex
	config  QueueConfig
	waiting []*Waiter
}

// QueueConfig limits a Queue.
type QueueConfig struct {
	// MaxLength is the number of requests that may wait.
	MaxLength int
	// MaxWait is the longest time that a request may wait.
	MaxWait time.Duration
}

// Waiter is a request in a Queue.
type Waiter struct {
	// Woken is closed when the request may call Pick again.
	Woken    chan struct{}
	deadline time.Duration
}

// NewQueue returns an empty queue.
func NewQueue(c QueueConfig) *Queue { return &Queue{config: c} }

// Enter adds a request, or refuses early when its turn cannot come before its deadline. Times are monotonic.
func (q *Queue) Enter(now, deadline time.Duration) (*Waiter, Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= q.config.MaxLength {
		return nil, Refusal{Reason: ReasonOverloaded, RetryAfter: time.Second}
	}
	w := &Waiter{Woken: make(chan struct{}), deadline: deadline}
	q.waiting = append(q.waiting, w)
	return w, Refusal{}
}

// Leave removes a request that waits no longer, whether it was woken or not.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, x := range q.waiting {
		if x == w {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return
		}
	}
}

// Release wakes the request with the earliest deadline that can still be met; call it after each Attempt.Done. It
// returns the request it woke, or nil.
func (q *Queue) Release(now time.Duration) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	best := -1
	for i, w := range q.waiting {
		if w.deadline > now && (best < 0 || w.deadline < q.waiting[best].deadline) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	w := q.waiting[best]
	q.waiting = append(q.waiting[:best], q.waiting[best+1:]...)
	close(w.Woken)
	return w
}
