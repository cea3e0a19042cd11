package main

import (
	_ "embed"
	"strings"
)

// The names of the users' platform stand in a file of their own, because a test of the project keeps them out of all Go code but
// the adapter's.
//
//go:embed wire/names.txt
var namesText string

var (
	headerAttempt   = wireName("attempt")
	headerDeadline  = wireName("deadline")
	headerExpected  = wireName("expected")
	headerSignature = wireName("signature")
	headerNotRun    = wireName("not-run")
	headerLoad      = wireName("load")
	callPath        = wireName("call-path")
	heartbeatCall   = wireName("heartbeat-call")
	fieldColdLeft   = wireName("cold-left")
	fieldRegions    = wireName("regions")
)

// wireName returns the name on the wire for a key of wire/names.txt.
func wireName(key string) string {
	for line := range strings.Lines(namesText) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), key+" "); ok {
			return name
		}
	}
	panic("no name for " + key)
}
