package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

const jsonIndent = "  "

func (c *invocation) writeJSON(value any) error {
	e := json.NewEncoder(c.stdout)
	e.SetIndent("", jsonIndent)
	e.SetEscapeHTML(false)
	return e.Encode(value)
}

// writeProto writes a protobuf message as JSON with the field names of the .proto file. 64-bit integers are strings.
func (c *invocation) writeProto(m proto.Message) error {
	text, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	if err != nil {
		return err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, text, "", jsonIndent); err != nil {
		return err
	}
	b.WriteByte('\n')
	_, err = b.WriteTo(c.stdout)
	return err
}

// changeResult is the JSON output for a submitted change.
type changeResult struct {
	ID         string          `json:"id,omitempty"`
	Result     string          `json:"result"`
	Revision   uint64          `json:"revision"`
	InForce    bool            `json:"in_force,omitempty"`
	WaitingFor []string        `json:"waiting_for,omitempty"`
	Problems   []problemResult `json:"problems,omitempty"`
	Conflicts  []sectionResult `json:"conflicts,omitempty"`
	// Capacity is set if "domain out" made a capacity check.
	Capacity *capacityResult `json:"capacity,omitempty"`
}

// Values of the field result that writeResult handles separately, and the value for a change that was not sent.
const (
	resultAccepted = "accepted"
	resultPending  = "pending"
	resultNothing  = "nothing"
	// resultRefused means that the client refused the change and did not send it.
	resultRefused = "refused"
)

// resultName returns accepted, pending, conflict, invalid, unauthorized or nothing.
func resultName(r controlpb.ChangeResult) string {
	return strings.ToLower(strings.TrimPrefix(r.String(), "CHANGE_"))
}

// locateFunc returns the position of a document path as FILE:LINE:COLUMN, or an empty string.
type locateFunc func(path string) string

// reportOutcome writes the outcome of a change. With -wait, it first waits until an accepted change is in force.
func (c *invocation) reportOutcome(ctx context.Context, r *replicaClient, id string, o *controlpb.ChangeOutcome, locate locateFunc) error {
	result := changeResult{ID: id, Result: resultName(o.GetResult()), Revision: o.GetRevision(), WaitingFor: o.GetWaitingFor()}
	for _, p := range o.GetProblems() {
		result.Problems = append(result.Problems, problemResult{Path: p.GetPath(), Expected: p.GetExpected(), Reason: p.GetReason()})
	}
	var waitErr error
	if c.options.wait && isSuccess(o) {
		waitErr = c.waitInForce(ctx, r, o.GetRevision())
		result.InForce = waitErr == nil
	}
	if err := c.writeResult(result, locate); err != nil {
		return err
	}
	if waitErr != nil {
		return waitErr
	}
	if !isSuccess(o) && o.GetResult() != controlpb.ChangeResult_CHANGE_PENDING {
		return &RefusedError{Reason: result.Result}
	}
	return nil
}

// isSuccess reports whether the change was accepted or changes nothing.
func isSuccess(o *controlpb.ChangeOutcome) bool {
	done := []controlpb.ChangeResult{controlpb.ChangeResult_CHANGE_ACCEPTED, controlpb.ChangeResult_CHANGE_NOTHING}
	return slices.Contains(done, o.GetResult())
}

func (c *invocation) writeResult(result changeResult, locate locateFunc) error {
	result.Capacity = c.capacity
	if c.options.json {
		return c.writeJSON(result)
	}
	switch result.Result {
	case resultAccepted:
		fmt.Fprintf(c.stdout, "accepted as revision %d (change %s)\n", result.Revision, result.ID)
	case resultNothing:
		fmt.Fprintf(c.stdout, "nothing to change; revision %d is in place\n", result.Revision)
	case resultPending:
		fmt.Fprintf(c.stdout, "pending; waiting for the approval of: %s\n", strings.Join(result.WaitingFor, ", "))
	default:
		fmt.Fprintf(c.stdout, "%s at revision %d (change %s)\n", result.Result, result.Revision, result.ID)
	}
	for _, p := range result.Problems {
		fmt.Fprintln(c.stdout, strings.TrimPrefix(fmt.Sprintf("%s: %s: %s", locate(p.Path), p.Path, p.Expected), ": "))
	}
	if result.InForce {
		fmt.Fprintf(c.stdout, "in force at every gateway\n")
	}
	return nil
}

func noLocation(string) string { return "" }

// writeUnchanged writes the result for a file without changes: a candidate of the file awaits approvals, or there is
// nothing to change.
func (c *invocation) writeUnchanged(p plan, revision uint64) error {
	if p.pending != nil {
		return c.writeResult(changeResult{Result: resultPending, Revision: revision, WaitingFor: p.pending.GetWaitingFor()}, noLocation)
	}
	return c.writeResult(changeResult{Result: resultNothing, Revision: revision}, noLocation)
}

// writeConflict writes the conflicting sections in a three-way diff of the base, the file and the document in force. It
// returns a *RefusedError.
func (c *invocation) writeConflict(id string, o *controlpb.ChangeOutcome, base, mine []document.Section) error {
	var names []string
	var theirs []document.Section
	for _, s := range o.GetConflicts() {
		names = append(names, s.GetName())
		if s.GetRevision() != 0 {
			theirs = append(theirs, document.Section{Name: s.GetName(), Text: s.GetText()})
		}
	}
	other := func(s document.Section) bool { return !slices.Contains(names, s.Name) }
	differences := document.Diff(slices.DeleteFunc(base, other), slices.DeleteFunc(slices.Clone(mine), other), theirs)
	refusal := &RefusedError{Reason: fmt.Sprintf("conflict with revision %d; get the newest document and make the change again", o.GetRevision())}
	if c.options.json {
		result := changeResult{ID: id, Result: resultName(o.GetResult()), Revision: o.GetRevision(), Conflicts: sectionResults(differences)}
		if err := c.writeJSON(result); err != nil {
			return err
		}
		return refusal
	}
	fmt.Fprintf(c.stdout, "conflict at revision %d (change %s)\n%s", o.GetRevision(), id, document.RenderDiff(differences))
	return refusal
}
