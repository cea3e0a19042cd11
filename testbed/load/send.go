package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"heatherwall.example/testbed/answer"
	"heatherwall.example/testbed/backend"
	"heatherwall.example/testbed/journal"
)

const maxAnswer = 16 << 20

// problem holds the fields of an RFC 9457 problem body that the generator evaluates.
type problem struct {
	Reason string `json:"reason"`
	Ran    string `json:"ran"`
}

// send makes one attempt at the request and returns its journal record.
func (l *generator) send(ctx context.Context, r *request, key, attemptID string, g Gateway) journal.Call {
	c := journal.Call{
		Sequence: r.sequence, Request: r.id, Attempt: attemptID, Key: key,
		AtMostOnce: r.target.AtMostOnce, Path: r.target.Path, HomeRegions: r.target.HomeRegions,
		Gateway: g.Address, GatewayRegion: g.Region, SentAt: journal.Nanotime(),
	}
	l.exchange(ctx, r, g, &c)
	c.OutcomeAt = journal.Nanotime()
	l.options.Journal.Write(c)
	l.tally.recordAttempt(c)
	return c
}

func (l *generator) exchange(ctx context.Context, r *request, g Gateway, c *journal.Call) {
	ctx, cancel := context.WithTimeout(ctx, l.options.Timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, r.target.Method, r.url(c.Gateway), newBody(r))
	if err != nil {
		c.Outcome, c.Failure = journal.Interrupted, err.Error()
		return
	}
	setHeaders(request, r.target, c)
	if g.FailureDomain != "" {
		request.Header.Set(answer.OriginHeader, g.Region+"/"+g.FailureDomain)
	}
	response, err := l.client.Do(request)
	if err != nil {
		c.Outcome, c.Failure = outcomeOfError(err, connected.Load()), err.Error()
		return
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		c.Outcome, c.Failure = journal.Interrupted, err.Error()
		return
	}
	classify(c, response, text, answer.Digest(r.body))
}

// outcomeOfError returns Unreachable if no connection could be opened, so that nothing was sent, and otherwise
// Interrupted. net/http retries a request without a body by itself, so a failed dial does not prove that nothing was sent
// once there was a connection.
func outcomeOfError(err error, connected bool) journal.Outcome {
	var failed *net.OpError
	if !connected && errors.As(err, &failed) && failed.Op == "dial" {
		return journal.Unreachable
	}
	return journal.Interrupted
}

// newBody returns a reader of the request body. It hides the reader's type, so that net/http sets no GetBody and never
// sends a request twice by itself.
func newBody(r *request) io.Reader {
	if len(r.body) == 0 && !r.target.AtMostOnce {
		return nil
	}
	return struct{ io.Reader }{bytes.NewReader(r.body)}
}

func (r *request) url(gateway string) string {
	return "http://" + gateway + r.target.Path + "/" + strconv.FormatUint(r.sequence, 10)
}

func setHeaders(request *http.Request, t *Target, c *journal.Call) {
	if t.BodyBytes > 0 {
		request.ContentLength = int64(t.BodyBytes)
	}
	request.Header.Set(answer.RequestHeader, c.Request)
	request.Header.Set(answer.AttemptHeader, c.Attempt)
	if t.Token != "" {
		request.Header.Set("Authorization", "Bearer "+t.Token)
	}
	if c.Key != "" {
		request.Header.Set(backend.KeyHeader, c.Key)
	}
	if t.Deadline > 0 {
		request.Header.Set(backend.DeadlineHeader, strconv.FormatInt(t.Deadline.Milliseconds(), 10))
	}
}

// classify records the outcome that a complete HTTP response carries.
func classify(c *journal.Call, response *http.Response, text []byte, bodySHA256 string) {
	c.Status = response.StatusCode
	if response.Header.Get("Content-Type") == "application/problem+json" {
		classifyProblem(c, text)
		return
	}
	if response.Header.Get(backend.NotRunHeader) == "true" {
		c.Outcome, c.Reason, c.Ran = journal.Refused, "backend_shed", journal.RanNo
		return
	}
	c.Outcome = journal.OK
	head, err := answer.Verify(text, c.Request, c.Key, bodySHA256)
	if err != nil {
		c.Mismatch = err.Error()
		return
	}
	c.Server = head.Server
}

func classifyProblem(c *journal.Call, text []byte) {
	var p problem
	c.Outcome = journal.Refused
	if err := json.Unmarshal(text, &p); err != nil {
		c.Mismatch = fmt.Sprintf("problem body: %v", err)
		return
	}
	c.Reason, c.Ran = p.Reason, p.Ran
	if p.Ran != journal.RanNo && p.Ran != journal.RanUnknown && p.Ran != journal.RanYes {
		c.Mismatch = fmt.Sprintf("problem body: ran is %q", p.Ran)
	}
}

// newClient returns a client that keeps enough idle connections for an open-loop load.
func newClient() *http.Client {
	const idlePerGateway = 512
	return &http.Client{Transport: &http.Transport{
		Proxy:               nil,
		MaxIdleConnsPerHost: idlePerGateway,
		IdleConnTimeout:     time.Minute,
	}}
}
