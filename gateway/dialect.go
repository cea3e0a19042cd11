package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Dialect is the set of headers that callers, gateways and backend servers of a setup use. Header names are in their
// canonical form; an empty name leaves the header out.
type Dialect struct {
	// RequestID identifies a request; backend servers echo it.
	RequestID string
	// PassRequestID passes the caller's identifier on unchanged. Otherwise the gateway adds a random part of its own.
	PassRequestID bool
	// Deadline holds the remaining time in whole milliseconds.
	Deadline string
	// Depth and RetriesLeft limit a tree of calls.
	Depth       string
	RetriesLeft string
	// ExpectServer holds the identifier of the only server that may run the request.
	ExpectServer string
	// Signature is in every complete answer of a backend server.
	Signature string
	// Prefix begins the headers that belong to the system and are not passed on.
	Prefix string
	// FractionalRetryAfter permits fractions of a second in Retry-After.
	FractionalRetryAfter bool
	// NotRun tells whether an answer states that the server did not run the request.
	NotRun func(*http.Response) bool
	// ParseReport reads what a server reports about itself.
	ParseReport func(http.Header) ServerReport
}

// ServerReport is the state and load that a backend server reports in the header of a response.
type ServerReport struct {
	// State is ready, cold or draining; empty when the answer does not tell.
	State string
	// InFlight is the number of requests that run or wait at the server.
	InFlight int
	// Slots is the number of requests that the server runs at once; 0 when the answer does not tell.
	Slots int
	// Server is the identifier of the server; empty when the answer does not tell.
	Server string
	// ColdRemaining is the rest of the cold start; 0 for a warm server or when the answer does not tell.
	ColdRemaining time.Duration
	// Slowness is the work time of the moment in usual work times; 0 when the answer does not tell.
	Slowness float64
	// RetryAfter is 0 when there is none.
	RetryAfter time.Duration
}

// nativeDialect is the product's own dialect; docs/callers.md and docs/backends.md describe it.
var nativeDialect = &Dialect{
	RequestID:   headerRequestID,
	Deadline:    headerDeadline,
	Depth:       headerDepth,
	RetriesLeft: headerRetriesLeft,
	Prefix:      headerPrefix,
	NotRun:      func(r *http.Response) bool { return r.Header.Get(headerNotRun) == "true" },
	ParseReport: parseNativeReport,
}

// parseNativeReport reads Heatherwall-State, Heatherwall-Load and Retry-After.
func parseNativeReport(h http.Header) ServerReport {
	r := ServerReport{State: h.Get(headerState), RetryAfter: ParseRetryAfter(h)}
	inflight, slots, ok := strings.Cut(h.Get(headerLoad), "/")
	if ok {
		r.InFlight, _ = strconv.Atoi(inflight)
		r.Slots, _ = strconv.Atoi(slots)
	}
	return r
}

// ParseRetryAfter reads the Retry-After of an answer in seconds; 0 for none, and at most a minute.
func ParseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return min(time.Duration(min(seconds, maxRetryAfter.Seconds())*float64(time.Second)), maxRetryAfter)
}

// maxRetryAfter bounds the pause that a server may ask for.
const maxRetryAfter = time.Minute

// formatRetryAfter writes a time as the value of Retry-After.
func (d *Dialect) formatRetryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((after + time.Second - 1) / time.Second))
}

// setHeader sets a header of the dialect, if it has it.
func setHeader(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// removeInternalHeaders deletes headers of this system, so that neither side can pass them through a gateway.
func (d *Dialect) removeInternalHeaders(h http.Header) {
	if d.Prefix == "" {
		return
	}
	for name := range h {
		if strings.HasPrefix(name, d.Prefix) {
			delete(h, name)
		}
	}
}
