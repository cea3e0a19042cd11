package gateway

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"
)

// Dialect is the set of headers that callers, gateways and backend servers of a cluster use. Header names are in
// canonical form; a header with an empty name is not used.
type Dialect struct {
	// RequestID identifies a request; backend servers echo it.
	RequestID string
	// PassRequestID forwards the caller's request ID unchanged. Otherwise the gateway adds a random suffix.
	PassRequestID bool
	// Deadline holds the remaining time in whole milliseconds.
	Deadline string
	// Depth and RetriesLeft hold the limits of a call tree.
	Depth       string
	RetriesLeft string
	// ExpectServer holds the identifier of the only server that may run the request.
	ExpectServer string
	// Signature is a header of every complete response of a backend server.
	Signature string
	// AuthScheme precedes the token of a caller in the header Authorization; empty for Bearer.
	AuthScheme string
	// Workspace holds the name of the caller's workspace in requests to backend servers.
	Workspace string
	// Prefix is the prefix of internal headers, which are not forwarded.
	Prefix string
	// FractionalRetryAfter permits fractions of a second in Retry-After.
	FractionalRetryAfter bool
	// NotRun reports whether a response states that the server did not run the request.
	NotRun func(*http.Response) bool
	// ParseReport parses the state and load that a server reports in a response header.
	ParseReport func(http.Header) ServerReport
}

// ServerReport is the state and load that a backend server reports in the header of a response.
type ServerReport struct {
	// State is ready, cold or draining; empty if not reported.
	State string
	// InFlight is the number of running and queued requests of the server.
	InFlight int
	// Slots is the number of requests that the server runs concurrently; 0 if not reported.
	Slots int
	// LoadInvalid is set if the server reported a load that cannot be used.
	LoadInvalid bool
	// Server is the identifier of the server; empty if not reported.
	Server string
	// ColdRemaining is the remaining time of the cold start; 0 for a warm server or if not reported.
	ColdRemaining time.Duration
	// Slowness is the ratio of the current work time to the usual one; 0 if not reported.
	Slowness float64
	// RetryAfter is 0 if not reported.
	RetryAfter time.Duration
	// Leaving is set if the server says that it leaves.
	Leaving bool
	// Malformed is the name of a header whose value cannot be used; empty if there is none.
	Malformed string
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

// parseNativeReport parses Heatherwall-State, Heatherwall-Load and Retry-After.
func parseNativeReport(h http.Header) ServerReport {
	r := ServerReport{State: h.Get(headerState)}
	r.Leaving = r.State == stateDraining
	var ok bool
	if r.RetryAfter, ok = ParseRetryAfter(h, true); !ok {
		r.Malformed = headerRetryAfter
	}
	if h.Get(headerLoad) == "" {
		return r
	}
	inflight, slots, _ := strings.Cut(h.Get(headerLoad), "/")
	n, err := strconv.ParseUint(inflight, 10, maxLoadBits)
	m, slotsErr := strconv.ParseUint(slots, 10, maxLoadBits)
	if err != nil || slotsErr != nil || m == 0 || m > maxSlots {
		r.LoadInvalid = true
		return r
	}
	r.InFlight, r.Slots = int(n), int(m)
	return r
}

// maxLoadBits is the size of the numbers in a load report.
const maxLoadBits = 20

// ParseRetryAfter parses Retry-After: seconds, possibly with a fraction, or, if dates is set, also an HTTP date. Of several
// values the longest counts. It returns 0 if there is no usable value; ok is false if any value is malformed or longer than
// maxRetryAfter.
func ParseRetryAfter(h http.Header, dates bool) (after time.Duration, ok bool) {
	ok = true
	for _, text := range h[headerRetryAfter] {
		text = textproto.TrimString(text)
		value, valid := parseSeconds(text)
		if !valid && dates {
			value, valid = parseRetryDate(h, text)
		}
		if !valid || value > maxRetryAfter {
			ok = false
			continue
		}
		after = max(after, value)
	}
	return after, ok
}

const headerRetryAfter = "Retry-After"

// maxRetryAfter is the longest pause that a server may request.
const maxRetryAfter = time.Hour

// parseSeconds parses a decimal number of seconds without sign and exponent. Numbers above maxRetryAfter yield a value above
// it.
func parseSeconds(text string) (time.Duration, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0, false
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()+1) * float64(time.Second)), true
}

// parseRetryDate returns the time from the date of the response to an HTTP date; 0 if it has passed. The clock of the server
// counts, if the response has its date, because it may differ from that of this gateway.
func parseRetryDate(h http.Header, text string) (time.Duration, bool) {
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	now, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		now = time.Now()
	}
	return max(until.Sub(now), 0), true
}

// formatRetryAfter formats a duration as the value of Retry-After.
func (d *Dialect) formatRetryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int((after + time.Second - 1) / time.Second))
}

// setHeader sets a header unless its name is empty, that is, the dialect does not use it.
func setHeader(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// removeInternalHeaders deletes the headers with the prefix of the dialect, so that neither callers nor backend servers
// can send them through a gateway.
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
