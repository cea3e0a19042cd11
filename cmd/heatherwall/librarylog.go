package main

import (
	"strings"
	"time"

	"heatherwall.example/telemetry"
)

const (
	// maxLibraryLines is the number of log lines per second from libraries.
	maxLibraryLines = 10
	// maxLibraryLineBytes leaves room for the stack of a panic.
	maxLibraryLineBytes = 4 << 10
	// receivedBytes begins the part of a message of net/http that quotes surplus bytes of a backend server.
	receivedBytes = " starting with "
)

var eventLibraryMessage = telemetry.Define(3002, "library_message", telemetry.Warn,
	"A library wrote a message, for example because a backend server sent bytes after a complete response and the connection was closed.")

// libraryLog writes the messages that libraries write to the standard logger as events, without the bytes that were
// received, which may be private.
type libraryLog struct {
	log     *telemetry.Logger
	limiter *telemetry.LineLimiter
}

func newLibraryLog(log *telemetry.Logger) *libraryLog {
	return &libraryLog{log: log, limiter: telemetry.NewLineLimiter(maxLibraryLines, telemetry.NewMetrics())}
}

// Write logs one message. It never fails.
func (l *libraryLog) Write(p []byte) (int, error) {
	if l.limiter.Allow(time.Now()) {
		text, _, _ := strings.Cut(strings.TrimSpace(string(p)), receivedBytes)
		l.log.Log(eventLibraryMessage, telemetry.F("message", text[:min(len(text), maxLibraryLineBytes)]))
	}
	return len(p), nil
}
