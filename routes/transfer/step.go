package transfer

import (
	"bytes"
	"compress/flate"
	"fmt"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
)

// maxPartBytes is the size of the edits of one part before compression. A part takes a small fraction of a second on the
// links of small instances, so that other messages of the session do not wait long.
const maxPartBytes = 16 << 10

// Step turns one version of a route table into a later one. It is immutable and may be sent to many gateways.
type Step struct {
	Version uint64
	// Base is the version that the step builds on; 0 for a step that contains the whole table.
	Base uint64
	// Parts are in the order in which they must be sent.
	Parts []*controlpb.RoutePart
	// Bytes is the compressed size of all edits.
	Bytes int
}

// EncodeError reports edits that could not be encoded.
type EncodeError struct {
	Version uint64
	Cause   error
}

func (e *EncodeError) Error() string {
	return fmt.Sprintf("encode route table version %d: %v", e.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// NewStep returns the step from the table with version base and the given fingerprints to t, whose own fingerprints are
// next. Without fingerprints, and with base 0, the step contains the whole table. The error is an *EncodeError.
func NewStep(base uint64, have Fingerprints, t *controlpb.RouteTable, next Fingerprints) (*Step, error) {
	s := &Step{Version: t.GetVersion(), Base: base}
	edits := diff(have, elementsOf(t), next)
	for first := 0; first == 0 || first < len(edits); {
		n := countFitting(edits[first:])
		text, err := encodeEdits(edits[first : first+n])
		if err != nil {
			return nil, &EncodeError{Version: s.Version, Cause: err}
		}
		s.Bytes += len(text)
		s.Parts = append(s.Parts, &controlpb.RoutePart{Version: s.Version, Base: base, Offset: uint32(first), Total: uint32(len(edits)), Edits: text})
		if first += n; n == 0 {
			break // an empty table has one part without edits
		}
	}
	s.Parts[len(s.Parts)-1].End = &controlpb.RouteTableEnd{
		Services: t.GetServices(), Limits: t.GetLimits(), Digest: next.Digest(t.GetKeysRequired()), KeysRequired: t.GetKeysRequired(),
	}
	return s, nil
}

// FirstPart returns the index of the part at which a gateway that holds the given number of edits continues.
func (s *Step) FirstPart(edits uint32) int {
	for i := len(s.Parts) - 1; i > 0; i-- {
		if s.Parts[i].GetOffset() <= edits {
			return i
		}
	}
	return 0
}

// EditsAfter returns the number of edits that a gateway holds after part i.
func (s *Step) EditsAfter(i int) uint32 {
	if i+1 < len(s.Parts) {
		return s.Parts[i+1].GetOffset()
	}
	return s.Parts[i].GetTotal()
}

// diff returns the edits that turn the elements with the fingerprints have into elements, whose fingerprints are next.
func diff(have Fingerprints, elements []element, next Fingerprints) []*controlpb.RouteEdit {
	position := make(map[uint64]int, len(have))
	for i, print := range have {
		position[print] = i
	}
	var edits []*controlpb.RouteEdit
	var kept *controlpb.RouteEdit // the last edit, if it is a range of the base table
	for i, print := range next {
		if kept != nil && extends(kept, have, print) {
			kept.KeepCount++
			continue
		}
		at, known := position[print]
		if !known {
			kept = nil
			edits = append(edits, &controlpb.RouteEdit{Route: elements[i].route, Workspace: elements[i].workspace})
			continue
		}
		kept = &controlpb.RouteEdit{KeepFrom: uint32(at), KeepCount: 1}
		edits = append(edits, kept)
	}
	return edits
}

// extends reports whether the element after a range of the base table has the given fingerprint.
func extends(kept *controlpb.RouteEdit, have Fingerprints, print uint64) bool {
	after := int(kept.GetKeepFrom() + kept.GetKeepCount())
	return after < len(have) && have[after] == print
}

// countFitting returns how many of the first edits fit into one part; at least one, unless there are none.
func countFitting(edits []*controlpb.RouteEdit) int {
	size := 0
	for i, e := range edits {
		if size += proto.Size(e); size > maxPartBytes && i > 0 {
			return i
		}
	}
	return len(edits)
}

func encodeEdits(edits []*controlpb.RouteEdit) ([]byte, error) {
	text, err := proto.Marshal(&controlpb.RouteEdits{Edits: edits})
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}
