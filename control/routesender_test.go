package control

import (
	"fmt"
	"testing"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/routes/transfer"
)

func stepWithParts(t *testing.T, version uint64) *transfer.Step {
	t.Helper()
	table := &controlpb.RouteTable{Version: version}
	for i := range 20000 {
		table.Routes = append(table.Routes, &controlpb.Route{Name: fmt.Sprint(version, i), Host: "a.example", PathPrefix: fmt.Sprintf("/%d/", i)})
	}
	s, err := transfer.NewStep(0, nil, table, transfer.FingerprintsOf(table))
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Parts) <= maxUnacknowledgedParts {
		t.Fatalf("%d parts; want more than %d", len(s.Parts), maxUnacknowledgedParts)
	}
	return s
}

// Guards against a table that is sent without waiting for the gateway, so that other messages wait behind all of it, and
// against a transfer that does not go on after an acknowledgement.
func TestRouteSenderWaitsForAcknowledgements(t *testing.T) {
	step := stepWithParts(t, 7)
	s := &routeSender{position: &controlpb.RoutePosition{Version: 3}}
	s.begin(step, 0)
	for range maxUnacknowledgedParts {
		if !s.canSend() {
			t.Fatal("no part may be sent")
		}
		s.take()
	}
	if s.canSend() {
		t.Fatalf("more than %d parts without an acknowledgement", maxUnacknowledgedParts)
	}
	s.acknowledge(&controlpb.RoutePosition{Version: 3})
	s.acknowledge(&controlpb.RoutePosition{Version: 3, NextVersion: 5, Edits: step.EditsAfter(0)})
	if s.canSend() {
		t.Error("the position in another step counts as an acknowledgement")
	}
	s.acknowledge(&controlpb.RoutePosition{Version: 3, NextVersion: 7, Edits: step.EditsAfter(0)})
	if !s.canSend() {
		t.Fatal("no part may be sent after an acknowledgement")
	}
	for s.step != nil {
		s.take()
	}
	if got := s.position.GetVersion(); got != 7 || len(s.unacknowledged) != len(step.Parts)-1 {
		t.Errorf("version %d after the last part with %d unacknowledged", got, len(s.unacknowledged))
	}
	s.acknowledge(&controlpb.RoutePosition{Version: 7})
	if len(s.unacknowledged) != 0 {
		t.Errorf("%d parts are unacknowledged although the table is in use", len(s.unacknowledged))
	}
}
