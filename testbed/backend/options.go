// Package backend is the stand-in backend server of the tests. It simulates slots, a service time that shifts within
// milliseconds, a cold start, load shedding, draining, deadlines and cancellation, and it announces itself to gateways
// as docs/design.md describes in 5.3, 5.4 and 5.7. All random values derive from a seed.
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
	// Gateways lists the announce addresses of gateways. The hash of Address selects the one to start with.
	Gateways   []string
	Credential string
	// Slots is the number of requests run at the same time.
	Slots int
	// Queue is the number of requests that may wait for a slot; more are shed.
	Queue int
	// Connections is the limit of connections that is announced to gateways.
	Connections int
	// ServiceTime is the median time of a run on a warm server.
	ServiceTime time.Duration
	// ShiftInterval is the mean time between shifts of the service time; 0 for no shifts.
	ShiftInterval time.Duration
	// ShiftFactor multiplies the service time in every second period between shifts.
	ShiftFactor float64
	// ColdDuration is the longest duration of a cold start; 0 starts warm.
	ColdDuration time.Duration
	// ColdRequests is the number of completed runs that end a cold start early; 0 for no such limit.
	ColdRequests int
	// ColdStep selects another model of the cold start: the capacity is one request and one more for each ColdStep
	// completed runs, up to Slots. The server works at half speed; above its capacity it slows down further with the square
	// of the ratio of outstanding requests to capacity. It never collapses, and it stays cold for the whole of
	// ColdDuration unless ColdRequests or a fault ends the cold start. 0 selects the default model.
	ColdStep int
	// ColdGrace is the time after the beginning of a cold start in which arrivals above the capacity are not counted.
	ColdGrace time.Duration
	// DomainDelay and RegionDelay are the one-way latencies from a sender in another failure domain of the region, and
	// in another region.
	DomainDelay time.Duration
	RegionDelay time.Duration
	// RetryAfter is the Retry-After value, in seconds, of shed requests; 0 for no such header.
	RetryAfter int
	// RestartDelay is how long a collapsed server stays down.
	RestartDelay time.Duration
	// FillerBytes is the number of filler bytes in a response.
	FillerBytes int
	// ReportMode selects how load reports deviate from the actual load.
	ReportMode ReportMode
	// ReportLag is the maximum age of the value that LaggingReport repeats.
	ReportLag time.Duration
	// DrainTime is how long a leaving server still accepts requests.
	DrainTime time.Duration
	// ExitOnCrash ends the process on a request that carries the crash header.
	ExitOnCrash bool
	Seed        uint64
	// RandomStream distinguishes the random streams of servers with the same seed; 0 for the hash of the address.
	RandomStream uint64
	Journal      *journal.Writer
}

// ReportMode selects how load reports deviate from the actual load.
type ReportMode string

// Modes of load reports.
const (
	AccurateReport ReportMode = "true"
	LaggingReport  ReportMode = "lagging"
	// IdleReport always reports an idle server.
	IdleReport ReportMode = "false"
	// OverloadReport always reports three times as many requests as slots.
	OverloadReport ReportMode = "full"
)

// Defaults of the command-line flags.
const (
	DefaultDrainTime    = 4 * time.Second
	DefaultRestartDelay = 500 * time.Millisecond
)

// latencyFrom returns the one-way latency from a sender at "REGION/DOMAIN"; 0 for an empty origin.
func (o Options) latencyFrom(origin string) time.Duration {
	region, domain, known := strings.Cut(origin, "/")
	switch {
	case !known, domain == o.FailureDomain:
		return 0
	case region == o.Region:
		return o.DomainDelay
	}
	return o.RegionDelay
}
