// Package telemetry provides numbered log events and metrics to the daemons. It uses phuslu/log for log output and
// go-metrics for metrics, and imports no other module of the workspace.
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

// Severities of events, the least severe first.
const (
	Debug = log.DebugLevel
	Info  = log.InfoLevel
	Warn  = log.WarnLevel
	Error = log.ErrorLevel
)

// Event is an entry of the event catalogue in docs/events.md. A number is never reused for another meaning. 1000 to 1999 are
// events of control replicas, 2000 to 2999 of gateways, and 3000 to 3999 of the command line.
type Event struct {
	Number  int
	Name    string
	Level   Level
	Meaning string
}

// DuplicateEventError reports two events with the same number, which is a programming error.
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

// Define adds an event to the catalogue and returns it. It is called in the initialization of package variables, and panics
// with *DuplicateEventError if the number is already in use.
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

// Catalogue returns all defined events, sorted by number.
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

// Field is a key and a value of a log line.
type Field struct {
	key   string
	value any
}

// F returns a field. Strings, numbers, booleans, durations and errors have a format of their own; other values are written as
// JSON.
func F(key string, value any) Field {
	return Field{key: key, value: value}
}

// ErrorField returns the field "error" with the text of err, or with an empty text if err is nil.
func ErrorField(err error) Field {
	if err == nil {
		return F("error", "")
	}
	return F("error", err.Error())
}

// Logger writes events as lines of JSON. It is safe for concurrent use.
type Logger struct {
	out log.Logger
	// async is nil for a synchronous logger.
	async   *log.AsyncWriter
	dropped atomic.Int64
}

// queueCapacityLines is the number of lines that an asynchronous logger queues for a slow reader of the log.
const queueCapacityLines = 2048

// LevelError reports an unknown level name.
type LevelError struct {
	Name string
}

func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q: expected debug, info, warn or error", e.Name)
}

// ParseLevel parses a level name: debug, info, warn or error. The error is a *LevelError.
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

// NewLogger returns a synchronous logger that writes lines of at least the given level to w.
func NewLogger(w io.Writer, level Level) *Logger {
	return &Logger{out: log.Logger{Level: level, TimeFormat: time.RFC3339Nano, Writer: &log.IOWriter{Writer: w}}}
}

// NewAsyncLogger returns a logger that never blocks on w: lines that do not fit into a bounded queue are dropped and counted.
// Close writes the queued lines.
func NewAsyncLogger(w io.Writer, level Level) *Logger {
	l := &Logger{async: &log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: queueCapacityLines, DiscardOnFull: true}}
	l.out = log.Logger{Level: level, TimeFormat: time.RFC3339Nano, Writer: droppingWriter{l}}
	return l
}

// droppingWriter passes lines to the queue and counts those that are dropped because it is full.
type droppingWriter struct{ l *Logger }

// WriteEntry implements log.Writer.
func (w droppingWriter) WriteEntry(e *log.Entry) (int, error) {
	n, err := w.l.async.WriteEntry(e)
	if err != nil {
		w.l.dropped.Add(1)
	}
	return n, err
}

// DroppedLines returns the number of lines that were dropped because the reader of the log was too slow.
func (l *Logger) DroppedLines() int64 { return l.dropped.Load() }

// Close writes the queued lines. The logger must not be used afterwards.
func (l *Logger) Close() {
	if l.async != nil {
		_ = l.async.Close() // an error of the log itself cannot be logged
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
