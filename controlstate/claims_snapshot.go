package controlstate

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/statepb"
)

// A record is key, fingerprint, holder (16 bytes each), time in ms (8 bytes, little endian), state and flags.
const recordBytes = 3*keyBytes + 8 + 2

const (
	flagAgain   = 1
	flagHasKept = 2
)

func compareKeys(a, b claimKey) int { return bytes.Compare(a[:], b[:]) }

// Snapshot encodes the whole state; equal states give equal bytes.
func (c *Claims) Snapshot() []byte {
	s := &statepb.ClaimsSnapshot{Format: snapshotFormat, Applied: c.applied, FloorMs: c.floorMS}
	s.Records = make([]byte, 0, len(c.claims)*recordBytes)
	for _, key := range slices.SortedFunc(maps.Keys(c.claims), compareKeys) {
		s.Records = appendRecord(s.Records, key, c.claims[key])
	}
	for _, key := range slices.SortedFunc(maps.Keys(c.kept), compareKeys) {
		s.Kept = append(s.Kept, &statepb.KeptRecord{Key: bytes.Clone(key[:]), Answer: c.kept[key]})
	}
	return encode(s)
}

func appendRecord(b []byte, key claimKey, one claim) []byte {
	b = append(b, key[:]...)
	b = append(b, one.fingerprint[:]...)
	b = append(b, one.holder[:]...)
	b = binary.LittleEndian.AppendUint64(b, one.timeMS)
	flags := byte(0)
	if one.again {
		flags |= flagAgain
	}
	if one.hasKept {
		flags |= flagHasKept
	}
	return append(b, byte(one.state), flags)
}

func readRecord(b []byte) (claimKey, claim) {
	key := claimKey(b[:keyBytes])
	one := claim{fingerprint: [keyBytes]byte(b[keyBytes : 2*keyBytes]), holder: [keyBytes]byte(b[2*keyBytes : 3*keyBytes])}
	rest := b[3*keyBytes:]
	one.timeMS = binary.LittleEndian.Uint64(rest)
	one.state = claimState(rest[8])
	one.again = rest[9]&flagAgain != 0
	one.hasKept = rest[9]&flagHasKept != 0
	return key, one
}

// RestoreClaims gives the state of a snapshot under limits. The error is a *SnapshotError.
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
	c.applied, c.floorMS = s.GetApplied(), s.GetFloorMs()
	for record := range slices.Chunk(s.GetRecords(), recordBytes) {
		key, one := readRecord(record)
		c.insert(key, one)
	}
	for _, k := range s.GetKept() {
		if len(k.GetKey()) != keyBytes {
			return nil, &SnapshotError{Fault: FaultRecordSize}
		}
		c.kept[claimKey(k.GetKey())] = k.GetAnswer()
		c.keptBytes += len(k.GetAnswer())
	}
	return c, nil
}
