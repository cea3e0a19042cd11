package gateway

import (
	"crypto/tls"
	"crypto/x509"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"

	"heatherwall.example/api"
	"heatherwall.example/settings"
)

// identity is the certificate of this instance and the authority that signs those of its peers. Without certificates,
// name introduces it.
type identity struct {
	name        string
	plaintext   bool
	certificate tls.Certificate
	roots       *x509.CertPool
}

// loadIdentity reads the files of a peer listener. A file that cannot be used gives *settings.FileError.
func loadIdentity(name string, l settings.Listener) (*identity, error) {
	if l.TLS == nil {
		return &identity{name: name, plaintext: true}, nil
	}
	c, err := l.TLS.Load()
	if err != nil {
		return nil, err
	}
	return &identity{name: name, certificate: c.Certificates[0], roots: c.RootCAs}, nil
}

func (i *identity) serverConfig() *tls.Config {
	if i.plaintext {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.roots,
	}
}

// dialFunc opens a connection to the peer listener of an instance; it does not wait for the connection.
type dialFunc func(name, address string) (*grpc.ClientConn, error)

// connectParams retry soon: the library waits at least the base delay for each attempt to connect.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: replicaBackoff, Multiplier: 2, Jitter: 0.2, MaxDelay: time.Second},
	MinConnectTimeout: api.ConnectTimeout,
}

// dialPeers returns a dialFunc with mutual TLS, or in plain text without certificates.
func dialPeers(i *identity) dialFunc {
	return func(name, address string) (*grpc.ClientConn, error) {
		var c *tls.Config
		if !i.plaintext {
			c = api.PeerTLS([]tls.Certificate{i.certificate}, i.roots, name)
		}
		return api.DialDaemon(address, c, api.WithCallerIdentity(i.name, ""), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerMessageBytes)),
			grpc.WithConnectParams(connectParams))
	}
}

// maxPeerMessageBytes bounds one message from a peer; a whole document with its gateway list fits.
const maxPeerMessageBytes = 16 << 20
