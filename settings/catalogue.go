package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Discovery finds the control replicas of a setup from a few addresses. The addresses may be out of date: one that
// answers suffices, and the replicas learn of each other from the membership of their group.
type Discovery struct {
	// Seeds are addresses of control replicas, IP number and port.
	Seeds []string `yaml:"seeds"`
	// PeerPort is the port of the peer listener on every seed; the default is the port of the seed.
	PeerPort uint16 `yaml:"peer_port"`
	// FirstStart tells that all replicas start for the first time with empty data folders and the same seeds. The seed
	// with the lowest address then creates the group, and the others join it. Replicas with a data folder ignore it.
	FirstStart bool `yaml:"first_start"`
}

// PeerAddresses returns the peer listeners of the seeds, the lowest address first.
func (d *Discovery) PeerAddresses() []string {
	var list []netip.AddrPort
	for _, seed := range d.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // reported by the check of the settings
		}
		if d.PeerPort != 0 {
			a = netip.AddrPortFrom(a.Addr(), d.PeerPort)
		}
		list = append(list, a)
	}
	slices.SortFunc(list, netip.AddrPort.Compare)
	names := make([]string, len(list))
	for i, a := range list {
		names[i] = a.String()
	}
	return names
}

// ControlCatalogue holds the settings of a replica for the catalogue.
type ControlCatalogue struct {
	// Listen is the HTTP listener for backend servers and for operators that put route tables. Whoever reaches it may
	// change the catalogue.
	Listen Listener `yaml:"listen"`
	// FailureDomains gives the region of each failure domain.
	FailureDomains map[string]string `yaml:"failure_domains"`
	// ReportMs is the time in milliseconds between two reports of a backend server; the default is 1500.
	ReportMs int `yaml:"report_ms"`
}

// GatewayCatalogue holds the settings of a gateway for the catalogue.
type GatewayCatalogue struct {
	// ServeStaleSeconds is how long the gateway goes on serving what it knows after the lease has run out; the default 0
	// stops at once.
	ServeStaleSeconds int `yaml:"serve_stale_seconds"`
	// Retry limits the attempts beyond the first of each request, over all gateways together.
	Retry RetryBudget `yaml:"retry"`
	// Cold limits the requests that a backend server in cold start gets within a second from all gateways together.
	Cold ColdLimit `yaml:"cold"`
	// DomainCostMs and SpillCostMs are the times in milliseconds that a request to another failure domain of the region,
	// or to another region, has to gain; they stand for the price of the bytes. Defaults are those of package balance.
	DomainCostMs int `yaml:"domain_cost_ms"`
	SpillCostMs  int `yaml:"spill_cost_ms"`
	// MemoryMB is the memory of the process in megabytes; 0 leaves the limits of the runtime as they are.
	MemoryMB int `yaml:"memory_mb"`
}

// RetryBudget is a sum over all gateways in any window: Ratio times the requests of a service, and Slack.
type RetryBudget struct {
	Ratio         float64 `yaml:"ratio"`
	Slack         float64 `yaml:"slack"`
	WindowSeconds float64 `yaml:"window_seconds"`
}

// ColdLimit is a number of requests in a second: Overage times the rate that a service gives, and Slack.
type ColdLimit struct {
	Overage float64 `yaml:"overage"`
	Slack   float64 `yaml:"slack"`
}

// Defaults of the catalogue.
const (
	DefaultReportMs = 1500
	// The share of retries is that of the balance package, with as many saved as one gateway saves.
	DefaultRetryRatio         = 0.1
	DefaultRetrySlack         = 20
	DefaultRetryWindowSeconds = 10
	DefaultColdOverage        = 1
)

// ServeStale is how long the gateway serves after the lease has run out.
func (g *GatewayCatalogue) ServeStale() time.Duration {
	return time.Duration(g.ServeStaleSeconds) * time.Second
}

// DomainCost is the time that a request to another failure domain has to gain; 0 stands for the default.
func (g *GatewayCatalogue) DomainCost() time.Duration {
	return time.Duration(g.DomainCostMs) * time.Millisecond
}

// SpillCost is the time that a request to another region has to gain; 0 stands for the default.
func (g *GatewayCatalogue) SpillCost() time.Duration {
	return time.Duration(g.SpillCostMs) * time.Millisecond
}

// ReportInterval is the time between two reports of a backend server.
func (c *ControlCatalogue) ReportInterval() time.Duration {
	return time.Duration(c.ReportMs) * time.Millisecond
}

func (c *checker) discovery(d *Discovery) {
	if len(d.Seeds) == 0 {
		c.add("discovery.seeds", "expected at least one address")
	}
	for i, seed := range d.Seeds {
		c.address(fmt.Sprintf("discovery.seeds[%d]", i), seed)
	}
}

func (c *checker) controlCatalogue(s *ControlCatalogue) {
	if s == nil {
		return
	}
	c.listener("catalogue.listen", s.Listen, false)
	if len(s.FailureDomains) == 0 {
		c.add("catalogue.failure_domains", "expected the region of each failure domain")
	}
	s.ReportMs = c.positive("catalogue.report_ms", s.ReportMs, DefaultReportMs)
}

func (c *checker) gatewayCatalogue(s *GatewayCatalogue) {
	if s == nil {
		return
	}
	s.ServeStaleSeconds = c.positive("catalogue.serve_stale_seconds", s.ServeStaleSeconds, 0)
	s.DomainCostMs = c.positive("catalogue.domain_cost_ms", s.DomainCostMs, 0)
	s.SpillCostMs = c.positive("catalogue.spill_cost_ms", s.SpillCostMs, 0)
	s.MemoryMB = c.positive("catalogue.memory_mb", s.MemoryMB, 0)
	s.Retry.Ratio = c.positiveNumber("catalogue.retry.ratio", s.Retry.Ratio, DefaultRetryRatio)
	s.Retry.Slack = c.positiveNumber("catalogue.retry.slack", s.Retry.Slack, DefaultRetrySlack)
	s.Retry.WindowSeconds = c.positiveNumber("catalogue.retry.window_seconds", s.Retry.WindowSeconds, DefaultRetryWindowSeconds)
	s.Cold.Overage = c.positiveNumber("catalogue.cold.overage", s.Cold.Overage, DefaultColdOverage)
	s.Cold.Slack = c.positiveNumber("catalogue.cold.slack", s.Cold.Slack, 0)
}

func (c *checker) positiveNumber(path string, value, fallback float64) float64 {
	if value < 0 {
		c.add(path, "expected a positive number")
	}
	if value == 0 {
		return fallback
	}
	return value
}
