package gateway

import (
	"crypto/tls"
	"crypto/x509"

	"google.golang.org/grpc"

	"heatherwall.example/api"
	"heatherwall.example/settings"
)

// identity holds the certificate of this instance and the authority of its peers' certificates. In plaintext mode the name
// alone identifies the instance to its peers.
type identity struct {
	name        string
	plaintext   bool
	certificate tls.Certificate
	roots       *x509.CertPool
}

// loadIdentity reads the certificate files of a peer listener. The error is *settings.FileError.
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

// dialFunc returns a connection to the peer listener of an instance, without waiting until it is established.
type dialFunc func(name, address string) (*grpc.ClientConn, error)

// dialPeers returns a dialFunc that uses mutual TLS, or plaintext if the identity has no certificate.
func dialPeers(i *identity, extra ...grpc.DialOption) dialFunc {
	return func(name, address string) (*grpc.ClientConn, error) {
		var c *tls.Config
		if !i.plaintext {
			c = api.PeerTLS([]tls.Certificate{i.certificate}, i.roots, name)
		}
		options := []grpc.DialOption{api.WithCallerIdentity(i.name, ""), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerMessageBytes))}
		return api.DialDaemon(address, c, replicaBackoff, append(options, extra...)...)
	}
}

// maxPeerMessageBytes limits one message from a peer; a complete document with its gateway list fits.
const maxPeerMessageBytes = 16 << 20
