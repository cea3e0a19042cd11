package transfer

import (
	"slices"

	"heatherwall.example/api/controlpb"
)

// Limits of what a History keeps for gateways that hold an older table.
const (
	maxSteps     = 64
	maxStepBytes = 4 << 20
	// maxTables is the number of versions of which the whole table can be sent. A gateway that has received a part of one
	// continues with it, although there are newer versions by then.
	maxTables = 8
	// maxWholeSteps limits the steps with a whole table that are kept encoded.
	maxWholeSteps = 2
	// expectedCompression is the typical ratio of the size of encoded elements to their compressed size. It serves to compare
	// a chain of steps with a whole table that is not encoded yet.
	expectedCompression = 5
)

// version is a table with what is derived from it.
type version struct {
	table        *controlpb.RouteTable
	fingerprints Fingerprints
	// size is the size of all encoded elements in bytes.
	size int
}

// History holds the latest versions of a route table and the steps between them. It is built from the tables alone, so
// replicas that have seen the same versions send the same steps, and a gateway can continue at another replica. A replica
// that has restarted knows the versions since its last snapshot.
type History struct {
	// versions holds the latest tables, the newest last. Equal elements are shared between them.
	versions []*version
	// steps leads, without a gap, to the newest version; the oldest is first.
	steps []*Step
	// whole holds encoded steps that contain a whole table; the one used last is last.
	whole []*Step
}

// Put records the table that replaces the newest one. If the step cannot be encoded, gateways get the whole table. The
// error is an *EncodeError.
func (h *History) Put(t *controlpb.RouteTable) error {
	before := h.newest()
	next := &version{table: t}
	next.fingerprints, next.size = measure(elementsOf(t))
	if h.versions = append(h.versions, next); len(h.versions) > maxTables {
		h.versions = slices.Delete(h.versions, 0, 1)
	}
	if before == nil {
		return nil
	}
	next.shareElements(before)
	s, err := NewStep(before.table.GetVersion(), before.fingerprints, t, next.fingerprints)
	if err != nil {
		h.steps = nil
		return err
	}
	h.steps = append(h.steps, s)
	for len(h.steps) > maxSteps || sumBytes(h.steps) > maxStepBytes {
		h.steps = slices.Delete(h.steps, 0, 1)
	}
	return nil
}

// shareElements replaces elements by the equal ones of an earlier version, so that both use the same memory.
func (v *version) shareElements(earlier *version) {
	byPrint := make(map[uint64]element, len(earlier.fingerprints))
	for i, e := range elementsOf(earlier.table) {
		byPrint[earlier.fingerprints[i]] = e
	}
	routes := len(v.table.GetRoutes())
	for i, print := range v.fingerprints {
		e, known := byPrint[print]
		switch {
		case !known:
		case i < routes:
			v.table.Routes[i] = e.route
		default:
			v.table.Workspaces[i-routes] = e.workspace
		}
	}
}

func sumBytes(steps []*Step) int {
	sum := 0
	for _, s := range steps {
		sum += s.Bytes
	}
	return sum
}

// newest returns the newest version; nil before the first one.
func (h *History) newest() *version {
	if len(h.versions) == 0 {
		return nil
	}
	return h.versions[len(h.versions)-1]
}

// Version returns the version of the newest table; 0 before the first one.
func (h *History) Version() uint64 {
	if v := h.newest(); v != nil {
		return v.table.GetVersion()
	}
	return 0
}

// Next returns the step that a gateway at a position needs next and the first part to send, or nil if the gateway is up to
// date. A step of which the gateway has received a part is continued, if its versions are still known. The error is an
// *EncodeError.
func (h *History) Next(p *controlpb.RoutePosition) (step *Step, first int, err error) {
	if p.GetVersion() >= h.Version() {
		return nil, 0, nil
	}
	if step, err = h.inProgress(p); err != nil {
		return nil, 0, err
	}
	if step != nil {
		return step, step.FirstPart(p.GetEdits()), nil
	}
	if i := slices.IndexFunc(h.steps, func(s *Step) bool { return s.Base == p.GetVersion() }); i >= 0 && p.GetVersion() != 0 &&
		sumBytes(h.steps[i:]) < h.newest().size/expectedCompression {
		return h.steps[i], 0, nil
	}
	step, err = h.wholeTable(h.newest())
	return step, 0, err
}

// inProgress returns the step of which a gateway has received a part; nil if there is none or it is not known any more.
func (h *History) inProgress(p *controlpb.RoutePosition) (*Step, error) {
	if p.GetEdits() == 0 {
		return nil, nil
	}
	if p.GetNextBase() == 0 {
		i := slices.IndexFunc(h.versions, func(v *version) bool { return v.table.GetVersion() == p.GetNextVersion() })
		if i < 0 {
			return nil, nil
		}
		return h.wholeTable(h.versions[i])
	}
	i := slices.IndexFunc(h.steps, func(s *Step) bool { return s.Version == p.GetNextVersion() && s.Base == p.GetNextBase() })
	if i < 0 || p.GetNextBase() != p.GetVersion() {
		return nil, nil
	}
	return h.steps[i], nil
}

// wholeTable returns the step with the whole table of a version.
func (h *History) wholeTable(v *version) (*Step, error) {
	if i := slices.IndexFunc(h.whole, func(s *Step) bool { return s.Version == v.table.GetVersion() }); i >= 0 {
		s := h.whole[i]
		h.whole = append(slices.Delete(h.whole, i, i+1), s)
		return s, nil
	}
	s, err := NewStep(0, nil, v.table, v.fingerprints)
	if err != nil {
		return nil, err
	}
	if h.whole = append(h.whole, s); len(h.whole) > maxWholeSteps {
		h.whole = slices.Delete(h.whole, 0, 1)
	}
	return s, nil
}
