package settings

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Discovery finds the control replicas of a cluster through a few seed addresses. Some may be out of date: one seed that
// answers is enough, because the replicas know each other from the membership of their Raft group.
type Discovery struct {
	// Seeds are addresses of control replicas, each an IP address with a port.
	Seeds []string `yaml:"seeds"`
	// PeerPort is the port of the peer listener on every seed; the default is the port of the seed.
	PeerPort uint16 `yaml:"peer_port"`
	// FirstStart is set when all replicas start for the first time, with empty data folders and the same seeds. The seed with
	// the lowest address then creates the configuration group, and the others join it. Replicas that have data ignore the
	// field.
	FirstStart bool `yaml:"first_start"`
}

// PeerAddresses returns the addresses of the peer listeners of the seeds, the lowest address first.
func (d *Discovery) PeerAddresses() []string {
	var list []netip.AddrPort
	for _, seed := range d.Seeds {
		a, err := netip.ParseAddrPort(seed)
		if err != nil {
			continue // checkDiscovery reports it
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

// ControlCatalogue holds the catalogue settings of a control replica.
type ControlCatalogue struct {
	// Listen is the HTTP listener for backend servers and for operators that put route tables. Whoever can reach it may
	// change the catalogue.
	Listen Listener `yaml:"listen"`
	// FailureDomains maps each failure domain to its region.
	FailureDomains map[string]string `yaml:"failure_domains"`
	// ReportMs is the time in milliseconds between two reports of a backend server; the default is 1500.
	ReportMs int `yaml:"report_ms"`
	// Quota says how exactly the quotas of workspaces are kept. It must be the same at gateways.
	Quota QuotaBounds `yaml:"quota"`
}

// GatewayCatalogue holds the catalogue settings of a gateway.
type GatewayCatalogue struct {
	// ServeStaleSeconds is how long the gateway keeps serving its last known configuration after its lease has expired; with
	// the default 0 it stops at once.
	ServeStaleSeconds int `yaml:"serve_stale_seconds"`
	// ApplyMs is the time in milliseconds after its acknowledgement from which a route table is in force at this gateway: if the
	// gateway reaches a majority of the control replicas, it then refuses requests rather than serve an older table. The default
	// is 2000.
	ApplyMs int `yaml:"apply_ms"`
	// Retry limits the attempts beyond the first of each request, over all gateways together.
	Retry RetryBudget `yaml:"retry"`
	// Cold limits the requests per second that all gateways together send to a backend server in cold start.
	Cold ColdLimit `yaml:"cold"`
	// DomainCostMs and SpillCostMs are the reduction of latency in milliseconds that justifies sending a request to another
	// failure domain of the region, or to another region. They represent the price of the transferred bytes. Defaults are
	// those of package balance.
	DomainCostMs int `yaml:"domain_cost_ms"`
	SpillCostMs  int `yaml:"spill_cost_ms"`
	// Relay is the listener for other gateways that reach no backend server and pass requests on to this one. Without it, the
	// gateway neither passes requests on nor takes any. It has no TLS; only gateways may be able to reach it.
	Relay Listener `yaml:"relay"`
	// MemoryMB is the memory available to the process in megabytes; 0 leaves the limits of the runtime unchanged.
	MemoryMB int `yaml:"memory_mb"`
	// Quota says how exactly the quotas of workspaces are kept. It must be the same at control replicas.
	Quota QuotaBounds `yaml:"quota"`
}

// RetryBudget limits the retries of a service over all gateways in any window of WindowSeconds to Ratio times its requests
// plus Slack.
type RetryBudget struct {
	Ratio         float64 `yaml:"ratio"`
	Slack         float64 `yaml:"slack"`
	WindowSeconds float64 `yaml:"window_seconds"`
}

// QuotaBounds limits the requests of a workspace over all gateways in any window of WindowSeconds to what its quota permits
// in that time, times 1 + Overage, plus Slack.
type QuotaBounds struct {
	WindowSeconds float64 `yaml:"window_seconds"`
	Overage       float64 `yaml:"overage"`
	Slack         float64 `yaml:"slack"`
}

// ColdLimit limits the requests per second to Overage times the cold rate of the service plus Slack.
type ColdLimit struct {
	Overage float64 `yaml:"overage"`
	Slack   float64 `yaml:"slack"`
}

// Defaults of the catalogue.
const (
	DefaultReportMs = 1500
	DefaultApplyMs  = 2000
	// The ratio is that of package balance, and the slack is the number of retries that one gateway can save up.
	DefaultRetryRatio         = 0.1
	DefaultRetrySlack         = 20
	DefaultRetryWindowSeconds = 10
	DefaultColdOverage        = 1
	DefaultQuotaWindowSeconds = 5
	DefaultQuotaOverage       = 0.1
)

// ServeStale returns how long the gateway keeps serving after its lease has expired.
func (g *GatewayCatalogue) ServeStale() time.Duration {
	return time.Duration(g.ServeStaleSeconds) * time.Second
}

// ApplyTime returns the time after its acknowledgement from which a route table is in force.
func (g *GatewayCatalogue) ApplyTime() time.Duration {
	return time.Duration(g.ApplyMs) * time.Millisecond
}

// DomainCost returns the reduction of latency that justifies sending a request to another failure domain; 0 stands for the
// default.
func (g *GatewayCatalogue) DomainCost() time.Duration {
	return time.Duration(g.DomainCostMs) * time.Millisecond
}

// SpillCost returns the reduction of latency that justifies sending a request to another region; 0 stands for the default.
func (g *GatewayCatalogue) SpillCost() time.Duration {
	return time.Duration(g.SpillCostMs) * time.Millisecond
}

// ReportInterval returns the time between two reports of a backend server.
func (c *ControlCatalogue) ReportInterval() time.Duration {
	return time.Duration(c.ReportMs) * time.Millisecond
}

func (c *checker) checkDiscovery(d *Discovery) {
	if len(d.Seeds) == 0 {
		c.addProblem("discovery.seeds", "expected at least one address")
	}
	for i, seed := range d.Seeds {
		c.checkAddress(fmt.Sprintf("discovery.seeds[%d]", i), seed)
	}
}

func (c *checker) checkControlCatalogue(s *ControlCatalogue) {
	if s == nil {
		return
	}
	c.checkListener("catalogue.listen", s.Listen, false)
	if len(s.FailureDomains) == 0 {
		c.addProblem("catalogue.failure_domains", "expected the region of each failure domain")
	}
	s.ReportMs = c.intOrDefault("catalogue.report_ms", s.ReportMs, DefaultReportMs)
	c.checkQuota(&s.Quota)
}

func (c *checker) checkGatewayCatalogue(s *GatewayCatalogue) {
	if s == nil {
		return
	}
	s.ServeStaleSeconds = c.intOrDefault("catalogue.serve_stale_seconds", s.ServeStaleSeconds, 0)
	s.ApplyMs = c.intOrDefault("catalogue.apply_ms", s.ApplyMs, DefaultApplyMs)
	s.DomainCostMs = c.intOrDefault("catalogue.domain_cost_ms", s.DomainCostMs, 0)
	s.SpillCostMs = c.intOrDefault("catalogue.spill_cost_ms", s.SpillCostMs, 0)
	s.MemoryMB = c.intOrDefault("catalogue.memory_mb", s.MemoryMB, 0)
	s.Retry.Ratio = c.floatOrDefault("catalogue.retry.ratio", s.Retry.Ratio, DefaultRetryRatio)
	s.Retry.Slack = c.floatOrDefault("catalogue.retry.slack", s.Retry.Slack, DefaultRetrySlack)
	s.Retry.WindowSeconds = c.floatOrDefault("catalogue.retry.window_seconds", s.Retry.WindowSeconds, DefaultRetryWindowSeconds)
	s.Cold.Overage = c.floatOrDefault("catalogue.cold.overage", s.Cold.Overage, DefaultColdOverage)
	if s.Relay.Address != "" {
		c.checkListener("catalogue.relay", s.Relay, false)
	}
	s.Cold.Slack = c.floatOrDefault("catalogue.cold.slack", s.Cold.Slack, 0)
	c.checkQuota(&s.Quota)
}

func (c *checker) checkQuota(q *QuotaBounds) {
	q.WindowSeconds = c.floatOrDefault("catalogue.quota.window_seconds", q.WindowSeconds, DefaultQuotaWindowSeconds)
	q.Overage = c.floatOrDefault("catalogue.quota.overage", q.Overage, DefaultQuotaOverage)
	q.Slack = c.floatOrDefault("catalogue.quota.slack", q.Slack, 0)
}

// floatOrDefault returns fallback for 0, and reports negative values, infinity and values that are not a number.
func (c *checker) floatOrDefault(path string, value, fallback float64) float64 {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		c.addProblem(path, expectedNumber)
	}
	if value == 0 {
		return fallback
	}
	return value
}
