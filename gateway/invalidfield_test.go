package gateway

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// invalidNames are field names that are no token (RFC 9110, section 5.6.2). NAME stands for a valid name, NA and ME for its
// halves.
var invalidNames = map[string]string{
	"blank first":         " NAME",
	"tab first":           "\tNAME",
	"control byte first":  "\x01NAME",
	"blank inside":        "NA ME",
	"tab inside":          "NA\tME",
	"control byte inside": "NA\x01ME",
	"NUL inside":          "NA\x00ME",
	"DEL inside":          "NA\x7fME",
	"CR inside":           "NA\rME",
	"blank before colon":  "NAME ",
	"tab before colon":    "NAME\t",
	"control byte last":   "NAME\x1f",
	"blanks before colon": "NAME  ",
	"empty":               "",
}

// invalidName returns a name with the fault of one of the invalidNames.
func invalidName(fault, name string) string {
	half := len(name) / 2
	return strings.NewReplacer("NAME", name, "NA", name[:half], "ME", name[half:]).Replace(fault)
}

// bodyFramings are ways to frame the body "odd".
var bodyFramings = map[string][2]string{
	"length":  {"Content-Length: 3\r\n", "odd"},
	"chunked": {"Transfer-Encoding: chunked\r\n", "3\r\nodd\r\n0\r\n\r\n"},
	"close":   {"Connection: close\r\n", "odd"},
}

// invalidFields are fields that an invalid name can have: one that frames the body, one that does not, and one that says that
// the request did not run.
var invalidFields = [][2]string{{"X-Other", "3"}, {"Content-Length", "3"}, {"Transfer-Encoding", "chunked"}, {"Connection", "close"}, {headerNotRun, "true"}}

// invalidFieldStatuses are statuses of responses with an invalid field name.
var invalidFieldStatuses = []string{"200 OK", "404 Not Found", "503 Full"}

// newSpareServer starts a server that answers each request with "ok".
func newSpareServer(t *testing.T) string {
	address, _ := rawServer(t, func(c net.Conn, r *http.Request) {
		write(c, "HTTP/1.1 200 OK\r\n"+testIDHeader+": "+r.Header.Get(testIDHeader)+"\r\n"+testSignatureHeader+": s\r\nContent-Length: 2\r\n\r\nok")
	})
	return address
}

// expectNoAnswer sends requests to a server whose response is no answer, and checks that an idempotent one is answered by the
// spare server, that any other gets a refusal that does not say whether it ran, and that neither earns a crash mark.
func (f *pathFixture) expectNoAnswer(t *testing.T) {
	t.Helper()
	if status, body, _ := f.do(t, f.request(t, "GET", "/read", "", testIDHeader, "get")); status != http.StatusOK || body != "ok" {
		t.Errorf("GET: %d %.120q; want the answer of the spare server", status, body)
	}
	for range poisonThreshold + 1 {
		status, body, _ := f.do(t, f.request(t, "POST", "/free", "x", testIDHeader, "post"))
		if status != http.StatusBadGateway || reasonOf(body) != ReasonBackendFailed {
			t.Errorf("POST: %d %.120q; want a refusal with 502 that does not say whether it ran", status, body)
		}
	}
}

// newInvalidAnswerFixture returns a request path whose first server sends text, in which ID stands for the identifier of the
// request, and then closes the connection, and whose second server answers.
func newInvalidAnswerFixture(t *testing.T, text string) *pathFixture {
	t.Helper()
	odd, _ := rawServer(t, func(c net.Conn, r *http.Request) {
		write(c, strings.ReplaceAll(text, "ID", r.Header.Get(testIDHeader)))
		_ = c.Close()
	})
	f := newPathFixture(t, odd, newSpareServer(t))
	f.dialect = echoDialect
	return f
}

// Guards against a response with an invalid field name that reaches the caller, with that line or with a body that is framed
// otherwise than the server framed it, or that is believed to say that the request did not run.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, status := range invalidFieldStatuses {
		for framing, frame := range bodyFramings {
			for _, field := range invalidFields {
				for name, fault := range invalidNames {
					t.Run(fmt.Sprintf("%s, %s, %s, %s", status, framing, field[0], name), func(t *testing.T) {
						line := invalidName(fault, field[0]) + ": " + field[1] + "\r\n"
						head := "HTTP/1.1 " + status + "\r\n" + testIDHeader + ": ID\r\n" + testSignatureHeader + ": s\r\n"
						newInvalidAnswerFixture(t, head+line+frame[0]+"\r\n"+frame[1]).expectNoAnswer(t)
					})
				}
			}
		}
	}
}

