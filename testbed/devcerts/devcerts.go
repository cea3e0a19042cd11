// Package devcerts makes a certificate authority and instance certificates for setups on loopback. They are for
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
	// backdate keeps certificates valid on instances whose clock is behind.
	backdate   = time.Hour
	serialBits = 120
	keyMode    = 0o600
	textMode   = 0o644
	folderMode = 0o755
)

// AuthorityName is the file name of the authority's certificate, without its ending.
const AuthorityName = "ca"

// WriteError reports a certificate or key that could not be made or written.
type WriteError struct {
	Name  string
	Cause error
}

func (e *WriteError) Error() string { return fmt.Sprintf("certificate %s: %v", e.Name, e.Cause) }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

type pair struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// Write makes an authority and one certificate for each name in folder: NAME.pem and NAME.key, with the name as common
// name, for servers and clients at 127.0.0.1.
func Write(folder string, names []string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return &WriteError{Name: folder, Cause: err}
	}
	authority, err := makePair(folder, AuthorityName, nil)
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, err := makePair(folder, name, authority); err != nil {
			return err
		}
	}
	return nil
}

// makePair writes one certificate and its key. Without a signer it makes an authority that signs itself.
func makePair(folder, name string, signer *pair) (*pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &WriteError{Name: name, Cause: err}
	}
	template, err := newTemplate(name, signer == nil)
	if err != nil {
		return nil, &WriteError{Name: name, Cause: err}
	}
	p := &pair{certificate: template, key: key}
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

func (p *pair) write(folder, name string, der []byte) error {
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
