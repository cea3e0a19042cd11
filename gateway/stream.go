package gateway

import (
	"io"
	"net/http"
	"slices"
	"sync"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/gateway/resetconn"
	"heatherwall.example/telemetry"
)

// maxKeptBodyBytes is the largest body of a kept answer, that is, a response that is stored for repeats of its request.
const maxKeptBodyBytes = 4 << 10

const streamBufferBytes = 32 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// keptAnswerHeaders are the headers that a kept answer preserves.
var keptAnswerHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Cache-Control"}

// streamResult is the result of streaming a response to the caller.
type streamResult struct {
	// complete is set if the backend server's response was read to its end and written to the caller.
	complete bool
	// bodyPrefix holds the first maxKeptBodyBytes+1 bytes of the body; it is the whole body if it is shorter than that.
	bodyPrefix []byte
}

// stream copies the response to the caller. If complete is false in the result, the caller's connection must be
// aborted, because the caller could take the partial response for a complete one.
func (p *requestPath) stream(c *call, a *attempt) streamResult {
	declared := p.prepareResponseHeader(c.w.Header(), a.response)
	if c.relayed != nil {
		c.w.Header().Set(headerRelayOutcome, relayAnswered)
		if a.result.Leaving {
			c.w.Header().Set(headerRelayLeaving, a.server.relayedName())
		}
	}
	c.w.WriteHeader(a.response.StatusCode)
	s := copyBody(c.w, a.response)
	if s.complete {
		writeTrailers(c.w.Header(), a.response, declared)
	}
	return s
}

// prepareResponseHeader fills the header of the response to the caller and returns the names of the trailers that the
// server declared.
func (p *requestPath) prepareResponseHeader(to http.Header, response *http.Response) []string {
	p.dialect.copyResponseHeader(to, response.Header)
	var names []string
	for name := range response.Trailer {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		to.Add("Trailer", name)
	}
	return names
}

func writeTrailers(to http.Header, response *http.Response, declared []string) {
	for name, values := range response.Trailer {
		key := name
		if !slices.Contains(declared, name) {
			key = http.TrailerPrefix + name
		}
		to[key] = values
	}
}

func copyBody(w http.ResponseWriter, response *http.Response) streamResult {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	s := streamResult{}
	flush := response.ContentLength < 0
	for {
		n, err := response.Body.Read(buffer[:])
		if n > 0 {
			if len(s.bodyPrefix) <= maxKeptBodyBytes {
				s.bodyPrefix = append(s.bodyPrefix, buffer[:min(n, maxKeptBodyBytes+1-len(s.bodyPrefix))]...)
			}
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return s
			}
			if flush {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			s.complete = true
			return s
		}
		if err != nil {
			return s
		}
	}
}

// keptAnswer returns the response in the form that is stored for repeats, or nil if it must not or cannot be stored.
func keptAnswer(c *call, a *attempt, s streamResult) *controlpb.KeptAnswer {
	permitted := c.placement.KeepIn.Contains(c.rule.Service.ClaimRegion)
	if !permitted || !s.complete || len(s.bodyPrefix) > maxKeptBodyBytes || len(a.response.Trailer) > 0 {
		return nil
	}
	kept := &controlpb.KeptAnswer{Status: uint32(a.response.StatusCode), Body: s.bodyPrefix}
	for _, name := range keptAnswerHeaders {
		for _, value := range a.response.Header[name] {
			kept.Headers = append(kept.Headers, &controlpb.Header{Name: name, Value: value})
		}
	}
	return kept
}

// abortResponse closes the caller's connection, which is the only way to signal that a started response is incomplete.
func (p *requestPath) abortResponse(c *call, a *attempt) {
	p.counters.UnlabeledCounter("answers_aborted").Inc(1)
	p.log.Log(eventAnswerAborted, telemetry.F("request", c.requestID), telemetry.F("server", a.server.id), telemetry.F("address", a.server.address),
		telemetry.F("cause", a.result.kind.String()))
	if !c.r.ProtoAtLeast(1, 1) {
		resetCaller(c.w)
	}
	panic(http.ErrAbortHandler)
}

// resetCaller resets the connection of a caller of HTTP/1.0. A response without a length ends with the connection there, so a
// close would make an incomplete one look complete.
func resetCaller(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed already
	}
	resetconn.Reset(conn)
}
