package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// FileError reports a file named in the settings that cannot be used.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("file %s: %v", e.Path, e.Err)
}

func (e *FileError) Unwrap() error {
	return e.Err
}

// AuthorityError reports an authority file without a valid PEM certificate.
type AuthorityError struct{}

func (e *AuthorityError) Error() string {
	return "expected at least one PEM certificate"
}

// Load reads the files and returns a configuration for both servers and clients. If an authority is set, the other side must
// present a certificate that the authority signed. The error is a *FileError.
func (t *TLS) Load() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, &FileError{Path: t.Certificate, Err: err}
	}
	c := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}
	if t.Authority == "" {
		return c, nil
	}
	pem, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, &FileError{Path: t.Authority, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &FileError{Path: t.Authority, Err: &AuthorityError{}}
	}
	c.RootCAs = pool
	c.ClientCAs = pool
	c.ClientAuth = tls.RequireAndVerifyClientCert
	return c, nil
}
