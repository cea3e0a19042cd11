package transfer

import (
	"heatherwall.example/api/controlpb"
)

// Limits of the steps that a History keeps for gateways that hold an older table.
const (
	maxSteps     = 64
	maxStepBytes = 4 << 20
	// maxWholeTables is the number of steps with a whole table that are kept: that of the newest version, and one for
	// gateways that have received a part of the version before.
	maxWholeTables = 2
)

// History holds the steps between the latest versions of a route table. It is built from the tables alone, so replicas
// that have seen the same versions hold the same steps, and a gateway can continue at another replica.
type History struct {
	table        *controlpb.RouteTable
	fingerprints Fingerprints
	// steps leads, without a gap, to the version of table; the oldest is first.
	steps []*Step
	// whole holds steps that contain a whole table, the newest last. They are built when a gateway needs them.
	whole []*Step
}

// Put records the table that replaces the current one. If the step cannot be encoded, gateways get the whole table. The
// error is an *EncodeError.
func (h *History) Put(t *controlpb.RouteTable) error {
	next := FingerprintsOf(t.GetRoutes())
	before, have := h.table, h.fingerprints
	h.table, h.fingerprints = t, next
	if before == nil {
		return nil
	}
	s, err := NewStep(before.GetVersion(), have, t, next)
	if err != nil {
		h.steps = nil
		return err
	}
	h.steps = append(h.steps, s)
	for len(h.steps) > maxSteps || sumBytes(h.steps) > maxStepBytes {
		h.steps = h.steps[1:]
	}
	return nil
}

func sumBytes(steps []*Step) int {
	sum := 0
	for _, s := range steps {
		sum += s.Bytes
	}
	return sum
}

// Version returns the version of the newest table; 0 before the first one.
func (h *History) Version() uint64 { return h.table.GetVersion() }

// Next returns the step that a gateway at a position needs next and the first part to send, or nil if the gateway is up to
// date. A step of which the gateway has received a part is continued, if it is still known. The error is an *EncodeError.
func (h *History) Next(p *controlpb.RoutePosition) (*Step, int, error) {
	if h.table == nil || p.GetVersion() >= h.table.GetVersion() {
		return nil, 0, nil
	}
	if s := h.inProgress(p); s != nil {
		return s, s.FirstPart(p.GetEdits()), nil
	}
	whole, err := h.wholeTable()
	if err != nil {
		return nil, 0, err
	}
	for i, s := range h.steps {
		if s.Base == p.GetVersion() && s.Base != 0 && sumBytes(h.steps[i:]) < whole.Bytes {
			return s, 0, nil
		}
	}
	return whole, 0, nil
}

// inProgress returns the step of which a gateway has received a part; nil if there is none or it is not known any more.
func (h *History) inProgress(p *controlpb.RoutePosition) *Step {
	if p.GetEdits() == 0 {
		return nil
	}
	list := h.steps
	if p.GetNextBase() == 0 {
		list = h.whole
	} else if p.GetNextBase() != p.GetVersion() {
		return nil
	}
	for _, s := range list {
		if s.Version == p.GetNextVersion() && s.Base == p.GetNextBase() {
			return s
		}
	}
	return nil
}

// wholeTable returns the step with the whole newest table.
func (h *History) wholeTable() (*Step, error) {
	if n := len(h.whole); n > 0 && h.whole[n-1].Version == h.table.GetVersion() {
		return h.whole[n-1], nil
	}
	s, err := NewStep(0, nil, h.table, h.fingerprints)
	if err != nil {
		return nil, err
	}
	h.whole = append(h.whole, s)
	if len(h.whole) > maxWholeTables {
		h.whole = h.whole[1:]
	}
	return s, nil
}
