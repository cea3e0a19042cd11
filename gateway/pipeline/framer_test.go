package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

// FuzzFramer checks that the framer and net/http agree on the end of each request, for any division of the stream into
// reads.
func FuzzFramer(f *testing.F) {
	for _, seed := range []string{
		get("/1") + get("/2"), post("/1", "body") + get("/2"), post("/1", "") + get("/2"),
		"GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc" + get("/2"),
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + get("/2"),
		"GET / HTTP/1.1\nHost: a\n\n", "\r\n" + get("/1"), "GET / HTTP/1.1\r\nA: b\r\n c: d\r\n\r\n", strings.Repeat(get("/1"), 20),
	} {
		for _, step := range []uint8{0, 1, 7} {
			f.Add([]byte(seed), step)
		}
	}
	f.Fuzz(func(t *testing.T, stream []byte, step uint8) {
		var fr framer
		for begin := 0; begin < len(stream); {
			end := nextBoundary(&fr, stream, begin, int(step)+1)
			if fr.state != atBoundary {
				return
			}
			r := bufio.NewReader(bytes.NewReader(stream[begin:end]))
			request, err := http.ReadRequest(r)
			if err != nil {
				return // net/http closes the connection
			}
			if _, err := io.Copy(io.Discard, request.Body); err != nil {
				t.Fatalf("the body of %q ends early: %v", stream[begin:end], err)
			}
			if left, _ := io.ReadAll(r); len(left) > 0 {
				t.Fatalf("%q belongs to the next request", left)
			}
			begin = end
		}
	})
}

// nextBoundary passes the stream from begin in steps until the framer reaches a boundary, loses track, or the stream ends.
func nextBoundary(f *framer, stream []byte, begin, step int) int {
	at := begin
	for at < len(stream) {
		n := f.advance(stream[at:min(at+step, len(stream))])
		at += n
		if f.state == atBoundary || f.state == lost {
			return at
		}
	}
	return at
}
