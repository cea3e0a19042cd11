package process

import (
	"net/http"
	"testing"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
	"heatherwall.example/testbed/relay"
)

const (
	regionCallRate = 200
	// refusedCalls are sent to the cut gateway after its lease must have run out.
	refusedCalls = 40
)

// cutRegions silently drops all traffic of the system between the two regions, in both directions.
func cutRegions(t *testing.T, c *harness.Cluster, d relay.Direction) {
	t.Helper()
	instances := append(append([]localsetup.Instance{}, c.Setup.Controls...), c.Setup.Gateways...)
	for _, near := range instances {
		for _, far := range instances {
			if near.Region == harness.Near && far.Region == harness.Far {
				c.Cut(t, near.Name, far.Name, d)
			}
		}
	}
}

func gatewayIn(t *testing.T, c *harness.Cluster, region string) localsetup.Instance {
	t.Helper()
	for _, g := range c.Setup.Gateways {
		if g.Region == region {
			return g
		}
	}
	t.Fatalf("no gateway in %s", region)
	return localsetup.Instance{}
}

// Guards against a region without a majority that goes on serving with a configuration that may be out of date, against
// a majority that stops with it, and against a region that does not come back.
func TestRegionCutFromTheMajority(t *testing.T) {
	o := harness.DefaultOptions()
	o.Relayed = true
	o.ControlPlaces = []localsetup.Place{nearFirst, nearSecond, farFirst}
	c := harness.NewCluster(t, binaries, o)
	c.Apply(t, harness.Document())
	c.Ready(t)
	startServers(t, c)
	operator := c.Operator(t)
	far, near := gatewayIn(t, c, harness.Far), gatewayIn(t, c, harness.Near)
	calls, file := c.NewLoad(t, "calls", regionCallRate, endless, seed)
	during(t, calls, func() {
		cutRegions(t, c, relay.Both)
		ids := applyChain(t, operator, 0, 3)
		accepted, _ := revisionOf(t, operator, measuring)
		time.Sleep(api.ConfigurationLease + api.LeaseMargin)
		for range refusedCalls {
			if status := harness.Get(t, "http://"+far.Callers+harness.CataloguePath, http.Header{}); status != http.StatusServiceUnavailable {
				t.Fatalf("the cut gateway answered %d after its lease ran out", status)
			}
		}
		if harness.IsReady(far) {
			t.Error("the cut gateway still asks the platform's balancer for requests")
		}
		harness.Eventually(t, limit, "the majority serves", func() bool {
			return harness.Get(t, "http://"+near.Callers+harness.CataloguePath, http.Header{}) == http.StatusOK
		})
		cutRegions(t, c, relay.None)
		harness.Eventually(t, limit, "the region is back", func() bool {
			return harness.IsReady(far) && operator.SectionsAt(c.Setup.Controls[2].Name).GetRevision() >= accepted
		})
		checkHistory(t, operator, ids)
	})
	c.CheckSafety(t, file)
}
