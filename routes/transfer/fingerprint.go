package transfer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
)

// element is a part of a table that can be sent and kept on its own: a route or a workspace.
type element struct {
	route     *controlpb.Route
	workspace *controlpb.Workspace
}

// elementsOf returns the elements of a table: its routes and, after them, its workspaces.
func elementsOf(t *controlpb.RouteTable) []element {
	list := make([]element, 0, len(t.GetRoutes())+len(t.GetWorkspaces()))
	for _, r := range t.GetRoutes() {
		list = append(list, element{route: r})
	}
	for _, w := range t.GetWorkspaces() {
		list = append(list, element{workspace: w})
	}
	return list
}

// appendTo appends the element to the routes or workspaces of a table.
func (e element) appendTo(t *controlpb.RouteTable) {
	if e.workspace != nil {
		t.Workspaces = append(t.Workspaces, e.workspace)
		return
	}
	t.Routes = append(t.Routes, e.route)
}

// Fingerprints holds a 64-bit hash of each element of a table, in their order. It takes the place of an earlier table when
// a later one is compared with it.
type Fingerprints []uint64

// FingerprintsOf returns the fingerprints of a table.
func FingerprintsOf(t *controlpb.RouteTable) Fingerprints {
	list, _ := measure(elementsOf(t))
	return list
}

// workspaceMark precedes the encoding of a workspace in its fingerprint, so that no route has the same. It is no valid start
// of an encoded message.
const workspaceMark = 0

// measure returns the fingerprints of elements and the size of all of them in bytes.
func measure(elements []element) (list Fingerprints, size int) {
	list = make(Fingerprints, len(elements))
	var buffer []byte
	for i, e := range elements {
		if e.workspace != nil {
			buffer = appendMessage(append(buffer[:0], workspaceMark), e.workspace)
		} else {
			buffer = appendMessage(buffer[:0], e.route)
		}
		size += len(buffer)
		list[i] = xxhash.Sum64(buffer)
	}
	return list, size
}

// Digest returns a hash over all fingerprints. A table that requires keys has another digest than one with the same elements
// that does not: a gateway of an older version, which ignores the requirement, rejects the table and refuses requests.
func (f Fingerprints) Digest(keysRequired bool) uint64 {
	h := xxhash.New()
	var word [8]byte
	for _, print := range f {
		binary.LittleEndian.PutUint64(word[:], print)
		_, _ = h.Write(word[:]) // never fails
	}
	if keysRequired {
		return ^h.Sum64()
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
