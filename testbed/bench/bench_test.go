package bench

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/load"
	"heatherwall.example/testbed/localsetup"
)

const (
	seed            = 20260101
	timeout         = 60 * time.Second
	callRate        = 500
	callRequests    = 5000
	busyRate        = 1000
	measurementTime = 10 * time.Second
	changesPerRun   = 20
	// settleTimePerGateway, multiplied by the number of gateways, is the time after which a gateway has opened its
	// connections to nearly all others. The handshakes take 4 KB per pair of gateways and must not count as traffic of an
	// idle gateway.
	settleTimePerGateway = 2500 * time.Millisecond
)

var gatewayCounts = []int{3, 6, 12, 18}

var binaries harness.Binaries

func TestMain(m *testing.M) { os.Exit(harness.RunTests(m, &binaries)) }

func newServingCluster(b *testing.B, gateways int) (*harness.Cluster, *harness.ServerGroup) {
	b.Helper()
	o := harness.DefaultOptions()
	o.Gateways = gateways
	c := harness.NewCluster(b, binaries, o)
	c.Apply(b, harness.Document())
	c.WaitReady(b)
	place := localsetup.Place{Region: harness.NearRegion, FailureDomain: harness.NearDomain1}
	servers := c.StartServers(b, harness.Catalogue, place, 12, "-service-time", "1ms", "-journal", "")
	harness.Eventually(b, timeout, "registration", servers.Registered)
	return c, servers
}

func runLoad(b *testing.B, o load.Options) load.Summary {
	b.Helper()
	s, err := load.Run(context.Background(), o)
	if err != nil {
		b.Fatal(err)
	}
	if s.OK < s.Requests {
		b.Logf("not every request was answered: %s", s.Line())
	}
	return s
}

// BenchmarkAddedTime compares calls through one gateway with direct calls to the same servers, with the same seed and
// rate.
func BenchmarkAddedTime(b *testing.B) {
	c, servers := newServingCluster(b, 3)
	o := load.Options{
		Targets: harness.Targets()[:1], Rate: callRate, Requests: callRequests, Timeout: 10 * time.Second, Seed: seed,
	}
	direct, through := o, o
	through.Gateways = c.LoadGateways()[:1]
	for _, address := range servers.Addresses {
		direct.Gateways = append(direct.Gateways, load.Gateway{Address: address})
	}
	runLoad(b, through) // opens the connections
	for b.Loop() {
		base, added := runLoad(b, direct), runLoad(b, through)
		b.ReportMetric(base.P50, "direct-p50-us")
		b.ReportMetric(base.P99, "direct-p99-us")
		b.ReportMetric(added.P50-base.P50, "added-p50-us")
		b.ReportMetric(added.P99-base.P99, "added-p99-us")
	}
}

// BenchmarkUsage reports the CPU, memory and bytes that the leader and one gateway use at each number of gateways, idle
// and under load.
func BenchmarkUsage(b *testing.B) {
	for _, gateways := range gatewayCounts {
		b.Run(fmt.Sprintf("gateways=%d", gateways), func(b *testing.B) {
			c, _ := newServingCluster(b, gateways)
			time.Sleep(time.Duration(gateways) * settleTimePerGateway)
			for b.Loop() {
				reportUsage(b, c, "idle", func() { time.Sleep(measurementTime) })
				reportUsage(b, c, "busy", func() {
					runLoad(b, load.Options{
						Gateways: c.LoadGateways(), Targets: harness.Targets()[:1], Rate: busyRate,
						Requests: int(busyRate * measurementTime.Seconds()), Timeout: 10 * time.Second, Seed: seed,
					})
				})
			}
		})
	}
}

// reportUsage reports the resources that the leader and the first gateway use while step runs.
func reportUsage(b *testing.B, c *harness.Cluster, state string, step func()) {
	b.Helper()
	processes := map[string]*harness.Process{
		"leader":  c.Process(c.Leader(b).Name),
		"gateway": c.Process(c.Setup.Gateways[0].Name),
	}
	before := map[string]harness.Usage{}
	for role, p := range processes {
		before[role] = p.Usage(b)
	}
	step()
	for role, p := range processes {
		r := p.Usage(b).RatesSince(before[role])
		b.ReportMetric(r.CPUCores*100, state+"-"+role+"-cpu-%")
		b.ReportMetric(r.BytesPerSecond, state+"-"+role+"-B/s")
		b.ReportMetric(float64(r.ResidentBytes)/(1<<20), state+"-"+role+"-MiB")
	}
}

// BenchmarkApply reports the time from sending a change until it is accepted, and until it is in force at 18 gateways.
func BenchmarkApply(b *testing.B) {
	c, _ := newServingCluster(b, gatewayCounts[len(gatewayCounts)-1])
	o := c.Operator(b)
	for b.Loop() {
		var commit, inForce []time.Duration
		for n := range changesPerRun {
			accepted, everywhere := o.TimeChange(b, n, timeout)
			commit = append(commit, accepted)
			inForce = append(inForce, everywhere)
		}
		b.ReportMetric(median(commit), "commit-p50-ms")
		b.ReportMetric(milliseconds(slices.Max(commit)), "commit-max-ms")
		b.ReportMetric(median(inForce), "in-force-p50-ms")
		b.ReportMetric(milliseconds(slices.Max(inForce)), "in-force-max-ms")
	}
}

func median(d []time.Duration) float64 {
	slices.Sort(d)
	return milliseconds(d[len(d)/2])
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
