// Command benchgateway is a gateway with the baseline selection of backend servers, with which testbed/scenario
// compares the shipped selection. It is for benchmarks only and enforces none of the limits of the shipped selection.
// Exit codes: 0 done, 1 failed, 2 wrong usage or settings.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"heatherwall.example/gateway"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// Exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	file := flag.String("settings", "", "YAML `file` with the settings of the gateway (required)")
	flag.Parse()
	os.Exit(run(*file))
}

func run(file string) int {
	text, err := os.ReadFile(file)
	if err != nil {
		return fail(err, exitUsage)
	}
	s, err := settings.ParseGateway(file, text)
	if err != nil {
		return fail(err, exitUsage)
	}
	level, err := telemetry.ParseLevel(s.LogLevel)
	if err != nil {
		return fail(err, exitUsage)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	baseline := gateway.BenchOptions{TwoChoices: true}
	if err := gateway.RunBench(ctx, s, telemetry.NewLogger(os.Stderr, level), nil, gateway.Options{}, baseline); err != nil {
		return fail(err, exitFailed)
	}
	return exitDone
}

func fail(err error, code int) int {
	fmt.Fprintln(os.Stderr, "benchgateway:", err)
	return code
}
