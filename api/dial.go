package api

import (
	"crypto/tls"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// windowBytes is the fixed flow-control window of a stream and of a connection between daemons. Without a fixed window
// the library pings the other side after nearly every message to estimate the bandwidth, which cost the leader of the
// control group about a third of its bytes. Snapshots, the largest messages, still pass at 40 MB/s over a round trip of
// 24 ms.
const windowBytes = 1 << 20

// Dial opens a connection to one address, in plain text without a TLS configuration; it does not wait for it. Name resolution, balancing, retries, proxies and
// service configuration of the library stay off: which instance is asked, and whether a request may be sent again, is
// decided by the caller.
func Dial(address string, c *tls.Config, more ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(transportCredentials(c)),
		grpc.WithNoProxy(),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
	}
	return grpc.NewClient("passthrough:///"+address, append(options, more...)...)
}

// transportCredentials are those of a TLS configuration; without one, connections are in plain text.
func transportCredentials(c *tls.Config) credentials.TransportCredentials {
	if c == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c)
}

// DialDaemon is Dial from one daemon to another.
func DialDaemon(address string, c *tls.Config, more ...grpc.DialOption) (*grpc.ClientConn, error) {
	windows := []grpc.DialOption{grpc.WithStaticStreamWindowSize(windowBytes), grpc.WithStaticConnWindowSize(windowBytes)}
	return Dial(address, c, append(windows, more...)...)
}

// NewServer returns the gRPC server of a daemon. It accepts requests of at most maxMessageBytes.
func NewServer(c *tls.Config, maxMessageBytes int, more ...grpc.ServerOption) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.Creds(transportCredentials(c)),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
	}
	return grpc.NewServer(append(options, more...)...)
}
