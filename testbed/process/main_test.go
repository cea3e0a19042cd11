package process

import (
	"os"
	"slices"
	"testing"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
)

// Seeds and limits of this package. Limits are for liveness only and generous, because the machine may be busy.
const (
	seed  = 20260101
	limit = 60 * time.Second
)

var (
	binaries    harness.Binaries
	nearFirst   = localsetup.Place{Region: harness.NearRegion, FailureDomain: harness.NearDomain1}
	nearSecond  = localsetup.Place{Region: harness.NearRegion, FailureDomain: harness.NearDomain2}
	farFirst    = localsetup.Place{Region: harness.FarRegion, FailureDomain: harness.FarDomain1}
	serverFlags = []string{"-service-time", "3ms", "-shift-every", "50ms", "-shift-factor", "3", "-seed", "7"}
)

func TestMain(m *testing.M) {
	os.Exit(harness.RunTests(m, &binaries))
}

// serving starts a cluster with the test document in force.
func serving(t *testing.T, relayed bool) *harness.Cluster {
	t.Helper()
	o := harness.DefaultOptions()
	o.UseRelays = relayed
	c := harness.NewCluster(t, binaries, o)
	c.Apply(t, harness.Document())
	c.WaitReady(t)
	return c
}

// deciding starts a cluster without gateways with the test document accepted.
func deciding(t *testing.T) *harness.Cluster {
	t.Helper()
	o := harness.DefaultOptions()
	o.WithoutGateways = true
	c := harness.NewCluster(t, binaries, o)
	c.Apply(t, harness.Document())
	return c
}

// startServers starts servers of every service and waits until each has an owner. Further flags win over the usual ones.
func startServers(t *testing.T, c *harness.Cluster, flags ...string) []*harness.ServerGroup {
	t.Helper()
	flags = append(slices.Clone(serverFlags), flags...)
	groups := []*harness.ServerGroup{
		c.StartServers(t, harness.Catalogue, nearFirst, 3, flags...),
		c.StartServers(t, harness.Catalogue, nearSecond, 3, flags...),
		c.StartServers(t, harness.Catalogue, farFirst, 3, flags...),
		c.StartServers(t, harness.Ledger, nearFirst, 3, flags...),
		c.StartServers(t, harness.Ledger, nearSecond, 3, flags...),
		c.StartServers(t, harness.Vault, nearFirst, 2, flags...),
		c.StartServers(t, harness.Vault, farFirst, 2, flags...),
	}
	for _, g := range groups {
		harness.Eventually(t, limit, g.Name+" registered", g.Registered)
	}
	return groups
}
