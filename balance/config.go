package balance

import "time"

// Switches disables mechanisms one by one, so that the benefit of each can be measured. The zero value leaves all of them
// enabled.
type Switches struct {
	// NoTiers treats all servers alike, regardless of their region and failure domain.
	NoTiers bool
	// NoLatency leaves the latencies of responses out of the expected latency.
	NoLatency bool
	// NoReports ignores the load that servers report.
	NoReports bool
	// NoDistrust trusts reports even if they disagree with the measured latencies.
	NoDistrust bool
	// NoInFlightAge ignores the age of requests in flight.
	NoInFlightAge bool
	// NoFailurePenalty counts failures with their measured latency.
	NoFailurePenalty bool
	// NoEjection never ejects a server.
	NoEjection bool
	// NoColdLimit sends to cold servers as to warm ones. Cold servers of other owners stay excluded.
	NoColdLimit bool
	// NoFallbackDetection learns of a fallback into cold start only through reports and announcements.
	NoFallbackDetection bool
	// NoPause ignores Retry-After, and pauses that servers ask for.
	NoPause bool
	// NoServerLimit lifts the limit per server.
	NoServerLimit bool
	// NoRetryBudget allows every retry.
	NoRetryBudget bool
	// NoHedging refuses every hedge.
	NoHedging bool
	// NoYield never refuses a request with ReasonYield.
	NoYield bool
	// NoGradualReturn gives a returning server its full share at once.
	NoGradualReturn bool
}

// Config is fixed for the life of an Engine. Zero fields take the default named in the comment.
type Config struct {
	// Name of the gateway; it determines which servers the gateway probes first.
	Name          string
	Region        string
	FailureDomain string
	Switches      Switches
	// DomainCost is the latency added by a request to another failure domain of the own region; default 1 ms.
	DomainCost time.Duration
	// SpillCost is the latency added by a request to another region; default 24 ms.
	SpillCost time.Duration
	// EvidenceLifetime is the age up to which evidence permits sending; default 2.5 s.
	EvidenceLifetime time.Duration
	// ReturnRampTime is the time over which the share of a returning server rises to its full share; default 8 s.
	ReturnRampTime time.Duration
	// RetryShare is the number of retries per first attempt; default 0.1.
	RetryShare float64
	// HedgeShare is the number of hedges per first attempt; default 0.1.
	HedgeShare float64
	// RetryBurst is the maximum number of retries that the budget of each service can accumulate; default 20.
	RetryBurst int64
	// NearFullFactor is the factor by which work takes longer at a server that is nearly full; default 1.
	NearFullFactor float64
	// ReuseWindow is the time between two contacts of a server within which its idle connection is reused. A gateway with
	// few requests prefers as few servers for probes as it contacts so often; 0 for a fixed number of servers.
	ReuseWindow time.Duration
}

// Defaults of Config.
const (
	DefaultDomainCost       = time.Millisecond
	DefaultSpillCost        = 24 * time.Millisecond
	DefaultEvidenceLifetime = 2500 * time.Millisecond
	DefaultReturnRampTime   = 8 * time.Second
	DefaultRetryShare       = 0.1
	DefaultHedgeShare       = 0.1
	DefaultRetryBurst       = 20
	DefaultNearFullFactor   = 1
)

func (c Config) withDefaults() Config {
	c.DomainCost = defaultDuration(c.DomainCost, DefaultDomainCost)
	c.SpillCost = defaultDuration(c.SpillCost, DefaultSpillCost)
	c.EvidenceLifetime = defaultDuration(c.EvidenceLifetime, DefaultEvidenceLifetime)
	c.ReturnRampTime = defaultDuration(c.ReturnRampTime, DefaultReturnRampTime)
	c.RetryShare = defaultShare(c.RetryShare, DefaultRetryShare)
	c.HedgeShare = defaultShare(c.HedgeShare, DefaultHedgeShare)
	c.NearFullFactor = defaultShare(c.NearFullFactor, DefaultNearFullFactor)
	if c.RetryBurst == 0 {
		c.RetryBurst = DefaultRetryBurst
	}
	return c
}

func defaultDuration(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

func defaultShare(s, fallback float64) float64 {
	if s == 0 {
		return fallback
	}
	return s
}
