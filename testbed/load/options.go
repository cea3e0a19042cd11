// Package load is the open-loop load generator of the tests: the seed determines when each request is sent, independently
// of the outcome of earlier ones. It verifies every response and writes the outcome of every attempt to a journal.
package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"heatherwall.example/testbed/journal"
)

// Gateway is an address to which requests are sent.
type Gateway struct {
	Address string
	// Region is recorded for package check; it may be empty.
	Region string
	// FailureDomain determines, together with Region, the latency that stand-in servers simulate; empty for none.
	FailureDomain string
}

// Target is one kind of request.
type Target struct {
	Method string
	// Path may include a query. Each request appends a path segment with its number.
	Path string
	// AtMostOnce marks requests that are not idempotent and carry a key.
	AtMostOnce bool
	// HomeRegions lists the home regions that package check expects; empty for all.
	HomeRegions []string
	Token       string
	Weight      int
	// BodyBytes is the size of the request body.
	BodyBytes int
	// Deadline is sent as Heatherwall-Deadline-Ms; 0 for none.
	Deadline time.Duration
}

// Options describe a load.
type Options struct {
	Gateways []Gateway
	Targets  []Target
	// Rate is in requests per second.
	Rate float64
	// Requests is the number of requests, not counting resends.
	Requests int
	// Resends is how often a request is sent again, through another gateway, after a lost response or an unknown outcome.
	Resends int
	// DuplicateShare is the share of requests that are sent through two gateways at the same time.
	DuplicateShare float64
	// RetryRefused also resends after a refusal as not run.
	RetryRefused bool
	// FollowReadiness uses only gateways whose /readyz succeeds, as the platform's load balancer does.
	FollowReadiness bool
	// Timeout limits one attempt.
	Timeout time.Duration
	Seed    uint64
	Journal *journal.Writer
}

// TargetError reports a target that could not be parsed, or options without a gateway, a target or a rate.
type TargetError struct {
	Text     string
	Expected string
}

func (e *TargetError) Error() string { return fmt.Sprintf("%q: expected %s", e.Text, e.Expected) }

// ParseGateways parses "ADDRESS@REGION,ADDRESS,...".
func ParseGateways(text string) []Gateway {
	var gateways []Gateway
	for part := range strings.SplitSeq(text, ",") {
		if part == "" {
			continue
		}
		address, region, _ := strings.Cut(part, "@")
		gateways = append(gateways, Gateway{Address: address, Region: region})
	}
	return gateways
}

const targetSyntax = "METHOD PATH [once] [token=T] [home=A+B] [weight=N] [body=BYTES] [deadline=DURATION]"

// ParseTarget parses "METHOD PATH [once] [token=T] [home=A+B] [weight=N] [body=BYTES] [deadline=DURATION]".
func ParseTarget(text string) (Target, error) {
	fields := strings.Fields(text)
	if len(fields) < 2 {
		return Target{}, &TargetError{Text: text, Expected: targetSyntax}
	}
	t := Target{Method: fields[0], Path: fields[1], Weight: 1}
	for _, field := range fields[2:] {
		if err := t.set(field); err != nil {
			return Target{}, err
		}
	}
	return t, nil
}

func (t *Target) set(field string) error {
	name, value, _ := strings.Cut(field, "=")
	var err error
	switch name {
	case "once":
		t.AtMostOnce = true
	case "token":
		t.Token = value
	case "home":
		t.HomeRegions = strings.Split(value, "+")
	case "weight":
		t.Weight, err = strconv.Atoi(value)
	case "body":
		t.BodyBytes, err = strconv.Atoi(value)
	case "deadline":
		t.Deadline, err = time.ParseDuration(value)
	default:
		return &TargetError{Text: field, Expected: targetSyntax}
	}
	if err != nil {
		return &TargetError{Text: field, Expected: targetSyntax}
	}
	return nil
}
