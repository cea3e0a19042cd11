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

// windowBytes is the fixed flow-control window of a stream and of a connection. Without a fixed window the library
// pings the other side after nearly every message to estimate the bandwidth, which cost the leader about a third of
// its bytes. Snapshots, the largest messages, still pass at 40 MB/s over a round trip of 24 ms.
const windowBytes = 1 << 20

// dial opens a connection to one address. Balancing, retries and service configuration of the library stay off: which
// peer is asked, and whether a request may be sent again, is decided here.
func dial(address string, c *tls.Config) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(credentials.NewTLS(c)),
		grpc.WithNoProxy(),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 50 * time.Millisecond, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: time.Second,
		}),
	)
}
