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
	// ShiftEvery is the mean time between shifts of the service time; 0 for none.
	ShiftEvery time.Duration
	// ShiftFactor multiplies the service time during every second period.
	ShiftFactor float64
	// Cold is the longest duration of a cold start; 0 starts warm.
	Cold time.Duration
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
	// Restart is how long a server that fell over stays away.
	Restart time.Duration
	// AnswerBytes is the filler of an answer.
	AnswerBytes int
	// Report tells how load reports deviate from the truth.
	Report Report
	// ReportLag is the age of lagging reports.
	ReportLag time.Duration
	// Drain is how long a leaving server still takes requests.
	Drain time.Duration
	// ExitOnCrash ends the process on a request that carries the crash header.
	ExitOnCrash bool
	Seed        uint64
	// Stream tells the random streams of servers with one seed apart; 0 for the hash of the address.
	Stream  uint64
	Journal *journal.Writer
}

// Report tells how load reports deviate from the truth.
type Report string

// Kinds of load reports.
const (
	TrueReport    Report = "true"
	LaggingReport Report = "lagging"
	// FalseReport claims an idle server.
	FalseReport Report = "false"
	// FullReport claims three times as many requests as slots.
	FullReport Report = "full"
)

// Defaults of the command line.
const (
	DefaultDrain   = 4 * time.Second
	DefaultRestart = 500 * time.Millisecond
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
