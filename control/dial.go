package control

import (
	"crypto/tls"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
)

// Reconnecting waits at most this long, so that a healed cut is noticed soon.
const maxReconnectDelay = time.Second

// dial opens a connection to one address. Balancing, retries and service configuration of the library stay off: which
// peer is asked, and whether a request may be sent again, is decided here.
func dial(address string, c *tls.Config) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(credentials.NewTLS(c)),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: time.Second,
		}),
	)
}
