package gateway

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"
)

// unansweredLimit is how long a connection may stay without an answer before a failed call replaces it. A silent cut
// sends no reset, and after it heals the old connection waits for a retransmission that backs off as long as the cut
// lasted.
const unansweredLimit = 2 * time.Second

// handshakeBytes is charged to each side of a new connection between gateways. A TLS 1.3 handshake with certificates on
// both sides takes 2,035 bytes at the side that opens the connection and 1,933 at the other, without packet headers.
const handshakeBytes = 2300

// connections keeps one connection for each peer address.
type connections struct {
	dial dialFunc

	mu   sync.Mutex
	open map[string]*connection
}

// connection is an open connection and the time of the last answer on it.
type connection struct {
	*grpc.ClientConn
	address    string
	answeredAt time.Time
}

func newConnections(dial dialFunc) *connections {
	return &connections{dial: dial, open: map[string]*connection{}}
}

// get returns the connection to an address, whose certificate must carry name. An empty name accepts any instance.
func (c *connections) get(name, address string) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open := c.open[address]; open != nil {
		return open, nil
	}
	conn, err := c.dial(name, address)
	if err != nil {
		return nil, err
	}
	open := &connection{ClientConn: conn, address: address, answeredAt: time.Now()}
	c.open[address] = open
	return open, nil
}

// openingBytes is what the next call to an address sends beside its own frames: a handshake unless a connection is ready.
func (c *connections) openingBytes(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open := c.open[address]; open != nil && open.GetState() == connectivity.Ready {
		return 0
	}
	return handshakeBytes
}

// report notes how a call ended. A failed call closes a connection that has been without an answer for too long; the
// next call opens a new one.
func (c *connections) report(used *connection, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isAnswer(err) {
		used.answeredAt = time.Now()
		return
	}
	if time.Since(used.answeredAt) > unansweredLimit && c.open[used.address] == used {
		_ = used.Close()
		delete(c.open, used.address)
	}
}

// isAnswer tells whether the peer answered a call; an error of the peer is an answer.
func isAnswer(err error) bool {
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable, codes.Canceled:
		return false
	}
	return true
}

// keepOnly closes the connections to addresses that are not in use any more.
func (c *connections) keepOnly(used map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.open {
		if !used[address] {
			_ = conn.Close()
			delete(c.open, address)
		}
	}
}

func (c *connections) close() {
	c.keepOnly(nil)
}
