package gateway

import (
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/status"
)

// unansweredTimeout is the time since the last answer after which a failed call closes the connection. A network
// partition causes no reset, and after it heals the old connection waits for a TCP retransmission whose backoff is
// about as long as the partition lasted.
const unansweredTimeout = 2 * time.Second

// handshakeBytes is charged to the measurement budget of each side for a new connection between gateways. A TLS 1.3
// handshake with certificates on both sides takes 2,035 bytes at the side that opens the connection and 1,933 at the
// other, without packet headers.
const handshakeBytes = 2300

// connectionPool keeps one gRPC connection for each peer address.
type connectionPool struct {
	dial dialFunc

	mu   sync.Mutex
	open map[string]*peerConnection
}

// peerConnection is an open connection with the time of the last answer on it.
type peerConnection struct {
	*grpc.ClientConn
	address        string
	lastAnsweredAt time.Time
}

func newConnectionPool(dial dialFunc) *connectionPool {
	return &connectionPool{dial: dial, open: map[string]*peerConnection{}}
}

// get returns the connection to an address, whose certificate must carry name. An empty name accepts any instance.
func (c *connectionPool) get(name, address string) (*peerConnection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open := c.open[address]; open != nil {
		return open, nil
	}
	conn, err := c.dial(name, address)
	if err != nil {
		return nil, err
	}
	open := &peerConnection{ClientConn: conn, address: address, lastAnsweredAt: time.Now()}
	c.open[address] = open
	return open, nil
}

// nextHandshakeBytes returns the bytes that the next call to an address spends on a handshake; 0 if a connection is
// ready.
func (c *connectionPool) nextHandshakeBytes(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if open := c.open[address]; open != nil && open.GetState() == connectivity.Ready {
		return 0
	}
	return handshakeBytes
}

// recordResult records the result of a call. If the call failed and the last answer is older than unansweredTimeout,
// the connection is closed, and the next call opens a new one.
func (c *connectionPool) recordResult(conn *peerConnection, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if isPeerAnswer(err) {
		conn.lastAnsweredAt = time.Now()
		return
	}
	if time.Since(conn.lastAnsweredAt) > unansweredTimeout && c.open[conn.address] == conn {
		_ = conn.Close()
		delete(c.open, conn.address)
	}
}

// isPeerAnswer reports whether the peer answered the call; an error that the peer returned is an answer.
func isPeerAnswer(err error) bool {
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable, codes.Canceled:
		return false
	}
	return true
}

// keepOnly closes the connections to all addresses that are not in used.
func (c *connectionPool) keepOnly(used map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.open {
		if !used[address] {
			_ = conn.Close()
			delete(c.open, address)
		}
	}
}

func (c *connectionPool) close() {
	c.keepOnly(nil)
}
