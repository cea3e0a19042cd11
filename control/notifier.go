package control

import "sync"

// changeNotifier notifies its subscribers, the streams to gateways, when the catalogue changes.
type changeNotifier struct {
	mu          sync.Mutex
	index       uint64
	subscribers map[chan struct{}]bool
}

// subscribe returns a channel that receives a value after a change; several changes may be combined into one value.
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

// notify sends a value to every subscriber if the index of the catalogue differs from the last one.
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
		default: // a previous value is still unread
		}
	}
}
