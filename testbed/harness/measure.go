package harness

import (
	"context"
	"fmt"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
)

// measuringSection is the section of the document that test changes edit.
const measuringSection = "measuring"

// TimeChange applies change number n to the section measuring. It returns the time until the change was accepted and the
// time until it was in force at every gateway.
func (o *Operator) TimeChange(t testing.TB, n int, timeout time.Duration) (accepted, inForce time.Duration) {
	t.Helper()
	var base uint64
	for _, s := range o.Document().GetSections() {
		if s.Name == measuringSection {
			base = s.Revision
		}
	}
	text := fmt.Sprintf("owner: %s\nwithin_region: %dKiB\nacross_regions: 16KiB\n", Member, 100+n)
	signed := o.NewChange(t, measuringSection, base, text)
	start := time.Now()
	outcome := o.Apply(signed, timeout)
	accepted = time.Since(start)
	if outcome.GetResult() != controlpb.ChangeResult_CHANGE_ACCEPTED {
		t.Fatalf("change %d: %v", n, outcome)
	}
	o.awaitInForce(t, outcome.Revision, timeout)
	return accepted, time.Since(start)
}

func (o *Operator) awaitInForce(t testing.TB, revision uint64, timeout time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for ctx.Err() == nil {
		for _, i := range o.controls {
			answer, err := controlpb.NewOperatorsClient(o.connections[i.Name]).InForce(ctx, &controlpb.InForceRequest{Revision: revision})
			if err == nil && answer.InForce {
				return
			}
		}
	}
	t.Fatalf("revision %d was not in force within %s", revision, timeout)
}
