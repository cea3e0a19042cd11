package headscan

import (
	"errors"
	"testing"
)

// problemOf returns the problem of a response that arrives in pieces of the given size; empty if there is none.
func problemOf(t *testing.T, response string, size int) Problem {
	t.Helper()
	s := Scanner{}
	for rest := []byte(response); len(rest) > 0; {
		n := min(size, len(rest))
		err := s.Scan(rest[:n])
		rest = rest[n:]
		if err == nil {
			continue
		}
		var invalid *Error
		if !errors.As(err, &invalid) {
			t.Fatalf("%q: %v is no *Error", response, err)
		}
		return invalid.Problem
	}
	return ""
}

// expectProblem checks that a response has a problem, in whatever pieces it arrives.
func expectProblem(t *testing.T, response string, want Problem) {
	t.Helper()
	for size := range len(response) {
		if got := problemOf(t, response, size+1); got != want {
			t.Errorf("%q in pieces of %d: problem %q, want %q", response, size+1, got, want)
		}
	}
}

// Guards against a status line that is accepted without a status of HTTP, or rejected with one.
func TestStatusLines(t *testing.T) {
	for line, want := range map[string]Problem{
		"HTTP/1.1 200 OK":        "",
		"HTTP/1.0 200 OK":        "",
		"HTTP/1.1 200":           "",
		"HTTP/1.1 200 ":          "",
		"HTTP/1.1  200 OK":       "",
		"HTTP/1.1 599 Last":      "",
		"HTTP/1.1 101 Switching": "",
		"HTTP/1.1 200 A very long reason that takes many bytes": "",
		"HTTP/1.1 000":       InvalidStatus,
		"HTTP/1.1 000 OK":    InvalidStatus,
		"HTTP/1.1 099 Early": InvalidStatus,
		"HTTP/1.1 600 More":  InvalidStatus,
		"HTTP/1.1 999 Most":  InvalidStatus,
		"HTTP/1.1 2000 OK":   InvalidStatus,
		"HTTP/1.1 20 OK":     InvalidStatus,
		"HTTP/1.1 +20 OK":    InvalidStatus,
		"HTTP/1.1 2x0 OK":    InvalidStatus,
		"HTTP/1.1 OK":        InvalidStatus,
		"HTTP/1.1 ":          InvalidStatus,
		"HTTP/1.1":           InvalidStatus,
		"HTTP/1.":            NotHTTP,
		"":                   NotHTTP,
		"HTTP/2.0 200 OK":    NotHTTP,
		"http/1.1 200 OK":    NotHTTP,
		" HTTP/1.1 200 OK":   NotHTTP,
		"garbage":            NotHTTP,
	} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 100 Continue\n\n"} {
			expectProblem(t, before+line+"\r\nX-A: b\r\n\r\nno HTTP", want)
		}
	}
}
