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
	// InvalidFieldName: the name of a field is no token (RFC 9110, section 5.6.2), or a line begins with a blank, as in the
	// obsolete folding of lines, which a gateway may reject (RFC 9112, section 5.2).
	InvalidFieldName Problem = "invalid_field_name"
)

var descriptions = map[Problem]string{
	NotHTTP:          "bytes that are not HTTP",
	InvalidStatus:    "an invalid status",
	InvalidFieldName: "an invalid field name",
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
