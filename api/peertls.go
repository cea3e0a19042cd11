package api

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
)

// PeerNameError reports a peer whose certificate is for another instance name than expected.
type PeerNameError struct {
	Expected string
	Got      string
}

func (e *PeerNameError) Error() string {
	return fmt.Sprintf("peer certificate is for %q, expected %q", e.Got, e.Expected)
}

// PeerTLS returns the client configuration for mutual TLS with an instance of the cluster. It presents the certificates, and
// accepts a peer whose certificate is signed by an authority in roots and has name as its common name. This replaces the host
// name check of crypto/tls, because certificates contain no addresses. An empty name accepts any instance of the cluster.
func PeerTLS(certificates []tls.Certificate, roots *x509.CertPool, name string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       certificates,
		InsecureSkipVerify: true, // VerifyConnection below checks the chain and the instance name
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyPeer(s, roots, name)
		},
	}
}

func verifyPeer(s tls.ConnectionState, roots *x509.CertPool, name string) error {
	got, err := VerifyChain(s, roots)
	if err != nil {
		return fmt.Errorf("peer certificate: %w", err)
	}
	if name != "" && got != name {
		return &PeerNameError{Expected: name, Got: got}
	}
	return nil
}

// VerifyChain checks that the certificate of the other side is signed by an authority in roots. It returns the common name
// of the certificate even if the check fails. The errors are those of x509.Certificate.Verify.
func VerifyChain(s tls.ConnectionState, roots *x509.CertPool) (commonName string, err error) {
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	leaf := s.PeerCertificates[0]
	_, err = leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
	return leaf.Subject.CommonName, err
}
