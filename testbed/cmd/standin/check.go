package main

import (
	"context"
	"flag"
	"fmt"

	"heatherwall.example/testbed/check"
)

// maxPrinted limits the number of violations that are printed.
const maxPrinted = 20

func runCheck(_ context.Context, arguments []string) int {
	var servers, callers string
	set := flag.NewFlagSet("check", flag.ContinueOnError)
	set.StringVar(&servers, "servers", "", "journals of servers, separated by commas")
	set.StringVar(&callers, "callers", "", "journals of callers, separated by commas")
	title := set.String("title", "", "also print a short line that begins with this title")
	if err := set.Parse(arguments); err != nil {
		return exitUsage
	}
	report, err := check.CompareFiles(splitList(servers), splitList(callers))
	if err != nil {
		return reportError(err)
	}
	for i, v := range report.Violations {
		if i == maxPrinted {
			break
		}
		fmt.Printf("%s: request %s: %s\n", v.Kind, v.Request, v.Detail)
	}
	fmt.Println(report.Line())
	if *title != "" {
		fmt.Println(report.ShortLine(*title))
	}
	if !report.Passed() {
		return exitFailed
	}
	return exitOK
}
