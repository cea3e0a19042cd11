package transfer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
)

// Fingerprints holds a 64-bit hash of each route of a table, in the order of the table. It takes the place of an earlier
// table when a later one is compared with it.
type Fingerprints []uint64

// FingerprintsOf returns the fingerprints of routes.
func FingerprintsOf(routes []*controlpb.Route) Fingerprints {
	list, _ := measure(routes)
	return list
}

// measure returns the fingerprints of routes and the size of all encoded routes in bytes.
func measure(routes []*controlpb.Route) (list Fingerprints, size int) {
	list = make(Fingerprints, len(routes))
	var buffer []byte
	for i, r := range routes {
		buffer = appendMessage(buffer[:0], r)
		size += len(buffer)
		list[i] = xxhash.Sum64(buffer)
	}
	return list, size
}

// Digest returns a hash over all fingerprints.
func (f Fingerprints) Digest() uint64 {
	h := xxhash.New()
	var word [8]byte
	for _, print := range f {
		binary.LittleEndian.PutUint64(word[:], print)
		_, _ = h.Write(word[:]) // never fails
	}
	return h.Sum64()
}

// appendMessage appends the deterministic encoding of a message. Encoding fails only for text that is not UTF-8, which a
// message that came from the wire cannot contain; the fingerprint is then that of the encoded prefix.
func appendMessage(b []byte, m proto.Message) []byte {
	encoded, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(b, m)
	if err != nil {
		return b
	}
	return encoded
}
