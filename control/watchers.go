package control

import "sync"

// watchers wakes the streams to gateways when the catalogue changes.
type watchers struct {
	mu    sync.Mutex
	index uint64
	wake  map[chan struct{}]bool
}

// add returns a channel that receives a value after each change; several changes may share one.
func (w *watchers) add() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wake == nil {
		w.wake = map[chan struct{}]bool{}
	}
	c := make(chan struct{}, 1)
	w.wake[c] = true
	return c
}

func (w *watchers) remove(c chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.wake, c)
}

// notify wakes every stream if the index of the catalogue has changed.
func (w *watchers) notify(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if index == w.index {
		return
	}
	w.index = index
	for c := range w.wake {
		select {
		case c <- struct{}{}:
		default: // it has not seen the last change either
		}
	}
}
