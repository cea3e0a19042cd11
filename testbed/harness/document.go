package harness

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// Names and secrets of the test document. The secrets protect nothing.
const (
	Member     = "acme"
	KeyID      = "test"
	Token      = "token-of-the-shop"
	Credential = "credential-of-every-service"
)

// Regions and failure domains of the test document.
const (
	NearRegion  = "erie"
	NearDomain1 = "erie-1"
	NearDomain2 = "erie-2"
	FarRegion   = "ontario"
	FarDomain1  = "ontario-1"
)

// Services of the test document with their paths. Requests to catalogue are idempotent and run in any region, those to
// ledger run at most once, and those to vault are idempotent and have the near region as their home region.
const (
	Catalogue     = "catalogue"
	CataloguePath = "/catalogue"
	Ledger        = "ledger"
	LedgerPath    = "/ledger"
	Vault         = "vault"
	VaultPath     = "/vault"
)

const documentTemplate = `format: 1
members:
  acme:
    keys:
      - {id: test, public_key: %[1]s}
    tenants:
      shop:
        callers:
          - {name: till, token_sha256: %[2]s}
topology:
  owner: acme
  regions:
    erie: [erie-1, erie-2]
    ontario: [ontario-1]
measuring:
  owner: acme
  within_region: 64KiB
  across_regions: 16KiB
services:
  catalogue:
    owner: acme
    credential_sha256: %[3]s
    workers: 12
    slots: 6
    connections: 220
    rules:
      - {name: read, methods: [GET], path: /catalogue, callers: [acme/*], idempotent: true, deadline: 5s}
  ledger:
    owner: acme
    credential_sha256: %[3]s
    claim_region: erie
    workers: 12
    slots: 6
    connections: 220
    rules:
      - {name: deposit, methods: [POST], path: /ledger, callers: [acme/*], idempotent: false, deadline: 5s}
  vault:
    owner: acme
    credential_sha256: %[3]s
    workers: 12
    slots: 6
    connections: 220
    rules:
      - {name: fetch, methods: [GET], path: /vault, callers: [acme/*], idempotent: true, home_regions: [erie], deadline: 5s}
`

// Document returns the text of the test document.
func Document() string { return FillDocument(documentTemplate) }

// FillDocument formats a document template with the public key of the test member as %[1]s, the hash of the token as
// %[2]s and the hash of the credential as %[3]s.
func FillDocument(template string) string {
	public := ed25519.NewKeyFromSeed(privateKeySeed()).Public().(ed25519.PublicKey)
	return fmt.Sprintf(template, base64.StdEncoding.EncodeToString(public), hexSHA256(Token), hexSHA256(Credential))
}

// privateKeySeed returns the seed of the private key of the test member.
func privateKeySeed() []byte {
	sum := sha256.Sum256([]byte("test key of " + Member))
	return sum[:]
}

func hexSHA256(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

// writeKey writes the key file of the test member and returns its name.
func writeKey(t testing.TB, folder string) string {
	t.Helper()
	text := fmt.Sprintf("signer: %s\nid: %s\nseed: %s\n", Member, KeyID, base64.StdEncoding.EncodeToString(privateKeySeed()))
	return WriteFile(t, filepath.Join(folder, "key.yaml"), text)
}

// WriteFile writes a file that only its owner can read, and returns its name.
func WriteFile(t testing.TB, file, text string) string {
	t.Helper()
	const mode = 0o600
	if err := os.WriteFile(file, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
	return file
}
