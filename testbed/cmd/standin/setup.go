package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"

	"heatherwall.example/testbed/devcerts"
	"heatherwall.example/testbed/localsetup"
)

func writeCertificates(_ context.Context, arguments []string) int {
	set := flag.NewFlagSet("certs", flag.ContinueOnError)
	folder := set.String("folder", "certificates", "folder to write to")
	names := set.String("names", "", "instance names, separated by commas")
	if err := set.Parse(arguments); err != nil {
		return exitUsage
	}
	if err := devcerts.Write(*folder, splitList(*names)); err != nil {
		return reportError(err)
	}
	return exitOK
}

func writeSettings(_ context.Context, arguments []string) int {
	var o localsetup.Options
	set := flag.NewFlagSet("settings", flag.ContinueOnError)
	set.StringVar(&o.Folder, "folder", "run", "folder to write to")
	set.IntVar(&o.FirstPort, "first-port", 21000, "first of the consecutive loopback ports")
	set.IntVar(&o.Controls, "controls", 3, "number of control replicas")
	set.IntVar(&o.Gateways, "gateways", 2, "number of gateways")
	set.StringVar(&o.LogLevel, "log-level", "", "log level of every process; empty for the default")
	set.IntVar(&o.DrainSeconds, "drain-seconds", 0, "drain limit of the gateways in seconds; 0 for the default")
	controls := set.String("control-places", "", "REGION/FAILURE-DOMAIN separated by commas, used in turn")
	gateways := set.String("gateway-places", "", "REGION/FAILURE-DOMAIN separated by commas, used in turn")
	if err := set.Parse(arguments); err != nil {
		return exitUsage
	}
	o.ControlPlaces = parsePlaces(*controls)
	o.GatewayPlaces = parsePlaces(*gateways)
	s, err := localsetup.Write(o)
	if err != nil {
		return reportError(err)
	}
	return printSetup(s)
}

func parsePlaces(text string) []localsetup.Place {
	var places []localsetup.Place
	for _, part := range splitList(text) {
		region, domain, _ := strings.Cut(part, "/")
		places = append(places, localsetup.Place{Region: region, FailureDomain: domain})
	}
	return places
}

func printSetup(s *localsetup.Setup) int {
	text, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		panic(err) // strings and numbers can always be encoded
	}
	fmt.Println(string(text))
	return exitOK
}
