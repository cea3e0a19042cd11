package process

import (
	"os"
	"slices"
	"testing"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
)

// Seed and timeout of this package. The timeout only guards liveness and is generous, because the machine may be busy.
const (
	seed    = 20260101
	timeout = 60 * time.Second
)

var (
	binaries    harness.Binaries
	nearPlace1  = localsetup.Place{Region: harness.NearRegion, FailureDomain: harness.NearDomain1}
	nearPlace2  = localsetup.Place{Region: harness.NearRegion, FailureDomain: harness.NearDomain2}
	farPlace1   = localsetup.Place{Region: harness.FarRegion, FailureDomain: harness.FarDomain1}
	serverFlags = []string{"-service-time", "3ms", "-shift-every", "50ms", "-shift-factor", "3", "-seed", "7"}
)

func TestMain(m *testing.M) {
	os.Exit(harness.RunTests(m, &binaries))
}

// newServingCluster starts a cluster and waits until its gateways serve with the test document.
func newServingCluster(t *testing.T, relayed bool) *harness.Cluster {
	t.Helper()
	o := harness.DefaultOptions()
	o.UseRelays = relayed
	c := harness.NewCluster(t, binaries, o)
	c.Apply(t, harness.Document())
	c.WaitReady(t)
	return c
}

// newControlCluster starts a cluster without gateways and applies the test document.
func newControlCluster(t *testing.T) *harness.Cluster {
	t.Helper()
	o := harness.DefaultOptions()
	o.WithoutGateways = true
	c := harness.NewCluster(t, binaries, o)
	c.Apply(t, harness.Document())
	return c
}

// startServers starts servers of every service and waits until each has an owner. The given flags override serverFlags.
func startServers(t *testing.T, c *harness.Cluster, flags ...string) []*harness.ServerGroup {
	t.Helper()
	flags = append(slices.Clone(serverFlags), flags...)
	groups := []*harness.ServerGroup{
		c.StartServers(t, harness.Catalogue, nearPlace1, 3, flags...),
		c.StartServers(t, harness.Catalogue, nearPlace2, 3, flags...),
		c.StartServers(t, harness.Catalogue, farPlace1, 3, flags...),
		c.StartServers(t, harness.Ledger, nearPlace1, 3, flags...),
		c.StartServers(t, harness.Ledger, nearPlace2, 3, flags...),
		c.StartServers(t, harness.Vault, nearPlace1, 2, flags...),
		c.StartServers(t, harness.Vault, farPlace1, 2, flags...),
	}
	for _, g := range groups {
		harness.Eventually(t, timeout, g.Name+" registered", g.Registered)
	}
	return groups
}
