package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"heatherwall.example/telemetry"
)

// drain stops serving callers without interrupting a request. First /readyz fails; requests that arrive in the grace period
// (DrainNoticeMs) are still served, with Connection: close. Then the caller listener closes and requests in flight may finish
// for at most DrainSeconds; connections that are still open afterwards are closed.
func (d *daemon) drain() {
	d.log.Log(eventDraining)
	d.path.stopping.Store(true)
	if d.ahead != nil {
		d.ahead.Stop()
	}
	time.Sleep(time.Duration(d.settings.DrainNoticeMs) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.DrainSeconds)*time.Second)
	defer cancel()
	d.path.draining.Store(true)
	if d.ahead != nil {
		d.ahead.Wait(ctx) // a server that shuts down ends a connection after its next response
	}
	d.shutdown(ctx, "callers", "relay")
	finished := make(chan struct{})
	go func() {
		d.path.background.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-ctx.Done():
	}
}

// shutdown closes the listeners of the named servers and waits for their requests in flight until ctx ends.
func (d *daemon) shutdown(ctx context.Context, names ...string) {
	var ended sync.WaitGroup
	for _, name := range names {
		s := d.servers[name]
		if s == nil {
			continue
		}
		ended.Go(func() {
			if err := s.Shutdown(ctx); err != nil {
				d.log.Log(eventDrainTimeout, telemetry.F("listener", name), telemetry.F("in_flight", int(d.path.inFlight.Load())))
				_ = s.Close()
			}
		})
	}
	ended.Wait()
}

// close shuts down everything else and waits for the daemon's goroutines.
func (d *daemon) close() {
	for _, s := range d.servers {
		_ = s.Close()
	}
	if d.peerServer != nil {
		d.peerServer.Stop()
	}
	d.controlConnections.close()
	d.gatewayConnections.close()
	d.prober.client.CloseIdleConnections()
	if t, ok := d.path.transport.(*http.Transport); ok {
		t.CloseIdleConnections()
	}
	if d.path.relay != nil {
		d.path.relay.transport.CloseIdleConnections()
	}
	d.goroutines.Wait()
	d.log.Log(eventStopped)
}
