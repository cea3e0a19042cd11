package bench

import (
	"fmt"
	"testing"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/load"
	"heatherwall.example/testbed/localsetup"
)

const (
	timePerRate = 8 * time.Second
	// workersPerProcess is below the number of ports that harness.FreePorts can reserve at once.
	workersPerProcess = 174
)

var (
	callRates     = []float64{500, 1000, 2000, 4000}
	workerCounts  = []int{12, 100, 400, 870}
	replicaCounts = []int{3, 5, 9}
)

// BenchmarkCalls reports the processor time of one gateway per call at several rates.
func BenchmarkCalls(b *testing.B) {
	c, _ := newServingCluster(b, 1)
	gateway := c.Process(c.Setup.Gateways[0].Name)
	for _, rate := range callRates {
		b.Run(fmt.Sprintf("rate=%.0f", rate), func(b *testing.B) {
			for b.Loop() {
				before := gateway.Usage(b)
				s := runLoad(b, load.Options{
					Gateways: c.LoadGateways(), Targets: harness.Targets()[:1], Rate: rate,
					Requests: int(rate * timePerRate.Seconds()), Timeout: 10 * time.Second, Seed: seed,
				})
				used := gateway.Usage(b)
				b.ReportMetric(float64((used.CPU-before.CPU).Microseconds())/float64(s.Requests), "cpu-us/call")
				b.ReportMetric(used.RatesSince(before).CPUCores*100, "gateway-cpu-%")
				b.ReportMetric(float64(used.ResidentBytes)/(1<<20), "gateway-MiB")
				b.ReportMetric(s.P99, "p99-us")
			}
		})
	}
}

// BenchmarkWorkers reports the resources that the leader and a gateway use without calls as the number of backend servers
// grows.
func BenchmarkWorkers(b *testing.B) {
	for _, workers := range workerCounts {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := harness.NewCluster(b, binaries, harness.DefaultOptions())
			c.Apply(b, harness.Document())
			c.WaitReady(b)
			place := localsetup.Place{Region: harness.NearRegion, FailureDomain: harness.NearDomain1}
			for left := workers; left > 0; left -= workersPerProcess {
				servers := c.StartServers(b, harness.Catalogue, place, min(left, workersPerProcess), "-journal", "")
				harness.Eventually(b, timeout, "registration", servers.Registered)
			}
			for b.Loop() {
				reportUsage(b, c, "idle", func() { time.Sleep(measurementTime) })
			}
		})
	}
}

// BenchmarkReplicas reports the resources that the leader and a gateway use as the number of control replicas grows, with
// six gateways.
func BenchmarkReplicas(b *testing.B) {
	for _, replicas := range replicaCounts {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			o := harness.DefaultOptions()
			o.Controls, o.Gateways = replicas, 6
			c := harness.NewCluster(b, binaries, o)
			c.Apply(b, harness.Document())
			c.WaitReady(b)
			for b.Loop() {
				reportUsage(b, c, "idle", func() { time.Sleep(measurementTime) })
			}
		})
	}
}

// BenchmarkClaimedCalls compares calls that take a claim with calls of the same size that do not, through one gateway in
// one cluster.
func BenchmarkClaimedCalls(b *testing.B) {
	c, _ := newServingCluster(b, 1)
	place := localsetup.Place{Region: harness.NearRegion, FailureDomain: harness.NearDomain1}
	ledger := c.StartServers(b, harness.Ledger, place, 12, "-service-time", "1ms", "-journal", "")
	harness.Eventually(b, timeout, "registration", ledger.Registered)
	o := load.Options{Gateways: c.LoadGateways(), Rate: callRate, Requests: callRequests, Timeout: 10 * time.Second, Seed: seed}
	unclaimed, claimed := o, o
	unclaimed.Targets, claimed.Targets = harness.Targets()[:1], harness.Targets()[1:2]
	runLoad(b, claimed) // opens the connections
	for b.Loop() {
		base, with := runLoad(b, unclaimed), runLoad(b, claimed)
		b.ReportMetric(base.P50, "unclaimed-p50-us")
		b.ReportMetric(base.P99, "unclaimed-p99-us")
		b.ReportMetric(with.P50-base.P50, "claim-adds-p50-us")
		b.ReportMetric(with.P99-base.P99, "claim-adds-p99-us")
	}
}
