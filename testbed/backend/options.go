// Package backend is the stand-in backend server of the tests. It has slots, a service time that shifts within
// milliseconds, a cold start, shedding, draining, deadlines and cancellation, and it announces itself to gateways as
// docs/design.md describes in 5.3, 5.4 and 5.7. Everything random comes from a seed.
package backend

import (
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
	Journal     *journal.Writer
}

// Report tells how load reports deviate from the truth.
type Report string

// Kinds of load reports.
const (
	TrueReport    Report = "true"
	LaggingReport Report = "lagging"
	// FalseReport claims an idle server.
	FalseReport Report = "false"
)

// Defaults of the command line.
const (
	DefaultDrain   = 4 * time.Second
	DefaultRestart = 500 * time.Millisecond
)
