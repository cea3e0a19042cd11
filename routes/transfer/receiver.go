package transfer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
)

// maxEditBytes limits the edits of one part after decompression. A single route may be larger than maxPartBytes.
const maxEditBytes = 16 << 20

// PartError reports a part that does not continue what the receiver holds, or that is damaged. The sender must start again
// from Receiver.Position.
type PartError struct {
	Version uint64
	Problem string
	Cause   error
}

func (e *PartError) Error() string {
	text := fmt.Sprintf("part of route table version %d: %s", e.Version, e.Problem)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause; nil for a part that does not fit.
func (e *PartError) Unwrap() error { return e.Cause }

// Receiver assembles route tables from parts. What it has received survives the end of a session, so that another replica
// can continue. It is not safe for concurrent use.
type Receiver struct {
	held *controlpb.RouteTable
	// version and base identify the step in progress; version 0 if there is none.
	version, base uint64
	edits         []*controlpb.RouteEdit
	// wantsWhole is set after a step resulted in a table with a wrong digest: the next step must not build on held.
	wantsWhole bool
}

// Hold replaces the table in use, also if it did not arrive in parts.
func (r *Receiver) Hold(t *controlpb.RouteTable) {
	if r.held == t {
		return
	}
	r.held = t
	r.wantsWhole = false
	if r.version <= t.GetVersion() {
		r.reset()
	}
}

func (r *Receiver) reset() { r.version, r.base, r.edits = 0, 0, nil }

// Position returns the progress that a sender needs to continue.
func (r *Receiver) Position() *controlpb.RoutePosition {
	p := &controlpb.RoutePosition{Version: r.held.GetVersion(), NextVersion: r.version, NextBase: r.base, Edits: uint32(len(r.edits))}
	if r.wantsWhole {
		p.Version = 0
	}
	return p
}

// InProgress reports whether a part of a newer table has arrived.
func (r *Receiver) InProgress() bool { return r.version != 0 }

// Accept adds a part. It returns a table once all of its parts have arrived, and nil before that and for a part of a table
// that is not newer than the one in use. The error is a *PartError.
func (r *Receiver) Accept(p *controlpb.RoutePart) (*controlpb.RouteTable, error) {
	if p.GetVersion() <= r.held.GetVersion() {
		return nil, nil
	}
	if err := r.begin(p); err != nil {
		return nil, err
	}
	edits, err := decodeEdits(p)
	if err != nil {
		return nil, r.fail(p, "damaged", err)
	}
	if known := len(r.edits) - int(p.GetOffset()); known < len(edits) {
		r.edits = append(r.edits, edits[known:]...)
	}
	if p.GetEnd() == nil || len(r.edits) < int(p.GetTotal()) {
		return nil, nil
	}
	return r.assemble(p)
}

// begin starts a new step with its first part, and checks that any other part continues the step in progress.
func (r *Receiver) begin(p *controlpb.RoutePart) error {
	if p.GetVersion() != r.version || p.GetBase() != r.base {
		if p.GetOffset() != 0 {
			return r.fail(p, "its first part is missing", nil)
		}
		if p.GetBase() != 0 && p.GetBase() != r.held.GetVersion() {
			return r.fail(p, fmt.Sprintf("it builds on version %d, in use is %d", p.GetBase(), r.held.GetVersion()), nil)
		}
		r.version, r.base, r.edits = p.GetVersion(), p.GetBase(), nil
	}
	if int(p.GetOffset()) > len(r.edits) {
		return r.fail(p, "an earlier part is missing", nil)
	}
	return nil
}

func (r *Receiver) fail(p *controlpb.RoutePart, problem string, cause error) error {
	r.reset()
	return &PartError{Version: p.GetVersion(), Problem: problem, Cause: cause}
}

// assemble builds the table from the edits and checks its digest.
func (r *Receiver) assemble(p *controlpb.RoutePart) (*controlpb.RouteTable, error) {
	end := p.GetEnd()
	t := &controlpb.RouteTable{Version: p.GetVersion(), Services: end.GetServices(), Limits: end.GetLimits(), KeysRequired: end.GetKeysRequired()}
	var base []element
	if r.base != 0 {
		base = elementsOf(r.held)
	}
	for _, e := range r.edits {
		if e.GetKeepCount() == 0 && (e.GetRoute() != nil || e.GetWorkspace() != nil) {
			element{route: e.GetRoute(), workspace: e.GetWorkspace()}.appendTo(t)
			continue
		}
		from, count := uint64(e.GetKeepFrom()), uint64(e.GetKeepCount())
		if from+count > uint64(len(base)) {
			return nil, r.fail(p, "an edit names elements that the base table does not have", nil)
		}
		for _, kept := range base[from : from+count] {
			kept.appendTo(t)
		}
	}
	r.reset()
	if FingerprintsOf(t).Digest(t.GetKeysRequired()) != end.GetDigest() {
		r.wantsWhole = true
		return nil, &PartError{Version: p.GetVersion(), Problem: "the resulting table has another digest"}
	}
	return t, nil
}

func decodeEdits(p *controlpb.RoutePart) ([]*controlpb.RouteEdit, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.GetEdits())), maxEditBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxEditBytes {
		return nil, &PartError{Version: p.GetVersion(), Problem: "it is too large"}
	}
	var list controlpb.RouteEdits
	if err := proto.Unmarshal(text, &list); err != nil {
		return nil, err
	}
	return list.GetEdits(), nil
}
