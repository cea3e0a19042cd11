package telemetry

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against one event number with two meanings.
func TestDefineRefusesDuplicateNumber(t *testing.T) {
	Define(9001, "first", Info, "test")
	defer func() {
		if _, ok := recover().(*DuplicateEventError); !ok {
			t.Fatal("a second event with number 9001 was accepted")
		}
	}()
	Define(9001, "second", Info, "test")
}

// Guards against log lines without their event number, and against lines below the level of the logger.
func TestLoggerWritesNumberAndHonoursLevel(t *testing.T) {
	var out bytes.Buffer
	l := NewLogger(&out, Warn)
	l.Log(Event{Number: 9002, Name: "quiet", Level: Info})
	l.Log(Event{Number: 9003, Name: "loud", Level: Error}, F("count", 3))
	if got := out.String(); strings.Contains(got, "quiet") || !strings.Contains(got, `"event":9003`) || !strings.Contains(got, `"count":3`) {
		t.Fatalf("log output: %s", got)
	}
}

// Guards against an exposition that Prometheus cannot parse.
func TestMetricsExposition(t *testing.T) {
	c := NewMetrics()
	c.Counter("refusals", "reason", "overloaded").Inc(2)
	c.Gauge("revision").Update(7)
	rec := httptest.NewRecorder()
	c.ServeHTTP(rec, nil)
	want := "heatherwall_refusals_total{reason=\"overloaded\"} 2\nheatherwall_revision 7\n"
	if rec.Body.String() != want {
		t.Fatalf("got %q, want %q", rec.Body.String(), want)
	}
}
