// Package devcerts creates a certificate authority and instance certificates for setups on loopback. They are for
// development only.
package devcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

const (
	validity = 365 * 24 * time.Hour
	// backdate makes certificates valid on instances whose clock is slow.
	backdate   = time.Hour
	serialBits = 120
	keyMode    = 0o600
	textMode   = 0o644
	folderMode = 0o755
)

// AuthorityName is the file name of the authority's certificate without its extension.
const AuthorityName = "ca"

// WriteError reports a certificate or key that could not be created or written.
type WriteError struct {
	Name  string
	Cause error
}

func (e *WriteError) Error() string { return fmt.Sprintf("certificate %s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// keyPair is a certificate with its private key.
type keyPair struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Write creates an authority and, for each name, a certificate and key in folder: NAME.pem and NAME.key. The name is the
// common name, and the certificate is valid for servers and clients at 127.0.0.1.
func Write(folder string, names []string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return &WriteError{Name: folder, Cause: err}
	}
	authority, err := writeKeyPair(folder, AuthorityName, nil)
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, err := writeKeyPair(folder, name, authority); err != nil {
			return err
		}
	}
	return nil
}

// writeKeyPair creates and writes one certificate and its key. Without a signer it creates a self-signed authority.
func writeKeyPair(folder, name string, signer *keyPair) (*keyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &WriteError{Name: name, Cause: err}
	}
	template, err := newTemplate(name, signer == nil)
	if err != nil {
		return nil, &WriteError{Name: name, Cause: err}
	}
	p := &keyPair{certificate: template, key: key}
	if signer == nil {
		signer = p
	}
	der, err := x509.CreateCertificate(rand.Reader, template, signer.certificate, &key.PublicKey, signer.key)
	if err != nil {
		return nil, &WriteError{Name: name, Cause: err}
	}
	return p, p.write(folder, name, der)
}

func newTemplate(name string, authority bool) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	t := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-backdate),
		NotAfter:              time.Now().Add(validity),
		BasicConstraintsValid: true,
	}
	if authority {
		t.IsCA = true
		t.KeyUsage = x509.KeyUsageCertSign
		return t, nil
	}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	return t, nil
}

func (p *keyPair) write(folder, name string, der []byte) error {
	secret, err := x509.MarshalPKCS8PrivateKey(p.key)
	if err != nil {
		return &WriteError{Name: name, Cause: err}
	}
	base := filepath.Join(folder, name)
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	if err := os.WriteFile(base+".pem", text, textMode); err != nil {
		return &WriteError{Name: name, Cause: err}
	}
	text = pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: secret})
	if err := os.WriteFile(base+".key", text, keyMode); err != nil {
		return &WriteError{Name: name, Cause: err}
	}
	return nil
}
