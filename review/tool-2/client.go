package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// result is what a client has seen of one attempt. Status is 0 if the connection ended without a complete answer.
type result struct {
	attempt   string
	status    int
	signature string
	body      string
	err       error
	took      time.Duration
}

func (r result) String() string {
	return fmt.Sprintf("attempt %s: status %d, signature %q, body %.40q, error %v, after %s", r.attempt, r.status, r.signature, r.body, r.err, r.took.Round(time.Millisecond))
}

// send sends one request, whose target is not changed, on a new connection.
func send(g *gateway, method, host, target string, deadline time.Duration) result {
	return sendAs(g, newAttempt(), method, host, target, deadline)
}

func newAttempt() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+attempts.Add(1)) }

// sendAs is send with a given identifier.
func sendAs(g *gateway, attempt, method, host, target string, deadline time.Duration) (res result) {
	res.attempt = attempt
	started := time.Now()
	defer func() { res.took = time.Since(started) }()
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		res.err = err
		return res
	}
	defer conn.Close()
	_ = conn.SetDeadline(started.Add(deadline))
	length := ""
	if method != http.MethodGet {
		length = "Content-Length: 0\r\n"
	}
	fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n", method, target, host, headerAttempt, res.attempt, headerDeadline, deadline.Milliseconds(), length)
	r, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		res.err = err
		return res
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		res.err = err
		return res
	}
	res.status, res.signature, res.body = r.StatusCode, r.Header.Get(headerSignature), string(text)
	return res
}
