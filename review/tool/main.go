// Command casetool runs one case of the review: it starts a small deployment of heatherwall as separate processes on
// loopback addresses, plays clients, workers and the operator, and checks one rule. Exit codes: 0 the rule held, 1 it was
// broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longestRun is the time after which a case ends as one that could not run.
const longestRun = 117 * time.Second

// cases maps each name to a case. A case returns what broke the rule, or "".
var cases = map[string]func(c *caseEnv) string{
	"evacuation":     staleEvacuationEnd,
	"disk":           diskLossAfterReplacement,
	"region":         regionLossAfterReplacement,
	"deregistration": deregistrationAtEmptyReplica,
}

// caseEnv is what a case gets.
type caseEnv struct {
	binary  string
	record  *record
	trouble bool
	// only names the one of two disruptions that is played; empty for both. It is for comparison.
	only string
}

// plays reports whether a disruption is played.
func (e *caseEnv) plays(name string) bool { return e.trouble && (e.only == "" || e.only == name) }

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casetool CASE HEATHERWALL RECORD")
		os.Exit(2)
	}
	e := &caseEnv{binary: os.Args[2], record: newRecord(os.Args[3]), trouble: os.Getenv("TROUBLE") != "0", only: os.Getenv("ONLY")}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
			cannotRun("interrupted")
		case <-time.After(longestRun):
			cannotRun("the case took too long")
		}
	}()
	broken := cases[os.Args[1]](e)
	endAll()
	if broken != "" {
		e.record.logf("BROKEN: %s", broken)
		fmt.Println("BROKEN: " + broken)
		os.Exit(1)
	}
	e.record.logf("the rule held")
	fmt.Println("the rule held")
}
