package headscan

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
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

// Guards against a field name that is accepted although it is no token, or rejected although it is one.
func TestFieldNames(t *testing.T) {
	for line, want := range map[string]Problem{
		"X-A: b":                   "",
		"X-A:b":                    "",
		"X-A: ":                    "",
		"X-A:":                     "",
		"!#$%&'*+-.^_`|~09azAZ: b": "",
		"X-A: b: c \t\x01":         "", // net/http checks values
		"A-very-long-name-that-is-longer-than-what-is-kept-of-a-line: b": "",
		" X-A: b":     InvalidFieldName,
		"\tX-A: b":    InvalidFieldName,
		" ":           InvalidFieldName,
		"X A: b":      InvalidFieldName,
		"X\tA: b":     InvalidFieldName,
		"X\x00A: b":   InvalidFieldName,
		"X\rA: b":     InvalidFieldName,
		"\rX-A: b":    InvalidFieldName,
		"X-A : b":     InvalidFieldName,
		"X-A\t: b":    InvalidFieldName,
		"X-A\x7f: b":  InvalidFieldName,
		"X-\xc3\xa4:": InvalidFieldName,
		"X(A): b":     InvalidFieldName,
		": b":         InvalidFieldName,
		"no colon":    InvalidFieldName,
		"nocolon":     InvalidFieldName,
	} {
		for _, before := range []string{
			"HTTP/1.1 200 OK\r\n",
			"HTTP/1.1 200 OK\r\nX-First: a\r\n",
			"HTTP/1.1 103 Early Hints\r\nX-First: a\r\n\r\nHTTP/1.1 503 Full\n",
			"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1a;x=y\r\nabcdefghijklmnopqrstuvwxyz\r\n3\r\n\r\n \r\n000\r\n",
		} {
			expectProblem(t, before+line+"\r\n\r\n no head", want)
		}
	}
}

// Guards against lines of a body that are taken for lines of a head, and against framing that ends the scan with an error.
func TestBodiesAreNotChecked(t *testing.T) {
	const body = " folded\r\nno name\r\n\r\nHTTP/1.1 000\r\n"
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n00000000000000000\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFF\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	} {
		expectProblem(t, head+body, "")
	}
}

// FuzzScanner guards against a response that passes the scanner, and that net/http reads, with a status or a field name that is
// invalid.
func FuzzScanner(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 000 OK\r\nContent-Length : 3\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX A: b\r\n\r\n",
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n3\r\nabc\r\n0\r\nX-A: b\r\n c: d\r\n\r\n",
	} {
		f.Add(seed, 7)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		if problemOf(t, text, min(max(size, 1), len(text)+1)) != "" {
			return
		}
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), &http.Request{Method: http.MethodGet})
		if err != nil {
			return
		}
		if response.StatusCode < 100 || response.StatusCode > 599 {
			t.Errorf("status %d", response.StatusCode)
		}
		if response.StatusCode < 200 { // interim: what follows is checked as another response
			response.Body = http.NoBody
		}
		if _, err := io.ReadAll(response.Body); err != nil {
			return
		}
		for _, fields := range []http.Header{response.Header, response.Trailer} {
			for name := range fields {
				if name == "" || strings.IndexFunc(name, func(r rune) bool { return r > 127 || !isTokenByte(byte(r)) }) >= 0 {
					t.Errorf("field name %q", name)
				}
			}
		}
	})
}
