package control

import (
	"path/filepath"
	"testing"
	"time"

	"heatherwall.example/settings"
	"heatherwall.example/testbed/devcerts"
	"heatherwall.example/testbed/relay"
)

// Guards against replicas that never reach each other while a TLS handshake takes longer than a TCP connection may.
func TestPeerOverSlowHandshake(t *testing.T) {
	folder := t.TempDir()
	if err := devcerts.Write(folder, []string{"c1"}); err != nil {
		t.Fatal(err)
	}
	path := func(file string) string { return filepath.Join(folder, file) }
	config, err := (&settings.TLS{Certificate: path("c1.pem"), Key: path("c1.key"), Authority: path(devcerts.AuthorityName + ".pem")}).Load()
	if err != nil {
		t.Fatal(err)
	}
	r, address := startWithoutIdentity(t, config)
	slow, err := relay.Start("127.0.0.1:0", address, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer slow.Close()
	slow.SetDelay(100 * time.Millisecond)                                  // a handshake takes four chunks
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); { // each attempt has a connection of its own
		if _, err = r.probe(t.Context(), slow.Address()); err == nil {
			return
		}
	}
	t.Errorf("probe: %v", err)
}
