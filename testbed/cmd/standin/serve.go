package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"heatherwall.example/testbed/backend"
	"heatherwall.example/testbed/journal"
)

// AddressError reports an address that is not an IP address with a port.
type AddressError struct {
	Text string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("%q: expected an IP address with a port", e.Text)
}

type serveFlags struct {
	options  backend.Options
	count    int
	gateways string
	journal  string
}

func parseServeFlags(arguments []string) (*serveFlags, error) {
	f := &serveFlags{}
	o := &f.options
	set := flag.NewFlagSet("serve", flag.ContinueOnError)
	set.IntVar(&f.count, "count", 1, "number of servers, on consecutive ports")
	set.StringVar(&o.Address, "address", "127.0.0.1:20000", "address of the first server")
	set.StringVar(&o.Service, "service", "", "name of the service")
	set.StringVar(&o.Region, "region", "", "region")
	set.StringVar(&o.FailureDomain, "failure-domain", "", "failure domain")
	set.StringVar(&f.gateways, "announce", "", "announce addresses of gateways, separated by commas")
	set.StringVar(&o.Credential, "credential", "", "credential of the service")
	set.IntVar(&o.Slots, "slots", 6, "number of requests that run at the same time")
	set.IntVar(&o.Queue, "queue", 12, "number of requests that may wait for a slot")
	set.IntVar(&o.Connections, "connections", 220, "announced limit of connections")
	set.DurationVar(&o.ServiceTime, "service-time", 2*time.Millisecond, "median time of a run")
	set.DurationVar(&o.ShiftInterval, "shift-every", 0, "mean time between shifts of the service time; 0 for none")
	set.Float64Var(&o.ShiftFactor, "shift-factor", 4, "factor on the service time in every second period")
	set.DurationVar(&o.ColdDuration, "cold", 0, "longest duration of a cold start; 0 starts warm")
	set.IntVar(&o.ColdRequests, "cold-requests", 0, "number of completed runs that end a cold start early; 0 for no such limit")
	set.IntVar(&o.ColdStep, "cold-step", 0, "completed runs after which the capacity of a cold server grows by one request; 0 for the default model")
	set.DurationVar(&o.ColdGrace, "cold-grace", 0, "time after the beginning of a cold start in which arrivals above the capacity are not counted")
	set.DurationVar(&o.DomainDelay, "domain-delay", 0, "one-way latency from senders in other failure domains of the region")
	set.DurationVar(&o.RegionDelay, "region-delay", 0, "one-way latency from senders in other regions")
	set.IntVar(&o.RetryAfter, "retry-after", 0, "Retry-After of shed requests in seconds; 0 for none")
	set.DurationVar(&o.RestartDelay, "restart", backend.DefaultRestartDelay, "time for which a collapsed server stays down")
	set.IntVar(&o.FillerBytes, "answer-bytes", 64, "filler bytes in a response")
	set.Func("report", "load reports: true, lagging, false or full", func(v string) error {
		o.ReportMode = backend.ReportMode(v)
		return nil
	})
	set.DurationVar(&o.ReportLag, "report-lag", 500*time.Millisecond, "maximum age of lagging load reports")
	set.DurationVar(&o.DrainTime, "drain", backend.DefaultDrainTime, "time for which a leaving server still accepts requests")
	set.BoolVar(&o.ExitOnCrash, "crash", false, "end the process on a request with the header Standin-Crash")
	set.Uint64Var(&o.Seed, "seed", 1, "seed of all random values")
	set.Uint64Var(&o.RandomStream, "stream", 0, "random stream of the first server, the next ones follow; 0 for streams by address")
	set.StringVar(&f.journal, "journal", "", "journal file; empty for none")
	if err := set.Parse(arguments); err != nil {
		return nil, err
	}
	o.Gateways = splitList(f.gateways)
	return f, nil
}

func splitList(text string) []string {
	var parts []string
	for part := range strings.SplitSeq(text, ",") {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return parts
}

func runServe(ctx context.Context, arguments []string) int {
	f, err := parseServeFlags(arguments)
	if err != nil {
		return exitUsage
	}
	writer, err := journal.OpenWriter(f.journal)
	if err != nil {
		return reportError(err)
	}
	defer writer.Close()
	f.options.Journal = writer
	servers, err := f.newServers()
	if err != nil {
		return reportError(err)
	}
	return runServers(ctx, servers)
}

func (f *serveFlags) newServers() ([]*backend.Server, error) {
	first, err := netip.ParseAddrPort(f.options.Address)
	if err != nil {
		return nil, &AddressError{Text: f.options.Address}
	}
	var sequence atomic.Uint64
	servers := make([]*backend.Server, f.count)
	for i := range servers {
		o := f.options
		o.Address = netip.AddrPortFrom(first.Addr(), first.Port()+uint16(i)).String()
		if o.RandomStream != 0 {
			o.RandomStream += uint64(i)
		}
		servers[i] = backend.New(o, &sequence)
	}
	return servers, nil
}

func runServers(ctx context.Context, servers []*backend.Server) int {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failures := make(chan error, len(servers))
	for _, s := range servers {
		go func() { failures <- s.Run(ctx) }()
	}
	fmt.Fprintf(os.Stderr, "standin: running %d servers\n", len(servers))
	code := exitOK
	for range servers {
		if err := <-failures; err != nil {
			code = reportError(err)
			cancel()
		}
	}
	return code
}