// Guards against an invalid field name in the first line of a head or in an interim response that is passed over.
func TestInvalidFieldNameElsewhereInTheHead(t *testing.T) {
	answer := testIDHeader + ": ID\r\n" + testSignatureHeader + ": s\r\nContent-Length: 3\r\n\r\nodd"
	for name, fault := range invalidNames {
		line := invalidName(fault, "X-Other") + ": 3\r\n"
		for place, text := range map[string]string{
			"first line":       "HTTP/1.1 200 OK\r\n" + line + answer,
			"interim response": "HTTP/1.1 103 Early Hints\r\nLink: a\r\n" + line + "\r\nHTTP/1.1 200 OK\r\n" + answer,
			"second response":  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-First: a\r\n" + line + answer,
		} {
			t.Run(place+", "+name, func(t *testing.T) { newInvalidAnswerFixture(t, text).expectNoAnswer(t) })
		}
	}
}

// Guards against a trailer with an invalid field name after which the response looks complete.
func TestInvalidFieldNameInATrailer(t *testing.T) {
	for name, fault := range invalidNames {
		for _, status := range invalidFieldStatuses {
			t.Run(status+", "+name, func(t *testing.T) {
				text := "HTTP/1.1 " + status + "\r\n" + testIDHeader + ": ID\r\n" + testSignatureHeader + ": s\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n" +
					"3;a=b\r\nodd\r\n0\r\nX-Sum: 1\r\n" + invalidName(fault, "X-Other") + ": 3\r\n\r\n"
				f := newInvalidAnswerFixture(t, text)
				for _, r := range []*http.Request{f.request(t, "GET", "/read", "", testIDHeader, "get"), f.request(t, "POST", "/free", "x", testIDHeader, "post")} {
					got, body, _ := f.do(t, r)
					if body != "ok" && got != http.StatusBadGateway && got != 0 && !strings.HasPrefix(body, "broken: ") {
						t.Errorf("%s: %d %.120q as a complete answer", r.Method, got, body)
					}
				}
			})
		}
	}
}

// Guards against valid names that are taken for invalid ones, and against bodies and trailers in which lines look like those of
// a head.
func TestValidFieldNamesReachTheCaller(t *testing.T) {
	const id = testIDHeader + ": ID\r\n" + testSignatureHeader + ": s\r\n"
	const odd = " folded: no head\r\nno name here\r\n\r\n"
	for name, tt := range map[string][2]string{
		"all token characters": {"HTTP/1.1 200 OK\r\n" + id + "!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 3\r\n\r\nabc", "abc"},
		"no blank, bare LF":    {"HTTP/1.1 200 OK\n" + strings.ReplaceAll(id, "\r", "") + "X:1\nContent-Length:3\n\nabc", "abc"},
		"body with length":     {"HTTP/1.1 200 OK\r\n" + id + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(odd)) + odd, odd},
		"body without length":  {"HTTP/1.1 200 OK\r\n" + id + "\r\n" + odd, odd},
		"chunks":               {"HTTP/1.1 200 OK\r\n" + id + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%X;a=\" b\"\r\n%s\r\n3\r\nabc\r\n0\r\nX-Sum: a b\r\n\r\n", len(odd), odd), odd + "abc"},
		"HTTP/1.0":             {"HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + odd, "0\r\n" + odd},
		"interim responses":    {"HTTP/1.1 103 Early Hints\r\nLink: a b\r\n\r\nHTTP/1.1 200 OK\r\n" + id + "Content-Length: 3\r\n\r\nabc", "abc"},
		"no reason":            {"HTTP/1.1 200\r\n" + id + "Content-Length: 3\r\n\r\nabc", "abc"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newInvalidAnswerFixture(t, tt[0])
			if status, body, _ := f.do(t, f.request(t, "POST", "/free", "x", testIDHeader, "post")); status != http.StatusOK || body != tt[1] {
				t.Errorf("%d %q, want %q", status, body, tt[1])
			}
		})
	}
}

// Guards against a probe that believes a response with an invalid field name.
func TestInvalidFieldNameIsNoAnswerToAProbe(t *testing.T) {
	for name, fault := range invalidNames {
		t.Run(name, func(t *testing.T) {
			answers := func(header string) (address string) {
				line := invalidName(fault, "X-Other") + ": 3\r\n"
				address, _ = rawServer(t, func(c net.Conn, _ *http.Request) {
					write(c, "HTTP/1.1 200 OK\r\n"+header+line+"Content-Length: 0\r\n\r\n")
				})
				return address
			}
			expectProbesFail(t, answers)
		})
	}
}

// Guards against believing a gateway that a request was passed on to that it did not run, if its response has an invalid field
// name.
func TestInvalidFieldNameIsNoAnswerOfARelay(t *testing.T) {
	for _, line := range []string{"X-Other : 3", "X Other: 3", " X-Other: 3"} {
		t.Run(line, func(t *testing.T) {
			expectRelayFails(t, "HTTP/1.1 503 Service Unavailable\r\n"+headerRelayOutcome+": "+relayNotRun+"\r\n"+line+"\r\n"+
				headerRelayReason+": "+string(ReasonNoServer)+"\r\nContent-Length: 0\r\n\r\n")
		})
	}
}
