// Package telemetry gives the daemons numbered log events and counters. Log output goes through phuslu/log, counters
// through go-metrics; the package imports no other module of the workspace.
package telemetry

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// Level is the severity of an event.
type Level = log.Level

// Severities of events, from the most detailed on.
const (
	Debug = log.DebugLevel
	Info  = log.InfoLevel
	Warn  = log.WarnLevel
	Error = log.ErrorLevel
)

// Event is an entry of the catalogue in docs/events.md. Numbers are never reused for another meaning: 1000 to 1999
// belong to control replicas, 2000 to 2999 to gateways, 3000 to 3999 to the command line.
type Event struct {
	Number  int
	Name    string
	Level   Level
	Meaning string
}

// DuplicateEventError reports two events under one number; it is a programming error.
type DuplicateEventError struct {
	Number int
}

func (e *DuplicateEventError) Error() string {
	return fmt.Sprintf("event number %d is defined twice", e.Number)
}

var (
	catalogueMu sync.Mutex
	catalogue   = map[int]Event{}
)

// Define adds an event to the catalogue. It is called from package variables and panics with *DuplicateEventError
// when the number is taken.
func Define(number int, name string, level Level, meaning string) Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	if _, ok := catalogue[number]; ok {
		panic(&DuplicateEventError{Number: number})
	}
	e := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = e
	return e
}

// Catalogue returns every defined event in the order of numbers.
func Catalogue() []Event {
	catalogueMu.Lock()
	defer catalogueMu.Unlock()
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	slices.SortFunc(events, func(a, b Event) int { return a.Number - b.Number })
	return events
}

// Field is one key and value of a log line.
type Field struct {
	key   string
	value any
}

// F returns a field. Values are strings, integers, booleans, durations or errors; others are written as JSON.
func F(key string, value any) Field {
	return Field{key: key, value: value}
}

// ErrorField returns the field "error"; it is empty for a nil error.
func ErrorField(err error) Field {
	if err == nil {
		return F("error", "")
	}
	return F("error", err.Error())
}

// Logger writes events as lines of JSON. It is safe for use by several goroutines.
type Logger struct {
	out log.Logger
	// async is nil for a logger that writes at once.
	async *log.AsyncWriter
	lost  atomic.Int64
}

// queuedLines is the number of lines that may wait for a slow reader of the log.
const queuedLines = 2048

// LevelError reports an unknown level name.
type LevelError struct {
	Name string
}

func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q: expected debug, info, warn or error", e.Name)
}

// ParseLevel reads a level name: debug, info, warn or error. Any other name gives *LevelError.
func ParseLevel(name string) (Level, error) {
	switch name {
	case "debug":
		return Debug, nil
	case "info":
		return Info, nil
	case "warn":
		return Warn, nil
	case "error":
		return Error, nil
	}
	return 0, &LevelError{Name: name}
}

// NewLogger returns a logger that writes lines of at least the given level to w.
func NewLogger(w io.Writer, level Level) *Logger {
	return &Logger{out: log.Logger{Level: level, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: w}}}
}

// NewAsyncLogger returns a logger that never waits for w: lines beyond a bounded queue are lost and counted. Close writes
// what is queued.
func NewAsyncLogger(w io.Writer, level Level) *Logger {
	l := &Logger{async: &log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: queuedLines, DiscardOnFull: true}}
	l.out = log.Logger{Level: level, TimeFormat: time.RFC3339Nano, Writer: lossCounter{l}}
	return l
}

// lossCounter counts the lines that the queue does not take.
type lossCounter struct{ l *Logger }

// WriteEntry implements log.Writer.
func (w lossCounter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.l.async.WriteEntry(e)
	if err != nil {
		w.l.lost.Add(1)
	}
	return n, err
}

// DroppedLines returns the number of lines that were lost because the reader of the log was slow.
func (l *Logger) DroppedLines() int64 { return l.lost.Load() }

// Close writes the queued lines. The logger must not be used afterwards.
func (l *Logger) Close() {
	if l.async != nil {
		_ = l.async.Close() // a failed write of the log has nowhere to go
	}
}

// Log writes one event with its fields.
func (l *Logger) Log(e Event, fields ...Field) {
	entry := l.out.WithLevel(e.Level)
	if entry == nil {
		return
	}
	entry.Int("event", e.Number).Str("name", e.Name)
	for _, f := range fields {
		addField(entry, f)
	}
	entry.Msg("")
}

func addField(entry *log.Entry, f Field) {
	switch v := f.value.(type) {
	case string:
		entry.Str(f.key, v)
	case int:
		entry.Int(f.key, v)
	case uint64:
		entry.Uint64(f.key, v)
	case float64:
		entry.Float64(f.key, v)
	case bool:
		entry.Bool(f.key, v)
	case time.Duration:
		entry.Str(f.key, v.String())
	case error:
		entry.Str(f.key, v.Error())
	default:
		entry.Any(f.key, v)
	}
}
