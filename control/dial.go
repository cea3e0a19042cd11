package control

import (
	"crypto/tls"
	"time"

	"heatherwall.example/api"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// Reconnecting waits at most this long, so that a healed cut is noticed soon.
const maxReconnectDelay = time.Second

// dial opens a connection to one address.
func dial(address string, c *tls.Config) (*grpc.ClientConn, error) {
	return api.DialDaemon(address, c,
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: time.Second,
		}),
	)
}
