package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"heatherwall.example/balance"
)

// Guards against probes that read a response without end, or hold their connection beyond their timeout.
func TestEndlessProbes(t *testing.T) {
	probes := map[string]func(address string){
		"load": func(address string) {
			p := newTestLoadProber(t)
			targets := newOneServerEngine(p, address).Current().ProbeTargets(newLabelsQuery(p), false)
			p.probe("labels", "/healthz", targets[0])
		},
		"state": func(address string) {
			ctx, cancel := probeContext(t)
			defer cancel()
			_, _ = newHTTPStateProber().Probe(ctx, address)
		},
	}
	texts := map[string][2]string{"body": {"HTTP/1.1 200 OK\r\n" + headerLoad + ": 0/2\r\n\r\n", strings.Repeat("a", 4096)}}
	for name, text := range endlessHeads {
		texts[name] = text
	}
	for kind, probe := range probes {
		for name, text := range texts {
			for _, pause := range []time.Duration{0, 5 * time.Millisecond} {
				t.Run(kind+" "+name+" "+pause.String(), func(t *testing.T) {
					t.Parallel()
					s := newEndlessServer(t, text[0], text[1], pause)
					start := time.Now()
					probe(s.address)
					if took := time.Since(start); took > endlessTimeLimit {
						t.Errorf("the probe took %s", took)
					}
					s.awaitClose(t)
					if n := s.sent.Load(); n > maxUnreadBytes {
						t.Errorf("the server could send %d bytes to a probe", n)
					}
				})
			}
		}
	}
}

func newLabelsQuery(p *loadProber) *balance.Query {
	return &balance.Query{Now: p.clock.now(), Service: "labels", AnyRegion: true}
}

func probeContext(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), stateProbeTimeout)
}
