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

// dialer opens connections in the name of this replica.
type dialer struct {
	// tls is nil on a network without certificates; name and address introduce the replica there.
	tls           *tls.Config
	name, address string
}

// dial opens a connection to one address.
func (d dialer) dial(address string) (*grpc.ClientConn, error) {
	return api.DialDaemon(address, d.tls, api.WithCallerIdentity(d.name, d.address),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: api.ConnectTimeout,
		}),
	)
}
