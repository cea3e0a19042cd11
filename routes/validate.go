package routes

import (
	"fmt"
	"strings"

	"heatherwall.example/api/controlpb"
)

// InvalidError reports an invalid field of a route table.
type InvalidError struct {
	// Route or Workspace is the name of what the field belongs to; both are empty for other fields.
	Route     string
	Workspace string
	Field     string
	// Expected describes a valid value.
	Expected string
}

func (e *InvalidError) Error() string {
	switch {
	case e.Route != "":
		return fmt.Sprintf("route %q: %s: expected %s", e.Route, e.Field, e.Expected)
	case e.Workspace != "":
		return fmt.Sprintf("workspace %q: %s: expected %s", e.Workspace, e.Field, e.Expected)
	}
	return fmt.Sprintf("%s: expected %s", e.Field, e.Expected)
}

// Validate checks a route table. The error is an *InvalidError that reports the first invalid field.
func Validate(t *controlpb.RouteTable) error {
	known := map[string]bool{}
	for _, s := range t.GetServices() {
		if s.GetName() == "" {
			return &InvalidError{Field: "services", Expected: "a name for each service"}
		}
		known[s.GetName()] = true
	}
	for _, r := range t.GetRoutes() {
		if err := validateRoute(r, known); err != nil {
			return err
		}
	}
	return validateWorkspaces(t.GetWorkspaces())
}

func validateRoute(r *controlpb.Route, known map[string]bool) error {
	switch {
	case r.GetHost() == "":
		return &InvalidError{Route: r.GetName(), Field: "host", Expected: "a host name"}
	case !strings.HasPrefix(r.GetPathPrefix(), "/"):
		return &InvalidError{Route: r.GetName(), Field: "path_prefix", Expected: "a slash at the beginning"}
	case r.GetTimeoutMs() == 0:
		return &InvalidError{Route: r.GetName(), Field: "timeout_ms", Expected: "a time above 0"}
	}
	return validateShares(r, known)
}

func validateShares(r *controlpb.Route, known map[string]bool) error {
	largest := 0.0
	for _, s := range r.GetShares() {
		if !known[s.GetService()] {
			return &InvalidError{Route: r.GetName(), Field: "service", Expected: fmt.Sprintf("a service of the table, got %q", s.GetService())}
		}
		if !isFiniteCount(s.GetWeight()) {
			return &InvalidError{Route: r.GetName(), Field: "weight", Expected: expectedCount}
		}
		largest = max(largest, s.GetWeight())
	}
	if largest == 0 {
		return &InvalidError{Route: r.GetName(), Field: "weight", Expected: "a sum above 0"}
	}
	return nil
}
