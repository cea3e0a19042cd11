package gateway

import (
	"net/http"
	"net/textproto"
	"strings"
)

// Headers between callers, gateways and backend servers.
const (
	headerDeadline       = "Heatherwall-Deadline-Ms"
	headerDepth          = "Heatherwall-Depth"
	headerRetriesLeft    = "Heatherwall-Retries-Left"
	headerRequestID      = "Heatherwall-Request-Id"
	headerState          = "Heatherwall-State"
	headerLoad           = "Heatherwall-Load"
	headerNotRun         = "Heatherwall-Not-Run"
	headerKeptAnswer     = "Heatherwall-Kept-Answer"
	headerIdempotencyKey = "Idempotency-Key"
	headerPrefix         = "Heatherwall-"
	viaValue             = "1.1 heatherwall"
)

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1) and are never forwarded.
var hopByHopHeaders = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// removeHopByHopHeaders deletes hop-by-hop headers, including those that the Connection header names.
func removeHopByHopHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// newBackendHeader returns the header of the request to the backend server. The caller's bearer token is only for the
// gateway and is not forwarded.
func (d *Dialect) newBackendHeader(in http.Header) http.Header {
	h := in.Clone()
	trailers := acceptsTrailers(in)
	removeHopByHopHeaders(h)
	d.removeInternalHeaders(h)
	removeRelayHeaders(h)
	h.Del("Authorization")
	h.Del("Expect") // the body is complete before it is sent
	if trailers {
		h.Set("Te", "trailers")
	}
	if _, ok := h["User-Agent"]; !ok {
		h["User-Agent"] = nil // prevents net/http from adding its own
	}
	h.Add("Via", viaValue)
	return h
}

// newBackendTrailer returns the trailer of the request to the backend server. Fields that only the gateway may set, or only
// it may read, are removed, because some servers treat them like those of the header.
func (p *requestPath) newBackendTrailer(c *call) http.Header {
	h := c.r.Trailer.Clone()
	h.Del("Authorization")
	if c.requiresKeys() {
		deleteSpellings(h, p.dialect.Workspace)
	}
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

// copyResponseHeader copies the header of the backend server's response to that of the response to the caller, without
// hop-by-hop and internal headers.
func (d *Dialect) copyResponseHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = append([]string(nil), values...)
	}
	removeHopByHopHeaders(to)
	d.removeInternalHeaders(to)
	removeRelayHeaders(to)
	to.Add("Via", viaValue)
}
