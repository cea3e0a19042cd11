package document

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"io"
)

// PrivateKey signs changes for a member or a team.
type PrivateKey struct {
	// Signer is MEMBER or MEMBER/TEAM.
	Signer string
	// ID is the ID of the key in the document.
	ID string
	// Seed has 32 bytes (RFC 8032).
	Seed []byte
}

// GenerateKey creates a key from 32 bytes that it reads from random.
func GenerateKey(signer, id string, random io.Reader) (*PrivateKey, error) {
	k := &PrivateKey{Signer: signer, ID: id, Seed: make([]byte, ed25519.SeedSize)}
	if _, err := io.ReadFull(random, k.Seed); err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	if _, problems := ParseKeyFile("key", k.FileContents()); len(problems) > 0 {
		return nil, problems
	}
	return k, nil
}

func (k *PrivateKey) private() ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(k.Seed)
}

// PublicKeyBase64 returns the public key in base64, the encoding that the document uses.
func (k *PrivateKey) PublicKeyBase64() string {
	public := ed25519.NewKeyFromSeed(k.Seed).Public().(ed25519.PublicKey)
	return base64.StdEncoding.EncodeToString(public)
}

// FileContents returns the text of the key file, which ParseKeyFile reads.
func (k *PrivateKey) FileContents() []byte {
	seed := base64.StdEncoding.EncodeToString(k.Seed)
	return fmt.Appendf(nil, "# heatherwall signing key. Keep this file private.\nsigner: %s\nid: %s\nseed: %s\n",
		k.Signer, k.ID, seed)
}

// ParseKeyFile parses the text of a key file.
func ParseKeyFile(file string, text []byte) (*PrivateKey, Problems) {
	r := &reader{}
	if len(text) > maxTextBytes {
		r.report(position{file, 1, 1, wholeFile}, ReasonTooLarge, "expected at most %d bytes", maxTextBytes)
		return nil, r.problems
	}
	root := r.parseYAML(file, text)
	if root == nil {
		return nil, r.problems
	}
	m := r.mapping(newField(file, "", root), "signer", "id", "seed")
	k := &PrivateKey{Signer: r.owner(m.required("signer")).name, ID: r.name(m.required("id")).name}
	k.Seed = r.seed(m.required("seed"))
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return k, nil
}

func (r *reader) seed(f field) []byte {
	const want = "an Ed25519 seed, 32 bytes in base64"
	text := r.scalar(f, want)
	seed, err := base64.StdEncoding.Strict().DecodeString(text)
	if text != "" && (err != nil || len(seed) != ed25519.SeedSize) {
		r.report(f.at, ReasonBadValue, "expected %s", want)
	}
	return seed
}
