package control

import "sync"

// changeNotifier notifies its subscribers, the streams to gateways, when the catalogue changes.
type changeNotifier struct {
	mu          sync.Mutex
	index       uint64
	subscribers map[chan struct{}]bool
}

// subscribe returns a channel that receives a value after a change; several changes may be combined into one value.
func (n *changeNotifier) subscribe() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subscribers == nil {
		n.subscribers = map[chan struct{}]bool{}
	}
	c := make(chan struct{}, 1)
	n.subscribers[c] = true
	return c
}

func (n *changeNotifier) unsubscribe(c chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.subscribers, c)
}

// notify sends a value to every subscriber if the index of the catalogue differs from the last one.
func (n *changeNotifier) notify(index uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if index == n.index {
		return
	}
	n.index = index
	for c := range n.subscribers {
		select {
		case c <- struct{}{}:
		default: // a previous value is still unread
		}
	}
}
