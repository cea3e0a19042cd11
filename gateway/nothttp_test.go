package gateway

import (
	"testing"
	"time"
)

// Guards against waiting for the deadline when the first bytes already show that the response is not HTTP.
func TestDribbledGarbageEndsAtTheFirstBytes(t *testing.T) {
	f := newEndlessFixture(t, [2]string{"HTz", "z"}, 20*time.Millisecond)
	if status, body := f.send(t, "GET", "/read"); status != 200 || body != "ok" {
		t.Errorf("GET: %d %.80q; want the answer of the spare server", status, body)
	}
	f.endless.awaitClose(t)
	if f.lines.count("NotHTTP")+f.lines.count("not HTTP") == 0 {
		t.Error("the log does not name the cause")
	}
}
