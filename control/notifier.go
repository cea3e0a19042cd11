package control

import "sync"

// watchers wakes the streams to gateways when the catalogue changes.
type changeNotifier struct {
	mu          sync.Mutex
	index       uint64
	subscribers map[chan struct{}]bool
}

// add returns a channel that receives a value after each change; several changes may share one.
func (w *changeNotifier) subscribe() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.subscribers == nil {
		w.subscribers = map[chan struct{}]bool{}
	}
	c := make(chan struct{}, 1)
	w.subscribers[c] = true
	return c
}

func (w *changeNotifier) unsubscribe(c chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.subscribers, c)
}

// notify wakes every stream if the index of the catalogue has changed.
func (w *changeNotifier) notify(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if index == w.index {
		return
	}
	w.index = index
	for c := range w.subscribers {
		select {
		case c <- struct{}{}:
		default: // it has not seen the last change either
		}
	}
}
