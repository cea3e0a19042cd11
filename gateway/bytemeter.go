package gateway

import (
	"context"
	"net"
	"sync/atomic"

	"heatherwall.example/api"
)

// byteMeter counts the bytes that arrive on the connections it opens, also those of messages that are never completed.
type byteMeter struct {
	received atomic.Uint64
}

// dialContext opens a TCP connection whose received bytes are counted.
func (m *byteMeter) dialContext(ctx context.Context, address string) (net.Conn, error) {
	conn, err := api.ConnectTCP(ctx, address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{Conn: conn, meter: m}, nil
}

type meteredConn struct {
	net.Conn
	meter *byteMeter
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(uint64(n))
	return n, err
}
