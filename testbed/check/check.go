// Package check compares the journals of stand-in servers with those of callers.
package check

import (
	"fmt"
	"slices"

	"heatherwall.example/testbed/journal"
)

// Kind names a violation.
type Kind string

// Kinds of violations.
const (
	// Doubled is a request that must run at most once and was started more often.
	Doubled Kind = "doubled"
	// Misplaced is a run, or an answer passed on, outside the home regions.
	Misplaced Kind = "misplaced"
	// FalseNotRun is a sending that was refused as not run although a server ran it.
	FalseNotRun Kind = "false_not_run"
	// Mismatched is an answer that was cut, or belongs to another request, and was passed on as complete.
	Mismatched Kind = "mismatched"
)

// Violation is one finding.
type Violation struct {
	Kind    Kind   `json:"kind"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// Report is the result of a comparison.
type Report struct {
	Calls         int `json:"calls"`
	Requests      int `json:"requests"`
	Complete      int `json:"whole"`
	RefusedNotRun int `json:"refused_not_run"`
	Unknown       int `json:"unknown"`
	// AvoidableUnknown counts the unknown answers to requests that no server started, by reason; a reason in place of a problem
	// body is "cut".
	AvoidableUnknown map[string]int `json:"needless,omitempty"`
	Runs             int            `json:"runs"`
	Doubled          int            `json:"doubled"`
	Misplaced        int            `json:"misplaced"`
	FalseNotRun      int            `json:"false_not_run"`
	Mismatched       int            `json:"mismatched"`
	Collapses        int            `json:"fell_over"`
	// MaxAfterLeave is the longest time between an accepted leave and a later request at that server, in
	// nanoseconds.
	MaxAfterLeave int64       `json:"latest_after_leave_ns"`
	Violations    []Violation `json:"violations,omitempty"`
}

// Line is the report on one line.
func (r Report) Line() string {
	return fmt.Sprintf("check: calls=%d requests=%d whole=%d refused_not_run=%d unknown=%d needless=%v runs=%d doubled=%d misplaced=%d false_not_run=%d cut_or_swapped=%d fell_over=%d",
		r.Calls, r.Requests, r.Complete, r.RefusedNotRun, r.Unknown, r.AvoidableUnknown, r.Runs, r.Doubled, r.Misplaced, r.FalseNotRun, r.Mismatched, r.Collapses)
}

// ShortLine is what operators need of the report, on one line.
func (r Report) ShortLine(title string) string {
	return fmt.Sprintf("%s: calls=%d whole=%d refused_not_run=%d unknown=%d doubled=%d misplaced=%d",
		title, r.Calls, r.Complete, r.RefusedNotRun, r.Unknown, r.Doubled, r.Misplaced)
}

// Passed reports whether there is no violation.
func (r Report) Passed() bool { return len(r.Violations) == 0 }

// CompareFiles compares server journals with caller journals. It fails with *journal.FileError.
func CompareFiles(servers, callers []string) (Report, error) {
	c := newComparison()
	for _, file := range servers {
		if err := journal.Read(file, c.addRun); err != nil {
			return Report{}, err
		}
	}
	for _, file := range callers {
		if err := journal.Read(file, c.addCall); err != nil {
			return Report{}, err
		}
	}
	return c.report(), nil
}

type start struct {
	sending string
	region  string
	server  string
}

type comparison struct {
	result Report
	// starts lists the runs of each request.
	starts map[string][]start
	// sendings holds the sendings that a server started.
	sendings map[string]string
	calls    map[string][]journal.Call
}

func newComparison() *comparison {
	return &comparison{starts: map[string][]start{}, sendings: map[string]string{}, calls: map[string][]journal.Call{}}
}

func (c *comparison) addRun(r journal.ServerEvent) {
	switch r.Event {
	case journal.Started:
		c.result.Runs++
		c.starts[r.Request] = append(c.starts[r.Request], start{sending: r.Attempt, region: r.Region, server: r.Server})
		c.sendings[r.Attempt] = r.Server
	case journal.Collapsed:
		c.result.Collapses++
	}
	if r.Event == journal.Started || r.Event == journal.Shed {
		c.result.MaxAfterLeave = max(c.result.MaxAfterLeave, r.AfterLeave)
	}
}

func (c *comparison) addCall(call journal.Call) {
	c.result.Calls++
	switch {
	case call.Outcome == journal.OK && call.Mismatch == "":
		c.result.Complete++
	case saysNotRun(call):
		c.result.RefusedNotRun++
	case isUnknown(call):
		c.result.Unknown++
	}
	c.calls[call.Request] = append(c.calls[call.Request], call)
}

func (c *comparison) report() Report {
	c.result.Requests = len(c.calls)
	names := make([]string, 0, len(c.calls))
	for name := range c.calls {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		c.compare(name, c.calls[name])
	}
	return c.result
}

func (c *comparison) compare(request string, calls []journal.Call) {
	starts := c.starts[request]
	if calls[0].AtMostOnce && len(starts) > 1 {
		c.result.Doubled++
		c.violation(Doubled, request, fmt.Sprintf("started at %v", starts))
	}
	c.comparePlaces(request, calls, starts)
	for _, call := range calls {
		c.compareCall(request, call, starts)
		if len(starts) == 0 && isUnknown(call) {
			c.countNeedless(call)
		}
	}
}

func (c *comparison) comparePlaces(request string, calls []journal.Call, starts []start) {
	home := calls[0].HomeRegions
	if len(home) == 0 {
		return
	}
	for _, s := range starts {
		if !slices.Contains(home, s.region) {
			c.result.Misplaced++
			c.violation(Misplaced, request, fmt.Sprintf("home %v, ran in %s at %s", home, s.region, s.server))
		}
	}
	for _, call := range calls {
		passed := call.Outcome == journal.OK && call.GatewayRegion != "" && !slices.Contains(home, call.GatewayRegion)
		if passed {
			c.result.Misplaced++
			c.violation(Misplaced, request, fmt.Sprintf("home %v, answered by gateway %s in %s", home, call.Gateway, call.GatewayRegion))
		}
	}
}

func (c *comparison) compareCall(request string, call journal.Call, starts []start) {
	if server, ran := c.sendings[call.Attempt]; ran && saysNotRun(call) {
		c.result.FalseNotRun++
		c.violation(FalseNotRun, request, fmt.Sprintf("sending %s refused as %s, ran at %s", call.Attempt, call.Reason, server))
	}
	switch {
	case call.Mismatch != "":
		c.result.Mismatched++
		c.violation(Mismatched, request, fmt.Sprintf("sending %s through %s: %s", call.Attempt, call.Gateway, call.Mismatch))
	case call.Outcome == journal.OK && len(starts) == 0:
		c.result.Mismatched++
		c.violation(Mismatched, request, fmt.Sprintf("sending %s was answered, but no server ran the request", call.Attempt))
	}
}

func (c *comparison) countNeedless(call journal.Call) {
	if c.result.AvoidableUnknown == nil {
		c.result.AvoidableUnknown = map[string]int{}
	}
	reason := call.Reason
	if reason == "" {
		reason = string(call.Outcome)
	}
	c.result.AvoidableUnknown[reason]++
}

func isUnknown(call journal.Call) bool {
	return call.Outcome != journal.OK && !saysNotRun(call)
}

func saysNotRun(call journal.Call) bool {
	return call.Outcome == journal.Unreachable || call.Outcome == journal.Refused && call.Ran == journal.RanNo
}

func (c *comparison) violation(k Kind, request, detail string) {
	c.result.Violations = append(c.result.Violations, Violation{Kind: k, Request: request, Detail: detail})
}
