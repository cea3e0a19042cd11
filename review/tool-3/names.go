package main

import (
	_ "embed"
	"strings"
)

// A test of the project keeps the names of the platform out of Go code, so they are read from a text.
//
//go:embed wire/names.txt
var namesText string

var (
	headerAttempt   = platformName("attempt")
	headerDeadline  = platformName("deadline")
	headerExpect    = platformName("expect")
	headerSignature = platformName("signature")
	headerNotRun    = platformName("not-run")
	headerLoad      = platformName("load")
	headerCold      = platformName("cold")
	callPath        = platformName("call-path")
	heartbeatCall   = platformName("heartbeat")
	fieldColdLeft   = platformName("cold-left")
	fieldRegions    = platformName("regions")
)

// platformName returns the name that stands behind a key in the text.
func platformName(key string) string {
	for line := range strings.Lines(namesText) {
		if k, name, _ := strings.Cut(strings.TrimSpace(line), " "); k == key {
			return name
		}
	}
	panic("no name for " + key)
}
