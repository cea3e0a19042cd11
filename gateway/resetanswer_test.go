package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// blockingBodyBytes is the size of an upload that does not fit into the buffers of the kernel.
	blockingBodyBytes = 12 << 20
	// earlyAnswerRepeats is how often each race between an upload and the end of its answer is run.
	earlyAnswerRepeats = 20
	// uploadStallTime is the time in which an upload fills the buffers of the kernel.
	uploadStallTime = 5 * time.Millisecond
	earlyHead       = "HTTP/1.1 200 OK\r\n\r\n"
)

// earlyServer answers each upload with a head without a length and the text "part" before it has read the body. It calls end
// once passed is closed, and reads nothing more.
type earlyServer struct {
	address string
	passed  chan struct{}
}

func newEarlyServer(t testing.TB, end func(*net.TCPConn)) *earlyServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &earlyServer{address: l.Addr().String(), passed: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(t, c.(*net.TCPConn), end)
		}
	}()
	return s
}

func (s *earlyServer) serve(t testing.TB, c *net.TCPConn, end func(*net.TCPConn)) {
	defer c.Close()
	if !readHead(c) {
		return
	}
	write(c, earlyHead+"part")
	select {
	case <-s.passed:
		end(c)
	case <-t.Context().Done():
	}
}

// readHead reads the head of a request, and no more than a few bytes of its body.
func readHead(c net.Conn) bool {
	var head []byte
	buffer := make([]byte, 64)
	for !strings.Contains(string(head), "\r\n\r\n") {
		n, err := c.Read(buffer)
		if err != nil {
			return false
		}
		head = append(head, buffer[:n]...)
	}
	return true
}

// upload sends an upload that an earlyServer answers, and returns the body of the answer and the error at its end. If
// awaitsPart is set, the server ends its answer after the caller got the first part of it, otherwise at once.
func (f *pathFixture) upload(t *testing.T, s *earlyServer, method, path string, awaitsPart bool) (body string, err error) {
	t.Helper()
	rule, _ := f.configuration.lease.config.MatchRule(method, path)
	rule.MaxBodyBytes = blockingBodyBytes
	if !awaitsPart {
		close(s.passed)
	}
	r := f.request(t, method, path, strings.Repeat("x", blockingBodyBytes), headerIdempotencyKey, newKey(t))
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(answer.Body)
		return string(text), fmt.Errorf("status %d", answer.StatusCode)
	}
	if awaitsPart {
		part := make([]byte, len("part"))
		if _, err = io.ReadFull(answer.Body, part); err != nil {
			return "", err
		}
		body = string(part)
		time.Sleep(uploadStallTime)
		close(s.passed)
	}
	rest, err := io.ReadAll(answer.Body)
	return body + string(rest), err
}

// Guards against a response without a length whose connection the server resets while the upload is being written, and that
// the caller gets as a complete one or a claim keeps. The system reports the reset to the blocked write only; the next read
// returns the end of the stream.
func TestResetAnswerToUploadIsIncomplete(t *testing.T) {
	for when, awaitsPart := range map[string]bool{"at once": false, "after a part": true} {
		for _, r := range [][2]string{{http.MethodPut, "/read/"}, {http.MethodPost, "/free/"}, {http.MethodPost, "/issue/"}} {
			t.Run(r[1]+" "+when, func(t *testing.T) {
				f := newPathFixture(t)
				whole := 0
				for i := range earlyAnswerRepeats {
					s := newEarlyServer(t, func(c *net.TCPConn) { reset(c) })
					f.servers.addresses = []string{s.address}
					if _, err := f.upload(t, s, r[0], r[1]+strconv.Itoa(i), awaitsPart); err == nil {
						whole++
					}
				}
				if whole > 0 {
					t.Errorf("%d of %d callers got the cut answer as a complete one", whole, earlyAnswerRepeats)
				}
				f.background.Wait()
				for _, completion := range f.claims.completions {
					if completion.Outcome != outcomeUnknown || completion.Kept != nil {
						t.Errorf("a claim was completed with %s, kept answer %v", completion.Outcome, completion.Kept)
					}
				}
			})
		}
	}
}

// Guards against a cut answer that the caller gets as a complete one because another gateway relayed it.
func TestResetAnswerThroughRelayIsIncomplete(t *testing.T) {
	servers := startRelayServers(t)
	servers.handle = func(w http.ResponseWriter, r *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		write(c, earlyHead+"part")
		time.Sleep(uploadStallTime)
		reset(c)
	}
	g := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-b")
	g[0].awaitCutOff(t)
	before := g[1].relayedHere()
	for i := range earlyAnswerRepeats {
		path := "/write/" + strconv.Itoa(i)
		if status, body, _ := g[0].send(t, http.MethodPost, path, strings.Repeat("x", blockingBodyBytes)); status == http.StatusOK {
			t.Errorf("the caller got the cut answer %q as a complete one", body)
		}
	}
	if g[1].relayedHere() == before {
		t.Error("no request was relayed")
	}
}

// Guards against a response without a length that the server ends properly, by closing its sending side while it could still
// read the upload, and that does not reach the caller.
func TestEarlyAnswerToUploadIsComplete(t *testing.T) {
	for when, awaitsPart := range map[string]bool{"at once": false, "after a part": true} {
		t.Run(when, func(t *testing.T) {
			f := newPathFixture(t)
			for range earlyAnswerRepeats {
				held := make(chan struct{})
				s := newEarlyServer(t, func(c *net.TCPConn) { _ = c.CloseWrite(); <-held })
				f.servers.addresses = []string{s.address}
				body, err := f.upload(t, s, http.MethodPost, "/free", awaitsPart)
				close(held)
				if err != nil || body != "part" {
					t.Fatalf("the caller got %.80q, %v", body, err)
				}
			}
		})
	}
}

// Guards against an upload that is refused as poison because a server breaks its connections: the server has not run what it
// was not sent.
func TestBrokenUploadIsNoPoison(t *testing.T) {
	sound := startBackend(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	for when, awaitsPart := range map[string]bool{"at once": false, "after a part": true} {
		for _, r := range [][2]string{{http.MethodPut, "/read"}, {http.MethodPost, "/free"}} {
			t.Run(r[0]+" "+when, func(t *testing.T) {
				f := newPathFixture(t)
				for range 2 * poisonThreshold {
					s := newEarlyServer(t, func(c *net.TCPConn) { reset(c) })
					f.servers.addresses = []string{s.address}
					if _, err := f.upload(t, s, r[0], r[1], awaitsPart); err == nil {
						t.Error("the caller got the cut answer as a complete one")
					}
				}
				f.servers.addresses = []string{sound}
				f.expect(t, f.request(t, r[0], r[1], strings.Repeat("x", blockingBodyBytes)), http.StatusOK)
			})
		}
	}
}
