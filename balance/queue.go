package balance

import (
	"container/heap"
	"sync"
	"time"
)

// QueueConfig limits a Queue. Zero fields take the default named in the comment.
type QueueConfig struct {
	// MaxLength is the number of requests that may wait; default 64.
	MaxLength int
	// MaxWait is the longest time that a request may wait; default 50 ms.
	MaxWait time.Duration
}

// Defaults of QueueConfig.
const (
	DefaultQueueLength = 64
	DefaultQueueWait   = 50 * time.Millisecond
)

// wakeIntervalWeight is the weight of a new sample in Queue.wakeInterval.
const wakeIntervalWeight = 0.1

// Queue holds the few requests of one service that wait for a server, ordered by deadline. It is safe for concurrent
// use. When an attempt of the service ends, one waiter is woken and calls Pick again.
type Queue struct {
	mu      sync.Mutex
	config  QueueConfig
	waiting waiters
	// wakeInterval is the mean time between two wake-ups in ns; 0 while unknown.
	wakeInterval float64
	lastWake     time.Duration
}

// Waiter is a request in a Queue.
type Waiter struct {
	// Woken is closed when the request may call Pick again.
	Woken    chan struct{}
	deadline time.Duration
	index    int
}

// NewQueue returns an empty queue.
func NewQueue(c QueueConfig) *Queue {
	if c.MaxLength == 0 {
		c.MaxLength = DefaultQueueLength
	}
	if c.MaxWait == 0 {
		c.MaxWait = DefaultQueueWait
	}
	return &Queue{config: c}
}

// Enter adds a request. It refuses at once if the queue is full, or if the request is not expected to be woken before its
// deadline and within MaxWait. Times are monotonic.
func (q *Queue) Enter(now, deadline time.Duration) (*Waiter, Refusal) {
	q.mu.Lock()
	defer q.mu.Unlock()
	deadline = min(deadline, now+q.config.MaxWait)
	if len(q.waiting) >= q.config.MaxLength || now+q.expectedWait(deadline) >= deadline {
		return nil, newRefusal(ReasonOverloaded)
	}
	w := &Waiter{Woken: make(chan struct{}), deadline: deadline}
	heap.Push(&q.waiting, w)
	return w, Refusal{}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting)
}

// Leave removes a request that no longer waits. It has no effect on a request that was woken.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&q.waiting, w.index)
	}
}

// WakeNext wakes the request with the earliest deadline that has not passed, and returns it, or nil if there is none.
// Requests whose deadline has passed are dropped. Call it after each Attempt.Done.
func (q *Queue) WakeNext(now time.Duration) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.lastWake = 0
		return nil
	}
	q.updateWakeInterval(now)
	for len(q.waiting) > 0 {
		w := heap.Pop(&q.waiting).(*Waiter)
		if w.deadline > now {
			close(w.Woken)
			return w
		}
	}
	return nil
}

// updateWakeInterval updates the mean time between two wake-ups while requests wait.
func (q *Queue) updateWakeInterval(now time.Duration) {
	if q.lastWake > 0 && now > q.lastWake {
		sample := float64(now - q.lastWake)
		if q.wakeInterval == 0 {
			q.wakeInterval = sample
		}
		q.wakeInterval += (sample - q.wakeInterval) * wakeIntervalWeight
	}
	q.lastWake = now
}

// expectedWait returns the expected time until a request with this deadline is woken.
func (q *Queue) expectedWait(deadline time.Duration) time.Duration {
	before := 0
	for _, w := range q.waiting {
		if w.deadline <= deadline {
			before++
		}
	}
	return time.Duration(q.wakeInterval * float64(before))
}

// waiters is a heap ordered by deadline.
type waiters []*Waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return w[i].deadline < w[j].deadline }
func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push implements heap.Interface.
func (w *waiters) Push(x any) {
	v := x.(*Waiter)
	v.index = len(*w)
	*w = append(*w, v)
}

// Pop implements heap.Interface.
func (w *waiters) Pop() any {
	last := len(*w) - 1
	v := (*w)[last]
	v.index = -1
	(*w)[last] = nil
	*w = (*w)[:last]
	return v
}
