// Package check compares the journals of stand-in servers with those of callers and reports violations of the delivery
// guarantees.
package check

import (
	"fmt"
	"slices"

	"heatherwall.example/testbed/journal"
)

// Kind is the kind of a violation.
type Kind string

// Kinds of violations.
const (
	// Doubled is a request that must run at most once but was started more than once.
	Doubled Kind = "doubled"
	// Misplaced is a request that ran, or whose response was passed on by a gateway, outside its home regions.
	Misplaced Kind = "misplaced"
	// FalseNotRun is an attempt that was reported as not run although a server had started it.
	FalseNotRun Kind = "false_not_run"
	// Mismatched is a response passed on as complete that is truncated, or that belongs to another request or to none that
	// ran.
	Mismatched Kind = "mismatched"
)

// Violation is one violation of a guarantee by one request.
type Violation struct {
	Kind    Kind   `json:"kind"`
	Request string `json:"request"`
	Detail  string `json:"detail"`
}

// Report is the result of a comparison. Calls counts attempts; Requests counts requests, each with all its attempts.
type Report struct {
	Calls         int `json:"calls"`
	Requests      int `json:"requests"`
	Complete      int `json:"whole"`
	RefusedNotRun int `json:"refused_not_run"`
	Unknown       int `json:"unknown"`
	// AvoidableUnknown counts, by reason, the attempts with an unknown outcome at requests that no server started. The
	// reason is that of the problem body, or "cut" if there was no complete response.
	AvoidableUnknown map[string]int `json:"needless,omitempty"`
	Runs             int            `json:"runs"`
	Doubled          int            `json:"doubled"`
	Misplaced        int            `json:"misplaced"`
	FalseNotRun      int            `json:"false_not_run"`
	Mismatched       int            `json:"mismatched"`
	Collapses        int            `json:"fell_over"`
	// MaxAfterLeave is the longest time in nanoseconds after an accepted leave at which the leaving server still got a
	// request.
	MaxAfterLeave int64       `json:"latest_after_leave_ns"`
	Violations    []Violation `json:"violations,omitempty"`
}

// Line returns the report as one line.
func (r Report) Line() string {
	return fmt.Sprintf("check: calls=%d requests=%d whole=%d refused_not_run=%d unknown=%d needless=%v runs=%d doubled=%d misplaced=%d false_not_run=%d cut_or_swapped=%d fell_over=%d",
		r.Calls, r.Requests, r.Complete, r.RefusedNotRun, r.Unknown, r.AvoidableUnknown, r.Runs, r.Doubled, r.Misplaced, r.FalseNotRun, r.Mismatched, r.Collapses)
}

// ShortLine returns the counts that operators need as one line that begins with title.
func (r Report) ShortLine(title string) string {
	return fmt.Sprintf("%s: calls=%d whole=%d refused_not_run=%d unknown=%d doubled=%d misplaced=%d",
		title, r.Calls, r.Complete, r.RefusedNotRun, r.Unknown, r.Doubled, r.Misplaced)
}

// Passed reports whether the comparison found no violation.
func (r Report) Passed() bool { return len(r.Violations) == 0 }

// CompareFiles compares the journal files of servers with those of callers. An error is a *journal.FileError.
func CompareFiles(servers, callers []string) (Report, error) {
	c := newComparison()
	for _, file := range servers {
		if err := journal.Read(file, c.addServerEvent); err != nil {
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

type startedRun struct {
	attempt string
	region  string
	server  string
}

type comparison struct {
	result Report
	// startedRuns lists the started runs by request.
	startedRuns map[string][]startedRun
	// startedAttempts maps each attempt that a server started to that server.
	startedAttempts map[string]string
	calls           map[string][]journal.Call
}

func newComparison() *comparison {
	return &comparison{startedRuns: map[string][]startedRun{}, startedAttempts: map[string]string{}, calls: map[string][]journal.Call{}}
}

func (c *comparison) addServerEvent(r journal.ServerEvent) {
	switch r.Event {
	case journal.Started:
		c.result.Runs++
		c.startedRuns[r.Request] = append(c.startedRuns[r.Request], startedRun{attempt: r.Attempt, region: r.Region, server: r.Server})
		c.startedAttempts[r.Attempt] = r.Server
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
	case reportsNotRun(call):
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
		c.checkRequest(name, c.calls[name])
	}
	return c.result
}

func (c *comparison) checkRequest(request string, calls []journal.Call) {
	startedRuns := c.startedRuns[request]
	if calls[0].AtMostOnce && len(startedRuns) > 1 {
		c.result.Doubled++
		c.addViolation(Doubled, request, fmt.Sprintf("started at %v", startedRuns))
	}
	c.checkRegions(request, calls, startedRuns)
	for _, call := range calls {
		c.checkCall(request, call, startedRuns)
		if len(startedRuns) == 0 && isUnknown(call) {
			c.countAvoidableUnknown(call)
		}
	}
}

func (c *comparison) checkRegions(request string, calls []journal.Call, startedRuns []startedRun) {
	home := calls[0].HomeRegions
	if len(home) == 0 {
		return
	}
	for _, s := range startedRuns {
		if !slices.Contains(home, s.region) {
			c.result.Misplaced++
			c.addViolation(Misplaced, request, fmt.Sprintf("home %v, ran in %s at %s", home, s.region, s.server))
		}
	}
	for _, call := range calls {
		relayed := call.Outcome == journal.OK && call.GatewayRegion != "" && !slices.Contains(home, call.GatewayRegion)
		if relayed {
			c.result.Misplaced++
			c.addViolation(Misplaced, request, fmt.Sprintf("home %v, response passed on by gateway %s in %s", home, call.Gateway, call.GatewayRegion))
		}
	}
}

func (c *comparison) checkCall(request string, call journal.Call, startedRuns []startedRun) {
	if server, started := c.startedAttempts[call.Attempt]; started && reportsNotRun(call) {
		c.result.FalseNotRun++
		c.addViolation(FalseNotRun, request, fmt.Sprintf("attempt %s was refused as %s, but ran at %s", call.Attempt, call.Reason, server))
	}
	switch {
	case call.Mismatch != "":
		c.result.Mismatched++
		c.addViolation(Mismatched, request, fmt.Sprintf("attempt %s through %s: %s", call.Attempt, call.Gateway, call.Mismatch))
	case call.Outcome == journal.OK && len(startedRuns) == 0:
		c.result.Mismatched++
		c.addViolation(Mismatched, request, fmt.Sprintf("attempt %s got a response, but no server ran the request", call.Attempt))
	}
}

func (c *comparison) countAvoidableUnknown(call journal.Call) {
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
	return call.Outcome != journal.OK && !reportsNotRun(call)
}

func reportsNotRun(call journal.Call) bool {
	return call.Outcome == journal.Unreachable || call.Outcome == journal.Refused && call.Ran == journal.RanNo
}

func (c *comparison) addViolation(k Kind, request, detail string) {
	c.result.Violations = append(c.result.Violations, Violation{Kind: k, Request: request, Detail: detail})
}
