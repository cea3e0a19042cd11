package api

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// flowControlWindowBytes is the fixed flow-control window of a stream and of a connection between daemons. Without a fixed
// window, gRPC pings the other side after nearly every message to estimate the bandwidth, which took about a third of the
// bytes that the leader of the configuration group sent. Snapshots, the largest messages, still reach 40 MB/s at a round-trip
// time of 24 ms.
const flowControlWindowBytes = 1 << 20

// Dial returns a client connection to one address, in plain text if c is nil. It does not wait until the connection is
// established. Name resolution, load balancing, retries, proxies and service configuration of gRPC are disabled, because the
// caller decides which instance to ask and whether to send a request again.
func Dial(address string, c *tls.Config, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(transportCredentials(c)),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
	}
	return grpc.NewClient("passthrough:///"+address, append(options, extra...)...)
}

// transportCredentials returns the credentials for a TLS configuration, or plain text for nil.
func transportCredentials(c *tls.Config) credentials.TransportCredentials {
	if c == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c)
}

// maxReconnectDelay bounds the backoff between two attempts of one client connection, so that the end of a network partition
// is noticed soon.
const maxReconnectDelay = time.Second

// DialDaemon is Dial for connections between daemons, with fixed flow-control windows. Each attempt to connect is limited by
// ConnectTimeout for TCP and by OpenTimeout as a whole. reconnectDelay is the delay after the first failed attempt; it doubles
// with each further one.
func DialDaemon(address string, c *tls.Config, reconnectDelay time.Duration, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := []grpc.DialOption{
		grpc.WithStaticStreamWindowSize(flowControlWindowBytes),
		grpc.WithStaticConnWindowSize(flowControlWindowBytes),
		grpc.WithContextDialer(ConnectTCP),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectDelay, Multiplier: 2, Jitter: 0.2, MaxDelay: maxReconnectDelay},
			MinConnectTimeout: OpenTimeout,
		}),
	}
	return Dial(address, c, append(options, extra...)...)
}

// ConnectTCP opens a TCP connection to an address within ConnectTimeout.
func ConnectTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: ConnectTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// NewServer returns the gRPC server of a daemon, in plain text if c is nil. It accepts messages of at most maxMessageBytes.
func NewServer(c *tls.Config, maxMessageBytes int, extra ...grpc.ServerOption) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.Creds(transportCredentials(c)),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.StaticStreamWindowSize(flowControlWindowBytes),
		grpc.StaticConnWindowSize(flowControlWindowBytes),
	}
	return grpc.NewServer(append(options, extra...)...)
}
