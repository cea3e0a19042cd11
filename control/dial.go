package control

import (
	"crypto/tls"
	"time"

	"heatherwall.example/api"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
)

// maxReconnectDelay bounds the backoff between connection attempts, so that the end of a network partition is noticed
// soon.
const maxReconnectDelay = time.Second

// dialer opens connections that identify this replica.
type dialer struct {
	// tls is nil on a network without certificates; name and address identify the replica there.
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
