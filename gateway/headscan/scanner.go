// Package headscan checks the status lines of the responses on a connection before net/http reads them, which accepts any three
// digits as a status. It may import the standard library only.
package headscan

import (
	"bytes"
	"strings"
)

// maxTextBytes is the number of bytes of a line that are kept.
const maxTextBytes = 40

// prefix begins every response.
const prefix = "HTTP/1."

// state is what the next byte belongs to.
type state int

const (
	statusLine state = iota
	lineStart
	field
	// unchecked is a body, or what follows a response.
	unchecked
)

// Scanner checks the bytes of one response with its interim responses. Its zero value is ready to use. It checks what net/http
// does not, and passes over what net/http rejects by itself.
type Scanner struct {
	state state
	// text holds the first bytes of the current status line.
	text    [maxTextBytes]byte
	textLen int
	// interim is set in the head of an interim response.
	interim bool
}

// Scan checks the next bytes of the response. It returns an *Error at the first byte that shows a problem; what arrived before
// that byte in the same call must not be used either.
func (s *Scanner) Scan(p []byte) error {
	for len(p) > 0 && s.state != unchecked {
		n, err := s.scanPart(p)
		if err != nil {
			return err
		}
		p = p[n:]
	}
	return nil
}

// scanPart checks the bytes of p that belong to the current state, and returns their number.
func (s *Scanner) scanPart(p []byte) (n int, err error) {
	switch s.state {
	case statusLine:
		return s.scanStatusLine(p)
	case lineStart:
		return s.scanLineStart(p[0]), nil
	}
	return s.skipLine(p, lineStart), nil
}

// skipLine skips the rest of a line, after which next follows.
func (s *Scanner) skipLine(p []byte, next state) (n int) {
	i := bytes.IndexByte(p, '\n')
	if i < 0 {
		return len(p)
	}
	s.state = next
	return i + 1
}

// appendText keeps a byte of the current line.
func (s *Scanner) appendText(b byte) {
	if s.textLen < len(s.text) {
		s.text[s.textLen] = b
		s.textLen++
	}
}

func (s *Scanner) problem(p Problem) error {
	return &Error{Problem: p, Text: string(s.text[:s.textLen])}
}

func (s *Scanner) scanStatusLine(p []byte) (n int, err error) {
	for i, b := range p {
		if b == '\n' {
			return i + 1, s.endStatusLine()
		}
		at := s.textLen
		s.appendText(b)
		if at < len(prefix) && b != prefix[at] {
			return 0, s.problem(NotHTTP)
		}
	}
	return len(p), nil
}

// endStatusLine reads the status line as net/http does.
func (s *Scanner) endStatusLine() error {
	line := strings.TrimRight(string(s.text[:s.textLen]), "\r")
	if len(line) <= len(prefix) {
		return s.problem(NotHTTP)
	}
	_, rest, _ := strings.Cut(line, " ")
	status, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(status) != 3 || strings.Trim(status, "0123456789") != "" || status < "100" || status > "599" {
		return s.problem(InvalidStatus)
	}
	s.interim = status[0] == '1' && status != "101" // switching protocols ends the exchange of messages
	s.state = lineStart
	return nil
}

// scanLineStart checks the first byte of a line, which is a field or, if it is empty, ends the head.
func (s *Scanner) scanLineStart(b byte) (n int) {
	switch b {
	case '\r':
		return 1 // an LF follows, because a name has no CR
	case '\n':
		s.endHead()
		return 1
	}
	s.state = field
	return 0
}

func (s *Scanner) endHead() {
	if s.interim {
		*s = Scanner{}
		return
	}
	s.state = unchecked
}
