package headscan

import "fmt"

// Problem is what makes a head invalid.
type Problem string

// Problems of a head.
const (
	// NotHTTP: the bytes do not begin like a response of HTTP/1.
	NotHTTP Problem = "not_http"
	// InvalidStatus: the status is none of 100 to 599 (RFC 9110, section 15).
	InvalidStatus Problem = "invalid_status"
)

var descriptions = map[Problem]string{
	NotHTTP:       "bytes that are not HTTP",
	InvalidStatus: "an invalid status",
}

// Error reports an invalid head.
type Error struct {
	Problem Problem
	// Text holds the bytes that show the problem, maxTextBytes of them at most.
	Text string
}

func (e *Error) Error() string {
	return fmt.Sprintf("the backend server sent %s: %q", descriptions[e.Problem], e.Text)
}
