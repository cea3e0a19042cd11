package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"heatherwall.example/testbed/journal"
	"heatherwall.example/testbed/load"
)

func runLoad(ctx context.Context, arguments []string) int {
	var o load.Options
	var gateways, journalFile, jsonFile string
	set := flag.NewFlagSet("load", flag.ContinueOnError)
	set.StringVar(&gateways, "gateways", "", "caller addresses of gateways, ADDRESS@REGION separated by commas")
	set.Func("target", "kind of request, repeatable: METHOD PATH [once] [token=T] [home=A+B] [weight=N] [body=BYTES] [deadline=DURATION]", func(v string) error {
		t, err := load.ParseTarget(v)
		o.Targets = append(o.Targets, t)
		return err
	})
	set.Float64Var(&o.Rate, "rate", 100, "requests per second")
	set.IntVar(&o.Requests, "requests", 1000, "number of requests")
	set.IntVar(&o.Resends, "resends", 0, "resends of a request, through other gateways, after a lost response or an unknown outcome")
	set.Float64Var(&o.DuplicateShare, "twins", 0, "share of requests that are sent through two gateways at the same time")
	set.BoolVar(&o.RetryRefused, "retry-refused", false, "also resend after a refusal as not run")
	set.BoolVar(&o.FollowReadiness, "follow-readiness", false, "use only gateways whose /readyz succeeds")
	set.DurationVar(&o.Timeout, "timeout", 10*time.Second, "timeout of one attempt")
	set.Uint64Var(&o.Seed, "seed", 1, "seed of all random values")
	set.StringVar(&journalFile, "journal", "", "journal file; empty for none")
	set.StringVar(&jsonFile, "json", "", "file for the summary as JSON; empty for none, - for standard output")
	if err := set.Parse(arguments); err != nil {
		return exitUsage
	}
	o.Gateways = load.ParseGateways(gateways)
	writer, err := journal.OpenWriter(journalFile)
	if err != nil {
		return reportError(err)
	}
	defer writer.Close()
	o.Journal = writer
	summary, err := load.Run(ctx, o)
	if err != nil {
		return reportError(err)
	}
	fmt.Println(summary.Line())
	return writeJSON(jsonFile, summary.JSON())
}

func writeJSON(file, text string) int {
	switch file {
	case "":
		return exitOK
	case "-":
		fmt.Println(text)
		return exitOK
	}
	const mode = 0o644
	if err := os.WriteFile(file, []byte(text+"\n"), mode); err != nil {
		return reportError(&journal.FileError{File: file, Cause: err})
	}
	return exitOK
}
