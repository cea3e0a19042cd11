package balance

import "time"

// Switches turns mechanisms off, so that the benefit of each can be measured. The zero value leaves all of them on.
type Switches struct {
	// NoTiers treats all servers alike, wherever they are.
	NoTiers bool
	// NoLatency leaves the latencies of answers out of the expected wait.
	NoLatency bool
	// NoReports ignores the load that servers report.
	NoReports bool
	// NoDistrust believes reports even if they disagree with what the gateway sees.
	NoDistrust bool
	// NoInFlightAge ignores the age of outstanding requests.
	NoInFlightAge bool
	// NoFailurePenalty counts fast failures as fast.
	NoFailurePenalty bool
	// NoEjection never ejects a server.
	NoEjection bool
	// NoColdLimit sends to cold servers as to warm ones. Servers owned elsewhere stay excluded.
	NoColdLimit bool
	// NoFallbackDetection relies on announcements alone to learn of a fallback into cold start.
	NoFallbackDetection bool
	// NoPause ignores Retry-After.
	NoPause bool
	// NoServerLimit lifts the limit per server.
	NoServerLimit bool
	// NoRetryBudget allows every retry.
	NoRetryBudget bool
	// NoHedging refuses every hedge.
	NoHedging bool
	// NoYield lets requests that are late take any slot.
	NoYield bool
	// NoGradualReturn gives a server that returns its full share at once.
	NoGradualReturn bool
}

// Config is fixed for the life of an Engine. Zero fields take the default named in the comment.
type Config struct {
	// Name of the gateway; it decides which servers the gateway asks first.
	Name          string
	Region        string
	FailureDomain string
	Switches      Switches
	// RegionCost is what a request to another failure domain of the own region costs; default 1 ms.
	RegionCost time.Duration
	// SpillCost is what a request to another region costs; default 24 ms.
	SpillCost time.Duration
	// EvidenceLifetime is the age up to which evidence permits sending; default 2.5 s.
	EvidenceLifetime time.Duration
	// ReturnRampTime is the time in which a returning server rises to its full share; default 8 s.
	ReturnRampTime time.Duration
	// RetryShare is the number of retries per first attempt; default 0.1.
	RetryShare float64
	// HedgeShare is the number of hedges per first attempt; default 0.1.
	HedgeShare float64
	// RetryBurst is the number of retries that can be saved for each service; default 20.
	RetryBurst int64
	// NearFullFactor is how much longer work takes at a server that is nearly full; default 1.
	NearFullFactor float64
}

// Defaults of Config.
const (
	DefaultRegionCost       = time.Millisecond
	DefaultSpillCost        = 24 * time.Millisecond
	DefaultEvidenceLifetime = 2500 * time.Millisecond
	DefaultReturnRampTime   = 8 * time.Second
	DefaultRetryShare       = 0.1
	DefaultHedgeShare       = 0.1
	DefaultRetryBurst       = 20
	DefaultNearFullFactor   = 1
)

func (c Config) withDefaults() Config {
	c.RegionCost = defaultDuration(c.RegionCost, DefaultRegionCost)
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
