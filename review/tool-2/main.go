// Command casetool-2 plays the cases 6 to 10 of the review: it starts the project's own programs as separate processes,
// with stand-ins for servers, clients and the operator, and checks one rule.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// caseTimeout ends a case that hangs; a script may run for 120 seconds.
const caseTimeout = 112 * time.Second

// cases maps the names of the cases to their functions. trouble is false if the disruption is left out. A case returns
// whether the rule held.
var cases = map[string]func(c *cluster, trouble bool) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casetool-2 CASE RECORD")
		os.Exit(exitNoRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, record string, trouble bool) (code int) {
	c, err := newCluster(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer c.close()
	done := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				c.note("the case could not run: %v", r)
				done <- exitNoRun
			}
		}()
		if cases[name](c, trouble) {
			done <- exitHeld
			return
		}
		done <- exitBroken
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case code = <-done:
	case <-stop:
		code = exitNoRun
	case <-time.After(caseTimeout):
		c.note("the case could not run: no end within %s", caseTimeout)
		code = exitNoRun
	}
	c.note("exit code %d (0 held, 1 broken, 2 could not run); trouble=%t", code, trouble)
	return code
}
