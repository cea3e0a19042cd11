package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"heatherwall.example/gateway/body"
	"heatherwall.example/telemetry"
)

// newStartingPath returns the request path of a gateway that serves a catalogue and has no configuration yet, and its
// lease client.
func newStartingPath(t *testing.T) (*requestPath, *leaseClient) {
	c := newTestLease(t)
	c.serveStale = time.Hour
	p := &requestPath{
		dialect: nativeDialect, steps: catalogueSteps, maxRequests: 100, clock: c.clock, configuration: c, crashMarks: newCrashMarkTable("gw-1"),
		selector: &fixedOrderSelector{}, publishCrashMarks: func() {}, bodies: body.NewBudget(maxBufferedBodyBytes),
		logLimiter: telemetry.NewLineLimiter(maxRequestLogLines, c.counters), log: telemetry.NewLogger(io.Discard, telemetry.Info), counters: c.counters,
	}
	return p, c
}

// sendRequest sends a request and returns the reason of its refusal and the time that it took.
func sendRequest(p *requestPath, deadlineMs string) (Reason, time.Duration) {
	start := time.Now()
	r := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
	r.Header.Set(headerDeadline, deadlineMs)
	w := httptest.NewRecorder()
	p.ServeHTTP(w, r)
	return reasonOf(w.Body.String()), time.Since(start)
}

// Guards against refusing requests with a Retry-After of a second although the configuration arrives within a few
// hundred milliseconds, as after a restart of all processes.
func TestRequestWaitsForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := newStartingPath(t)
		go func() {
			time.Sleep(400 * time.Millisecond)
			if _, err := c.applyAnswer(catalogueAnswer(0, 1, routeTable(1)), time.Hour); err != nil {
				t.Error(err)
			}
		}()
		if reason, took := sendRequest(p, "2000"); reason != ReasonNoServer || took != 400*time.Millisecond {
			t.Errorf("%q after %s; want the request to go on as soon as there is a configuration", reason, took)
		}
		if reason, took := sendRequest(p, "2000"); reason != ReasonNoServer || took != 0 {
			t.Errorf("%q after %s; want no wait once there is a configuration", reason, took)
		}
	})
}

// Guards against a wait without limit, or for more than a third of the caller's remaining time.
func TestWaitForTheFirstConfigurationIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, _ := newStartingPath(t)
		for deadlineMs, most := range map[string]time.Duration{"300": 100 * time.Millisecond, "8000": maxStartWait, "": maxStartWait} {
			if reason, took := sendRequest(p, deadlineMs); reason != ReasonNotReady || took != most {
				t.Errorf("deadline %q: %q after %s; want %q after %s", deadlineMs, reason, took, ReasonNotReady, most)
			}
		}
		p.draining.Store(true)
		if reason, took := sendRequest(p, "8000"); reason != ReasonDraining || took != 0 {
			t.Errorf("%q after %s while the gateway drains", reason, took)
		}
	})
}

// Guards against passing on a deadline that ignores the time for which the request waited.
func TestStartWaitCountsTowardDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, c := newStartingPath(t)
		if _, err := c.applyAnswer(catalogueAnswer(0, 1, routeTable(1)), time.Hour); err != nil {
			t.Fatal(err)
		}
		arrived := p.clock.now()
		time.Sleep(300 * time.Millisecond)
		r := httptest.NewRequest(http.MethodGet, "http://a.example/x", nil)
		r.Header.Set(headerDeadline, "800")
		call := &call{r: r, arrived: arrived}
		if refusal := p.admit(call); refusal != nil {
			t.Fatal(refusal)
		}
		if refusal := p.matchRoute(call); refusal != nil {
			t.Fatal(refusal)
		}
		if refusal := p.readRouteLimits(call); refusal != nil {
			t.Fatal(refusal)
		}
		if left := time.Until(call.deadline); left != 500*time.Millisecond {
			t.Errorf("%s left; want 500 ms", left)
		}
	})
}

// Guards against gateways that all contact the same control replica first when they start together.
func TestGatewaysSpreadOverSeeds(t *testing.T) {
	first := map[string]int{}
	for _, name := range []string{"gw-1", "gw-2", "gw-3", "gw-4", "gw-5", "gw-6", "gw-7", "gw-8", "gw-9", "gw-10", "gw-11", "gw-12"} {
		l := &replicaList{name: name, seeds: []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}}
		first[l.next(time.Unix(1000, 0)).Address]++
	}
	for address, n := range first {
		if n > 8 {
			t.Errorf("%d of 12 gateways contact %s first", n, address)
		}
	}
	if len(first) != 3 {
		t.Errorf("%d of 3 seeds are contacted first by any gateway", len(first))
	}
}
