package gateway

import (
	"io"
	"net/http"
	"slices"
	"sync"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/telemetry"
)

// maxKeptBytes bounds the body of an answer that is kept for repeats.
const maxKeptBytes = 4 << 10

const streamBufferBytes = 32 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferBytes]byte) }}

// keptHeaders are the headers of a kept answer.
var keptHeaders = []string{"Content-Type", "Content-Encoding", "Content-Language", "Location", "Etag", "Cache-Control"}

// streamed is what became of an answer on its way to the caller.
type streamed struct {
	// complete is set when the backend server's answer was read to its end.
	complete bool
	// delivered is set when the caller's connection took all of it.
	delivered bool
	// head holds the body if it is at most maxKeptBytes long.
	head []byte
}

// stream copies the answer to the caller. A body that ends early leaves complete false; the caller's connection must be
// aborted then, because the caller could take the part for the whole.
func (p *requestPath) stream(c *call, a *attempt) streamed {
	announced := p.announceTrailers(c.w.Header(), a.answer)
	c.w.WriteHeader(a.answer.StatusCode)
	s := copyBody(c.w, a.answer)
	if s.complete {
		writeTrailers(c.w.Header(), a.answer, announced)
	}
	return s
}

// announceTrailers prepares the header of the answer, with the names of the trailers that the server announced.
func (p *requestPath) announceTrailers(to http.Header, answer *http.Response) []string {
	p.dialect.copyAnswerHeader(to, answer.Header)
	var names []string
	for name := range answer.Trailer {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		to.Add("Trailer", name)
	}
	return names
}

func writeTrailers(to http.Header, answer *http.Response, announced []string) {
	for name, values := range answer.Trailer {
		key := name
		if !slices.Contains(announced, name) {
			key = http.TrailerPrefix + name
		}
		to[key] = values
	}
}

func copyBody(w http.ResponseWriter, answer *http.Response) streamed {
	buffer := streamBuffers.Get().(*[streamBufferBytes]byte)
	defer streamBuffers.Put(buffer)
	controller := http.NewResponseController(w)
	s := streamed{}
	flush := answer.ContentLength < 0
	for {
		n, err := answer.Body.Read(buffer[:])
		if n > 0 {
			if len(s.head) <= maxKeptBytes {
				s.head = append(s.head, buffer[:min(n, maxKeptBytes+1-len(s.head))]...)
			}
			if _, writeErr := w.Write(buffer[:n]); writeErr != nil {
				return s
			}
			if flush {
				_ = controller.Flush()
			}
		}
		if err == io.EOF {
			s.complete, s.delivered = true, true
			return s
		}
		if err != nil {
			return s
		}
	}
}

// keptAnswer returns the answer to keep for repeats, or nil when it must not or cannot be kept.
func keptAnswer(c *call, a *attempt, s streamed) *controlpb.KeptAnswer {
	permitted := c.placement.KeepIn.Contains(c.rule.Service.ClaimRegion)
	if !permitted || !s.complete || len(s.head) > maxKeptBytes || len(a.answer.Trailer) > 0 {
		return nil
	}
	kept := &controlpb.KeptAnswer{Status: uint32(a.answer.StatusCode), Body: s.head}
	for _, name := range keptHeaders {
		for _, value := range a.answer.Header[name] {
			kept.Headers = append(kept.Headers, &controlpb.Header{Name: name, Value: value})
		}
	}
	return kept
}

// abortAnswer ends the caller's connection, the only way to tell that a started answer is incomplete.
func (p *requestPath) abortAnswer(c *call, a *attempt) {
	p.counters.UnlabeledCounter("answers_aborted").Inc(1)
	p.log.Log(eventAnswerAborted, telemetry.F("request", c.requestID), telemetry.F("server", a.target.id), telemetry.F("address", a.target.address),
		telemetry.F("cause", a.result.kind.String()))
	panic(http.ErrAbortHandler)
}
