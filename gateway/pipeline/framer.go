package pipeline

import (
	"bytes"
	"net/http"
	"strings"
)

// maxHeadBytes is the length of the longest request head that a framer follows.
const maxHeadBytes = 8 << 10

// framerState is the position of a framer in the stream of requests.
type framerState int

const (
	// atBoundary: the next byte begins a request.
	atBoundary framerState = iota
	inHead
	inBody
	// lost: the framer does not know where the current request ends, and gives up for the rest of the connection.
	lost
)

// framer finds the end of each request on a connection. It follows only requests that every HTTP/1.1 parser delimits alike:
// lines that end in CR LF, and either no body or one Content-Length. After anything else it is lost.
type framer struct {
	state framerState
	// head holds the bytes of the current head that arrived in earlier calls.
	head []byte
	// left is the number of bytes of the current body that have not arrived.
	left int64
}

// advance consumes bytes up to the end of the current request at most, and returns their number.
func (f *framer) advance(p []byte) int {
	n := 0
	for n < len(p) {
		switch f.state {
		case atBoundary, inHead:
			n += f.advanceHead(p[n:])
		case inBody:
			take := min(f.left, int64(len(p)-n))
			f.left -= take
			n += int(take)
			if f.left == 0 {
				f.state = atBoundary
			}
		case lost:
			return len(p)
		}
		if f.state == atBoundary {
			return n
		}
	}
	return n
}

// advanceHead consumes bytes up to the end of the head at most, and returns their number.
func (f *framer) advanceHead(p []byte) int {
	seen := len(f.head)
	head := p
	if seen > 0 {
		head = append(f.head, p...)
	}
	h, result := parseHead(head)
	switch result {
	case headIncomplete:
		f.state = inHead
		f.head = append(f.head, p...)
		return len(p)
	case headUnusual:
		f.state, f.head = lost, nil
		return len(p)
	}
	f.head, f.left = f.head[:0], h.contentLength
	f.state = inBody
	if f.left == 0 {
		f.state = atBoundary
	}
	return h.length - seen
}

// headResult is the result of parseHead.
type headResult int

const (
	headComplete headResult = iota
	headIncomplete
	// headUnusual: the head is malformed, too long, or may be delimited differently by another parser.
	headUnusual
)

// head describes a request head.
type head struct {
	// length is the number of bytes up to the end of the empty line.
	length int
	// contentLength is the number of bytes of the body.
	contentLength int64
}

const endOfHead = "\r\n\r\n"

// parseHead parses the head of the request at the beginning of p.
func parseHead(p []byte) (head, headResult) {
	end := bytes.Index(p, []byte(endOfHead))
	known := p
	if end >= 0 {
		known = p[:end+len(endOfHead)]
	}
	if len(known) > maxHeadBytes || hasBareControl(known) || (len(p) > 0 && p[0] == '\r') {
		return head{}, headUnusual
	}
	if end < 0 {
		return head{}, headIncomplete
	}
	line, rest, _ := bytes.Cut(p[:end], crlf)
	if !isUsualRequestLine(line) {
		return head{}, headUnusual
	}
	h, usual := parseFields(rest)
	if !usual {
		return head{}, headUnusual
	}
	h.length = len(known)
	return h, headComplete
}

// parseFields reads the length of the body from the lines of a head. usual is false if another parser may find another
// length.
func parseFields(lines []byte) (h head, usual bool) {
	lengths := 0
	for len(lines) > 0 {
		var line []byte
		line, lines, _ = bytes.Cut(lines, crlf)
		name, value, ok := bytes.Cut(line, colon)
		if !ok || !isToken(name) { // also a folded line
			return head{}, false
		}
		switch {
		case isOneOf(name, "transfer-encoding", "expect", "upgrade", "http2-settings"):
			return head{}, false
		case isOneOf(name, "connection") && !isOneOf(bytes.TrimSpace(value), "keep-alive"):
			return head{}, false
		case isOneOf(name, "content-length"):
			h.contentLength, ok = parseContentLength(value)
			if lengths++; !ok || lengths > 1 {
				return head{}, false
			}
		}
	}
	return h, true
}

var (
	crlf  = []byte("\r\n")
	colon = []byte(":")
)

// isOneOf reports whether s equals one of the lower-case texts, in any case.
func isOneOf(s []byte, texts ...string) bool {
	for _, text := range texts {
		if len(s) == len(text) && strings.EqualFold(string(s), text) {
			return true
		}
	}
	return false
}

// hasBareControl reports whether p has a LF without a CR before it, a CR that something else follows, or a NUL.
func hasBareControl(p []byte) bool {
	for i, b := range p {
		switch {
		case b == 0,
			b == '\n' && (i == 0 || p[i-1] != '\r'),
			b == '\r' && i+1 < len(p) && p[i+1] != '\n':
			return true
		}
	}
	return false
}

// isUsualRequestLine reports whether a line has a method, a path and the version HTTP/1.1, each separated by one space.
func isUsualRequestLine(line []byte) bool {
	method, rest, _ := bytes.Cut(line, []byte(" "))
	target, version, ok := bytes.Cut(rest, []byte(" "))
	return ok && isToken(method) && string(method) != http.MethodConnect && len(target) > 0 && target[0] == '/' && string(version) == "HTTP/1.1"
}

// parseContentLength parses a Content-Length of at most 18 digits.
func parseContentLength(value []byte) (int64, bool) {
	digits := bytes.Trim(value, " \t")
	if len(digits) == 0 || len(digits) > 18 {
		return 0, false
	}
	n := int64(0)
	for _, d := range digits {
		if d < '0' || d > '9' {
			return 0, false
		}
		n = 10*n + int64(d-'0')
	}
	return n, true
}

// isToken reports whether s is a token of RFC 9110, section 5.6.2.
func isToken(s []byte) bool {
	for _, c := range s {
		isAlphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !isAlphanumeric && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(s) > 0
}
