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
// until the end of DrainTime; connections that are still open afterwards are closed. A request that could last longer is
// refused when it arrives, so that none is cut.
func (d *daemon) drain() {
	end := time.Now().Add(d.settings.DrainTime())
	d.log.Log(eventDraining, telemetry.F("until", end))
	d.path.drainEnd.Store(&end)
	d.path.stopping.Store(true)
	if d.ahead != nil {
		d.ahead.Stop()
	}
	time.Sleep(min(time.Duration(d.settings.DrainNoticeMs)*time.Millisecond, d.settings.DrainTime()/2))
	ctx, cancel := context.WithDeadline(context.Background(), end)
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

// checkDrainEnd refuses a request that could last longer than the drain of this gateway.
func (p *requestPath) checkDrainEnd(c *call) *Refusal {
	if end := p.drainEnd.Load(); end != nil && c.deadline.After(*end) {
		return refuse(ReasonDraining, "this gateway stops before the deadline of the request").withRetryAfter(retryAfterShort)
	}
	return nil
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
	d.tokenConnections.close()
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
