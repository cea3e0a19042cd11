// Package headscan checks the heads and trailers of the responses on a connection before net/http reads them, which accepts
// any three digits as a status, blanks in the names of fields, and folded lines. A field whose name has a blank is not
// recognized, so its line would be passed on, or the body be framed without it. It may import the standard library only.
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
	fieldName
	fieldValue
	// emptyLineEnd is the LF after the CR of an empty line.
	emptyLineEnd
	chunkSize
	chunkExtension
	chunkData
	// chunkDataEnd is the line end after the data of a chunk.
	chunkDataEnd
	// unchecked is a body without chunks, or what follows a response.
	unchecked
)

// Scanner checks the bytes of one response with its interim responses. Its zero value is ready to use. It checks what net/http
// does not, and may pass over what net/http rejects by itself.
type Scanner struct {
	state state
	// text holds the first bytes of the current status line or field name.
	text    [maxTextBytes]byte
	textLen int
	// interim is set in the head of an interim response, and trailer in the trailers.
	interim bool
	trailer bool
	// http10 is set if the response is one of HTTP/1.0, which has no chunks.
	http10 bool
	// chunked is set if the head has the field Transfer-Encoding, of which net/http accepts only the value chunked.
	chunked bool
	chunk   chunkLength
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
		return s.scanLineStart(p[0])
	case fieldName:
		return s.scanFieldName(p)
	case fieldValue:
		return s.skipLine(p, lineStart), nil
	case emptyLineEnd:
		if p[0] != '\n' {
			return 0, s.problem(InvalidFieldName)
		}
		s.endHead()
		return 1, nil
	default:
		return s.scanChunkPart(p), nil
	}
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
	s.http10 = line[len(prefix)] == '0'
	s.state = lineStart
	return nil
}

// scanLineStart checks the first byte of a line, which is a field or, if it is empty, ends the head or the trailers.
func (s *Scanner) scanLineStart(b byte) (n int, err error) {
	s.textLen = 0
	switch {
	case b == '\n':
		s.endHead()
		return 1, nil
	case b == '\r':
		s.appendText(b)
		s.state = emptyLineEnd
		return 1, nil
	case !isTokenByte(b):
		s.appendText(b)
		return 0, s.problem(InvalidFieldName)
	}
	s.state = fieldName
	return 0, nil
}

func (s *Scanner) scanFieldName(p []byte) (n int, err error) {
	for i, b := range p {
		if b == ':' {
			s.endFieldName()
			return i + 1, nil
		}
		s.appendText(b)
		if !isTokenByte(b) {
			return 0, s.problem(InvalidFieldName)
		}
	}
	return len(p), nil
}

func (s *Scanner) endFieldName() {
	s.state = fieldValue
	if strings.EqualFold(string(s.text[:s.textLen]), "Transfer-Encoding") {
		s.chunked = true
	}
}

// endHead is called at the end of a head or of the trailers.
func (s *Scanner) endHead() {
	switch {
	case s.trailer:
		s.state = unchecked
	case s.interim:
		*s = Scanner{}
	case s.chunked && !s.http10:
		s.state = chunkSize
	default:
		s.state = unchecked
	}
}

// isTokenByte reports whether a byte may be part of a token (RFC 9110, section 5.6.2).
func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
