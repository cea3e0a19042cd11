// Command review-3 plays the cases of the third review against the programs of the system.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(out *record, trouble bool) (broken bool, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(exitFailed)
	}
	out, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	broken, err := cases[os.Args[1]](out, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		out.add("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(exitFailed)
	case broken:
		fmt.Println("the rule was broken")
		os.Exit(exitBroken)
	}
	fmt.Println("the rule held")
	os.Exit(exitHeld)
}
