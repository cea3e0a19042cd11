package gateway

import (
	"context"
	"net/http"
	"time"

	"heatherwall.example/telemetry"
)

// drain stops serving callers without interrupting a request. First /readyz fails; requests that arrive in the grace period
// (DrainNoticeMs) are still served, with Connection: close. Then the caller listener closes and requests in flight may finish
// for at most DrainSeconds; connections that are still open afterwards are closed.
func (d *daemon) drain() {
	d.log.Log(eventDraining)
	d.path.stopping.Store(true)
	time.Sleep(time.Duration(d.settings.DrainNoticeMs) * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.DrainSeconds)*time.Second)
	defer cancel()
	d.path.draining.Store(true)
	if err := d.servers["callers"].Shutdown(ctx); err != nil {
		d.log.Log(eventDrainTimeout, telemetry.F("in_flight", int(d.path.inFlight.Load())))
		_ = d.servers["callers"].Close()
	}
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
	d.goroutines.Wait()
	d.log.Log(eventStopped)
}
