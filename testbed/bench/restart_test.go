package bench

import (
	"fmt"
	"testing"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/testbed/harness"
)

const measuringSection = "measuring"

var changeCounts = []int{10, 100, 1000, 10_000}

// BenchmarkRestart reports the time from the start of a replica process until it has applied every accepted change, and
// its memory at that time. All numbers of changes are measured one after the other in the same cluster.
func BenchmarkRestart(b *testing.B) {
	o := harness.DefaultOptions()
	o.WithoutGateways = true
	c := harness.NewCluster(b, binaries, o)
	c.Apply(b, harness.Document())
	operator := c.Operator(b)
	applied, revision := 0, measuringRevision(b, operator)
	for _, total := range changeCounts {
		b.Run(fmt.Sprintf("changes=%d", total), func(b *testing.B) {
			for b.Loop() {
				for ; applied < total; applied++ {
					revision = applyMeasuringChange(b, operator, revision, applied)
				}
				follower := c.OtherControls(c.Leader(b))[0]
				c.Process(follower.Name).Terminate(b, timeout)
				started := time.Now()
				process := c.StartControl(b, follower, false)
				harness.Eventually(b, timeout, "every change applied", func() bool {
					return operator.AppliedRevision(follower.Name) >= revision
				})
				b.ReportMetric(milliseconds(time.Since(started)), "applied-ms")
				b.ReportMetric(float64(process.Usage(b).ResidentBytes)/(1<<20), "MiB")
			}
		})
	}
}

func measuringRevision(b *testing.B, o *harness.Operator) uint64 {
	b.Helper()
	for _, s := range o.Document().GetSections() {
		if s.Name == measuringSection {
			return s.Revision
		}
	}
	b.Fatal("the document has no section measuring")
	return 0
}

func applyMeasuringChange(b *testing.B, o *harness.Operator, base uint64, n int) uint64 {
	b.Helper()
	text := fmt.Sprintf("owner: %s\nwithin_region: %dKiB\nacross_regions: 16KiB\n", harness.Member, 100+n)
	outcome := o.Apply(o.NewChange(b, measuringSection, base, text), timeout)
	if outcome.GetResult() != controlpb.ChangeResult_CHANGE_ACCEPTED {
		b.Fatalf("change %d: %v", n, outcome)
	}
	return outcome.Revision
}
