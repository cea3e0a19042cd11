package gateway

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	"heatherwall.example/settings"
)

// PeerNameError reports a peer whose certificate carries another instance name than expected.
type PeerNameError struct {
	Expected string
	Got      string
}

func (e *PeerNameError) Error() string {
	return fmt.Sprintf("peer certificate is for %q, expected %q", e.Got, e.Expected)
}

// identity is the certificate of this instance and the authority that signs those of its peers.
type identity struct {
	certificate tls.Certificate
	roots       *x509.CertPool
}

// loadIdentity reads the files of a peer listener. A file that cannot be used gives *settings.FileError.
func loadIdentity(t *settings.TLS) (*identity, error) {
	c, err := t.Load()
	if err != nil {
		return nil, err
	}
	return &identity{certificate: c.Certificates[0], roots: c.RootCAs}, nil
}

func (i *identity) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{i.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    i.roots,
	}
}

// clientConfig accepts a peer whose certificate is signed by the authority and whose common name is name. Peers are
// known by instance name, not by host name, so the host name check of crypto/tls is replaced. An empty name accepts
// any instance of the setup.
func (i *identity) clientConfig(name string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{i.certificate},
		InsecureSkipVerify: true, // VerifyConnection below checks the chain and the instance name
		VerifyConnection: func(s tls.ConnectionState) error {
			return i.verify(s, name)
		},
	}
}

func (i *identity) verify(s tls.ConnectionState, name string) error {
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	leaf := s.PeerCertificates[0]
	if _, err := leaf.Verify(x509.VerifyOptions{Roots: i.roots, Intermediates: intermediates}); err != nil {
		return fmt.Errorf("peer certificate: %w", err)
	}
	if name != "" && leaf.Subject.CommonName != name {
		return &PeerNameError{Expected: name, Got: leaf.Subject.CommonName}
	}
	return nil
}

// dialFunc opens a connection to the peer listener of an instance; it does not wait for the connection.
type dialFunc func(name, address string) (*grpc.ClientConn, error)

// dialPeers returns a dialFunc with mutual TLS. grpc-go's name resolution, balancing, retries and proxies stay unused.
func dialPeers(i *identity) dialFunc {
	return func(name, address string) (*grpc.ClientConn, error) {
		return grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(credentials.NewTLS(i.clientConfig(name))),
			grpc.WithNoProxy(),
			grpc.WithDisableRetry(),
			grpc.WithDisableServiceConfig(),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxPeerMessageBytes)),
		)
	}
}

// maxPeerMessageBytes bounds one message from a peer; a whole document with its gateway list fits.
const maxPeerMessageBytes = 16 << 20
