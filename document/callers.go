package document

import "crypto/sha256"

// Callers holds callers by the SHA-256 hash of their token. The time of a lookup therefore reveals nothing about other tokens.
type Callers map[[sha256.Size]byte]*Caller

// usualTokenBytes is the length up to which a token is hashed without an allocation.
const usualTokenBytes = 128

// TokenDigest returns the SHA-256 hash of a token, by which callers are stored. The token itself is stored nowhere.
func TokenDigest(token string) [sha256.Size]byte {
	var buffer [usualTokenBytes]byte
	return sha256.Sum256(append(buffer[:0], token...))
}

// ByToken returns the caller with a token.
func (c Callers) ByToken(token string) (*Caller, bool) {
	caller, ok := c[TokenDigest(token)]
	return caller, ok
}
