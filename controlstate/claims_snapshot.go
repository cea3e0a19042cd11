package controlstate

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/statepb"
)

// A record consists of the key, fingerprint and holder (16 bytes each), the key time in ms (8 bytes, little endian),
// the state and the flags (1 byte each).
const recordBytes = 3*keyBytes + 8 + 2

const (
	flagRegranted     = 1
	flagHasKeptAnswer = 2
)

func compareKeys(a, b claimKey) int { return bytes.Compare(a[:], b[:]) }

// Snapshot encodes the whole state; equal states have equal encodings.
func (c *Claims) Snapshot() []byte {
	s := &statepb.ClaimsSnapshot{Format: snapshotFormat, Applied: c.appliedIndex, FloorMs: c.floorMS}
	s.Records = make([]byte, 0, len(c.claims)*recordBytes)
	for _, key := range slices.SortedFunc(maps.Keys(c.claims), compareKeys) {
		s.Records = appendRecord(s.Records, key, c.claims[key])
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.keptAnswers), compareKeys) {
		s.Kept = append(s.Kept, &statepb.KeptRecord{Key: bytes.Clone(key[:]), Answer: c.keptAnswers[key]})
	}
	return encode(s)
}

func appendRecord(b []byte, key claimKey, record claim) []byte {
	b = append(b, key[:]...)
	b = append(b, record.fingerprint[:]...)
	b = append(b, record.holder[:]...)
	b = binary.LittleEndian.AppendUint64(b, record.keyTimeMS)
	flags := byte(0)
	if record.regranted {
		flags |= flagRegranted
	}
	if record.hasKeptAnswer {
		flags |= flagHasKeptAnswer
	}
	return append(b, byte(record.state), flags)
}

func decodeRecord(b []byte) (claimKey, claim) {
	key := claimKey(b[:keyBytes])
	record := claim{fingerprint: [keyBytes]byte(b[keyBytes : 2*keyBytes]), holder: [keyBytes]byte(b[2*keyBytes : 3*keyBytes])}
	rest := b[3*keyBytes:]
	record.keyTimeMS = binary.LittleEndian.Uint64(rest)
	record.state = claimState(rest[8])
	record.regranted = rest[9]&flagRegranted != 0
	record.hasKeptAnswer = rest[9]&flagHasKeptAnswer != 0
	return key, record
}

// RestoreClaims returns the state that a snapshot encodes, with the given limits. The error is a *SnapshotError.
func RestoreClaims(limits ClaimLimits, snapshot []byte) (*Claims, error) {
	s := &statepb.ClaimsSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return nil, &SnapshotError{Fault: FaultEncoding, Cause: err}
	}
	if s.GetFormat() != snapshotFormat {
		return nil, &SnapshotError{Fault: FaultUnknownFormat}
	}
	if len(s.GetRecords())%recordBytes != 0 {
		return nil, &SnapshotError{Fault: FaultRecordSize}
	}
	c := NewClaims(limits)
	c.appliedIndex, c.floorMS = s.GetApplied(), s.GetFloorMs()
	for encoded := range slices.Chunk(s.GetRecords(), recordBytes) {
		key, record := decodeRecord(encoded)
		c.insert(key, record)
	}
	for _, k := range s.GetKept() {
		if len(k.GetKey()) != keyBytes {
			return nil, &SnapshotError{Fault: FaultRecordSize}
		}
		c.keptAnswers[claimKey(k.GetKey())] = k.GetAnswer()
		c.keptBytes += len(k.GetAnswer())
	}
	return c, nil
}
