package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"time"

	"heatherwall.example/testbed/relay"
)

const adminHeaderTimeout = 5 * time.Second

func runRelay(ctx context.Context, arguments []string) int {
	set := flag.NewFlagSet("relay", flag.ContinueOnError)
	admin := set.String("admin", "127.0.0.1:20999", "address of the HTTP admin endpoint")
	routes := set.String("routes", "", "LISTEN=TARGET, separated by commas")
	if err := set.Parse(arguments); err != nil {
		return exitUsage
	}
	relays, err := startRelays(*routes)
	if err != nil {
		return reportError(err)
	}
	defer func() {
		for _, r := range relays {
			r.Close()
		}
	}()
	return serveAdmin(ctx, *admin, relays)
}

func startRelays(routes string) ([]*relay.Relay, error) {
	var relays []*relay.Relay
	for _, route := range splitList(routes) {
		listen, target, _ := strings.Cut(route, "=")
		r, err := relay.Start(listen, target, nil)
		if err != nil {
			return relays, err
		}
		fmt.Printf("relay: %s to %s\n", r.Address(), target)
		relays = append(relays, r)
	}
	return relays, nil
}

func serveAdmin(ctx context.Context, address string, relays []*relay.Relay) int {
	server := &http.Server{Addr: address, Handler: relay.Admin(relays), ReadHeaderTimeout: adminHeaderTimeout}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return reportError(err)
	}
	return exitOK
}
