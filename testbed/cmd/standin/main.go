// Command standin is the test-only companion of heatherwall: a stand-in backend server, a load generator, the comparison
// of their journals, a fault-injecting TCP relay, and helpers for setups on loopback. Exit codes: 0 success, 1 failure, 2
// wrong usage.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand. It returns an exit code and writes errors to stderr.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, arguments []string) int
}

func commands() []command {
	return []command{
		{"serve", "run stand-in backend servers", runServe},
		{"load", "send an open-loop load and verify the responses", runLoad},
		{"check", "compare the journals of servers and callers", runCheck},
		{"certs", "write a development certificate authority and certificates", writeCertificates},
		{"settings", "write the settings of a local setup", writeSettings},
		{"relay", "forward TCP and silently drop traffic on demand", runRelay},
	}
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(dispatch(ctx, os.Args[1:]))
}

func dispatch(ctx context.Context, arguments []string) int {
	if len(arguments) == 0 {
		usage(os.Stderr)
		return exitUsage
	}
	for _, c := range commands() {
		if c.name == arguments[0] {
			return c.run(ctx, arguments[1:])
		}
	}
	usage(os.Stderr)
	return exitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "usage: standin COMMAND [flags]; standin COMMAND -h lists the flags")
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-9s %s\n", c.name, c.summary)
	}
}

func reportError(err error) int {
	fmt.Fprintln(os.Stderr, "standin:", err)
	return exitFailed
}
