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

// reloadInterval is the polling interval for the settings file, which may change without a SIGHUP.
const reloadInterval = 2 * time.Second

var eventReloadFailed = telemetry.Define(3001, "reload_failed", telemetry.Error,
	"The settings file was read again and is invalid; the process keeps its current settings.")

// watchSettings starts a watch of the settings file and returns a channel of parsed settings. It parses the file after
// each change and after each SIGHUP. An invalid file is logged and not delivered.
func watchSettings[S any](ctx context.Context, path string, parse func(path string, text []byte) (*S, error), log *telemetry.Logger) <-chan *S {
	changes := make(chan *S)
	sighup := make(chan os.Signal, 1)
	// There is no signal.Stop: with the default handling restored, a SIGHUP would terminate the process while it drains.
	signal.Notify(sighup, syscall.SIGHUP)
	go func() {
		watch := &fileWatch{path: path}
		watch.refresh() // load the content that the process started with
		ticker := time.NewTicker(reloadInterval)
		defer ticker.Stop()
		for {
			forced := false
			select {
			case <-ctx.Done():
				return
			case <-sighup:
				forced = true
			case <-ticker.C:
			}
			if !watch.refresh() && !forced {
				continue
			}
			s, err := parse(path, watch.text)
			if err != nil {
				log.Log(eventReloadFailed, telemetry.F("file", path), telemetry.F("error", err))
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

// fileWatch holds the last content read from a file, to detect changes.
type fileWatch struct {
	path string
	text []byte
}

// refresh rereads the file and reports whether its content has changed. A file that cannot be read counts as unchanged:
// it may be in the middle of a replacement, and the next poll tries again.
func (w *fileWatch) refresh() bool {
	text, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(text, w.text) {
		return false
	}
	w.text = text
	return true
}
