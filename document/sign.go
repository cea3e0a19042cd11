package document

import (
	"crypto/ed25519"
	"fmt"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
)

// MaxChangeBytes limits an encoded change; MaxSignatures limits the signatures of one change.
const (
	MaxChangeBytes = 2 << 20
	MaxSignatures  = 64
)

// SignatureError reports why a signed change cannot be decoded or verified.
type SignatureError struct {
	// Signer and KeyID are empty if the fault concerns the change as a whole.
	Signer string
	KeyID  string
	Fault  SignatureFault
}

// SignatureFault identifies a kind of fault in a signed change. The values are stable.
type SignatureFault string

// Faults of signed changes.
const (
	FaultEncoding   SignatureFault = "change cannot be decoded"
	FaultTooLarge   SignatureFault = "change or list of signatures too large"
	FaultUnsigned   SignatureFault = "no signature"
	FaultUnknownKey SignatureFault = "unknown key"
	FaultMismatch   SignatureFault = "signature does not match"
)

func (e *SignatureError) Error() string {
	if e.Signer == "" {
		return string(e.Fault)
	}
	return fmt.Sprintf("signature of %s with key %s: %s", e.Signer, e.KeyID, e.Fault)
}

// Sign encodes a change and signs the encoded bytes with each key.
func Sign(change *controlpb.Change, keys ...*PrivateKey) (*controlpb.SignedChange, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(change)
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	signed := &controlpb.SignedChange{Change: encoded}
	for _, k := range keys {
		signed.Signatures = append(signed.Signatures, &controlpb.Signature{
			Signer: k.Signer, KeyId: k.ID, Ed25519: ed25519.Sign(k.private(), encoded),
		})
	}
	return signed, nil
}

// PublicKeyLookup returns the public key of a signer (member or member/team).
type PublicKeyLookup func(signer, keyID string) (ed25519.PublicKey, bool)

// DecodeChange decodes a signed change without checking its signatures. The error is a *SignatureError.
func DecodeChange(signed *controlpb.SignedChange) (*controlpb.Change, error) {
	if len(signed.GetChange()) > MaxChangeBytes || len(signed.GetSignatures()) > MaxSignatures {
		return nil, &SignatureError{Fault: FaultTooLarge}
	}
	change := &controlpb.Change{}
	if err := proto.Unmarshal(signed.GetChange(), change); err != nil {
		return nil, &SignatureError{Fault: FaultEncoding}
	}
	return change, nil
}

// Verify checks the signatures of a change and returns its signers in the order of the signatures. Every signature must
// match a known key; otherwise the error is a *SignatureError.
func Verify(signed *controlpb.SignedChange, lookup PublicKeyLookup) ([]string, error) {
	if len(signed.GetSignatures()) == 0 {
		return nil, &SignatureError{Fault: FaultUnsigned}
	}
	var signers []string
	for _, s := range signed.GetSignatures() {
		public, ok := lookup(s.GetSigner(), s.GetKeyId())
		if !ok {
			return nil, &SignatureError{Signer: s.GetSigner(), KeyID: s.GetKeyId(), Fault: FaultUnknownKey}
		}
		if !ed25519.Verify(public, signed.GetChange(), s.GetEd25519()) {
			return nil, &SignatureError{Signer: s.GetSigner(), KeyID: s.GetKeyId(), Fault: FaultMismatch}
		}
		signers = append(signers, s.GetSigner())
	}
	return signers, nil
}
