// Package backend is the stand-in backend server of the tests. It has slots, a service time that shifts within
// milliseconds, a cold start, shedding, draining, deadlines and cancellation, and it announces itself to gateways as
// docs/design.md describes in 5.3, 5.4 and 5.7. Everything random comes from a seed.
package backend

import (
	"strings"
	"time"

	"heatherwall.example/testbed/journal"
)

// Options describe one server.
type Options struct {
	Service       string
	Region        string
	FailureDomain string
	// Address is the IP address and port to listen on.
	Address string
	// Gateways lists announce addresses, the preferred first.
	Gateways   []string
	Credential string
	// Slots is the number of requests run at the same time.
	Slots int
	// Queue is the number of requests that may wait for a slot; more are shed.
	Queue int
	// Connections is announced to gateways.
	Connections int
	// ServiceTime is the median time of a run on a warm server.
	ServiceTime time.Duration
	// ShiftInterval is the mean time between shifts of the service time; 0 for none.
	ShiftInterval time.Duration
	// ShiftFactor multiplies the service time during every second period.
	ShiftFactor float64
	// ColdDuration is the longest duration of a cold start; 0 starts warm.
	ColdDuration time.Duration
	// ColdRequests ends a cold start early, after so many completed runs.
	ColdRequests int
	// ColdStep replaces the model of a cold start: the server bears one request and one more for each ColdStep finished
	// ones, works at half speed, and slows down with the square of the excess. It stays cold for the whole of Cold,
	// unless a fault ends it, and never falls over. 0 keeps the usual model.
	ColdStep int
	// ColdGrace is the time after a fallback in which requests do not count against what the server bears.
	ColdGrace time.Duration
	// DomainDelay and RegionDelay are the one-way latencies from a sender in another failure domain of the region, and
	// in another region.
	DomainDelay time.Duration
	RegionDelay time.Duration
	// RetryAfter is sent in seconds when a request is shed; 0 for none.
	RetryAfter int
	// RestartDelay is how long a server that fell over stays away.
	RestartDelay time.Duration
	// FillerBytes is the filler of an answer.
	FillerBytes int
	// ReportMode tells how load reports deviate from the truth.
	ReportMode ReportMode
	// ReportLag is the age of lagging reports.
	ReportLag time.Duration
	// DrainTime is how long a leaving server still takes requests.
	DrainTime time.Duration
	// ExitOnCrash ends the process on a request that carries the crash header.
	ExitOnCrash bool
	Seed        uint64
	// RandomStream tells the random streams of servers with one seed apart; 0 for the hash of the address.
	RandomStream uint64
	Journal      *journal.Writer
}

// ReportMode tells how load reports deviate from the truth.
type ReportMode string

// Kinds of load reports.
const (
	AccurateReport ReportMode = "true"
	LaggingReport  ReportMode = "lagging"
	// IdleReport claims an idle server.
	IdleReport ReportMode = "false"
	// OverloadReport claims three times as many requests as slots.
	OverloadReport ReportMode = "full"
)

// Defaults of the command line.
const (
	DefaultDrainTime    = 4 * time.Second
	DefaultRestartDelay = 500 * time.Millisecond
)

// distance is the one-way latency from a sender at "REGION/DOMAIN"; an empty origin is near.
func (o Options) distance(origin string) time.Duration {
	region, domain, known := strings.Cut(origin, "/")
	switch {
	case !known, domain == o.FailureDomain:
		return 0
	case region == o.Region:
		return o.DomainDelay
	}
	return o.RegionDelay
}
