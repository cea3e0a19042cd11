package telemetry

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"
)

// Guards against a log volume that grows without limit under load, and against lines that are left out but not counted.
func TestLineLimit(t *testing.T) {
	c := NewMetrics()
	l := NewLineLimiter(10, c)
	now := time.Unix(1000, 0)
	admitted := 0
	for range 1000 {
		if l.Allow(now) {
			admitted++
		}
		now = now.Add(10 * time.Millisecond)
	}
	if admitted > 110 || admitted < 100 {
		t.Errorf("%d of 1000 lines in 10 s; want about 100 to 110", admitted)
	}
	if dropped := c.UnlabeledCounter("log_lines_left_out").Count(); dropped != int64(1000-admitted) {
		t.Errorf("counted %d lines left out; want %d", dropped, 1000-admitted)
	}
}

// Guards against a process that blocks because nobody reads its standard output.
func TestLoggerNeverBlocks(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	l := NewAsyncLogger(writer, Info)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100_000 {
			l.Log(Event{Number: 1, Name: "x", Level: Info})
		}
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("the logger blocks when the reader has stopped reading")
	}
	if l.DroppedLines() == 0 {
		t.Error("no line was counted as dropped")
	}
}

// Guards against queued lines that are lost when the process ends.
func TestLoggerCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	l := NewAsyncLogger(&out, Info)
	for range 100 {
		l.Log(Event{Number: 1, Name: "x", Level: Info})
	}
	l.Close()
	if lines := strings.Count(out.String(), "\n"); lines != 100 {
		t.Errorf("%d lines; want 100", lines)
	}
}
