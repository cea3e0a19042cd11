package main

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"heatherwall.example/telemetry"
)

// reloadInterval is the time between two looks at the settings file, which may change without a signal.
const reloadInterval = 2 * time.Second

var eventReloadFailed = telemetry.Define(3001, "reload_failed", telemetry.Error,
	"The settings file has changed and cannot be used; the process goes on with the settings that it has.")

// reloads delivers the settings after each change of the file, and after each SIGHUP. A file that cannot be used is
// logged and left out.
func reloads[S any](ctx context.Context, file string, parse func(file string, text []byte) (*S, error), log *telemetry.Logger) <-chan *S {
	changes := make(chan *S)
	hangups := make(chan os.Signal, 1)
	// Never given back: a hangup would end the process while it finishes its requests.
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		watch := &fileWatch{file: file}
		watch.changed() // what the process started with
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			forced := false
			select {
			case <-ctx.Done():
				return
			case <-hangups:
				forced = true
			case <-ticker.C:
			}
			if !watch.changed() && !forced {
				continue
			}
			s, err := parse(file, watch.text)
			if err != nil {
				log.Log(eventReloadFailed, telemetry.F("file", file), telemetry.F("error", err))
				continue
			}
			select {
			case changes <- s:
			case <-ctx.Done():
				return
			}
		}
	}()
	return changes
}

// fileWatch remembers the text of a file.
type fileWatch struct {
	file string
	text []byte
}

// changed reads the file and reports whether its text differs from the last one. A file that cannot be read counts as
// unchanged: it is being replaced, or the next look finds it.
func (w *fileWatch) changed() bool {
	text, err := os.ReadFile(w.file)
	if err != nil || bytes.Equal(text, w.text) {
		return false
	}
	w.text = text
	return true
}
