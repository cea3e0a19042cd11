package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between callers, gateways and backend servers.
const (
	headerDeadline    = "Heatherwall-Deadline-Ms"
	headerDepth       = "Heatherwall-Depth"
	headerRetriesLeft = "Heatherwall-Retries-Left"
	headerRequestID   = "Heatherwall-Request-Id"
	headerState       = "Heatherwall-State"
	headerLoad        = "Heatherwall-Load"
	headerNotRun      = "Heatherwall-Not-Run"
	headerKept        = "Heatherwall-Kept-Answer"
	headerKey         = "Idempotency-Key"
	headerPrefix      = "Heatherwall-"
	viaValue          = "1.1 heatherwall"
)

// hopHeaders apply to one connection only (RFC 9110, section 7.6.1) and are never passed on.
var hopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// removeHopHeaders deletes hop-by-hop headers, those that Connection names included.
func removeHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}

// backendHeader returns the header of the request to the backend server. The caller's bearer token is meant for the
// gateway and stays there.
func (d *Dialect) backendHeader(in http.Header) http.Header {
	h := in.Clone()
	trailers := acceptsTrailers(in)
	removeHopHeaders(h)
	d.removeOwn(h)
	h.Del("Authorization")
	h.Del("Expect") // the body is complete before it is sent
	if trailers {
		h.Set("Te", "trailers")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // keeps net/http from adding its own
	}
	h.Add("Via", viaValue)
	return h
}

func acceptsTrailers(h http.Header) bool {
	for _, line := range h["Te"] {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(textproto.TrimString(part), "trailers") {
				return true
			}
		}
	}
	return false
}

// copyAnswerHeader fills the caller's answer header from that of the backend server.
func (d *Dialect) copyAnswerHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	removeHopHeaders(to)
	d.removeOwn(to)
	to.Add("Via", viaValue)
}
