package gateway

import (
	"sync"

	"google.golang.org/grpc"
)

// connections keeps one connection for each peer address.
type connections struct {
	dial dialFunc

	mu   sync.Mutex
	open map[string]*grpc.ClientConn
}

func newConnections(dial dialFunc) *connections {
	return &connections{dial: dial, open: map[string]*grpc.ClientConn{}}
}

// get returns the connection to an address, whose certificate must carry name. An empty name accepts any instance.
func (c *connections) get(name, address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.open[address]; conn != nil {
		return conn, nil
	}
	conn, err := c.dial(name, address)
	if err != nil {
		return nil, err
	}
	c.open[address] = conn
	return conn, nil
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
