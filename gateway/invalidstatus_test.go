package gateway

import (
	"net"
	"net/http"
	"testing"
)

// Guards against a response whose status is no HTTP status and that reaches the caller, ends the caller's connection, or is
// believed to say that the request did not run.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "000 OK", "001 OK", "099 Early", "1000 OK", "20 OK", "-01 OK", "+20 OK", "two hundred", "", "600 More", "999 Most"} {
		for name, header := range map[string]string{"plain": "", "not run": headerNotRun + ": true\r\n", "signed": testSignatureHeader + ": s\r\n"} {
			t.Run(status+" "+name, func(t *testing.T) {
				odd, runs := rawServer(t, func(c net.Conn, r *http.Request) {
					write(c, "HTTP/1.1 "+status+"\r\n"+testIDHeader+": "+r.Header.Get(testIDHeader)+"\r\n"+header+"Content-Length: 3\r\n\r\nodd")
				})
				spare, _ := rawServer(t, func(c net.Conn, r *http.Request) {
					write(c, "HTTP/1.1 200 OK\r\n"+testIDHeader+": "+r.Header.Get(testIDHeader)+"\r\n"+testSignatureHeader+": s\r\nContent-Length: 2\r\n\r\nok")
				})
				f := newPathFixture(t, odd, spare)
				f.dialect = echoDialect
				if got, body, _ := f.do(t, f.request(t, "GET", "/read", "", testIDHeader, "get")); got != http.StatusOK || body != "ok" {
					t.Errorf("GET: %d %.120q; want the answer of the spare server", got, body)
				}
				got, body, _ := f.do(t, f.request(t, "POST", "/free", "x", testIDHeader, "post"))
				if got != http.StatusBadGateway || reasonOf(body) != ReasonBackendFailed {
					t.Errorf("POST: %d %.120q; want a refusal with 502 that does not say whether it ran", got, body)
				}
				if runs.Load() == 0 {
					t.Error("no request reached the server with the odd status")
				}
			})
		}
	}
}

// invalidStatuses are statuses that net/http reads, but that are no final status of HTTP.
var invalidStatuses = []string{"000", "099 Early", "600 More", "999 Most"}

// Guards against a probe that believes a response whose status is no HTTP status: that the server leaves, that it reports no
// load, or that it is ready.
func TestInvalidStatusIsNoAnswerToAProbe(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			expectProbesFail(t, func(header string) (address string) {
				address, _ = rawServer(t, func(c net.Conn, _ *http.Request) {
					write(c, "HTTP/1.1 "+status+"\r\n"+header+"Content-Length: 0\r\n\r\n")
				})
				return address
			})
		})
	}
}

// Guards against believing a gateway that a request was passed on to that it did not run, if the status of its response is no
// HTTP status.
func TestInvalidStatusIsNoAnswerOfARelay(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			expectRelayFails(t, "HTTP/1.1 "+status+"\r\n"+headerRelayOutcome+": "+relayNotRun+"\r\n"+headerRelayReason+": "+string(ReasonNoServer)+"\r\nContent-Length: 0\r\n\r\n")
		})
	}
}
