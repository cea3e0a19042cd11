package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against callers that are not served because their gateway alone reaches no backend server.
func TestGatewayCutOffFromServersServesThroughAnother(t *testing.T) {
	for name, mode := range map[string]cutMode{"silent": cutSilent, "refused": cutRefuse, "reset": cutReset} {
		t.Run(name, func(t *testing.T) {
			servers := startRelayServers(t)
			g := startRelayGateways(t, startCatalogueControl(t, servers.records), "north-a", "north-a", "north-b")[0]
			if status, body, _ := g.send(t, http.MethodGet, "/before", ""); status != http.StatusOK {
				t.Fatalf("before the cut: %d %s", status, body)
			}
			if mode == cutRefuse {
				g.path.transport.(*http.Transport).CloseIdleConnections()
			}
			g.cut.set(mode)
			begin := time.Now()
			for i := 0; time.Since(begin) < 3*time.Second; i++ {
				path := fmt.Sprintf("/read/%d", i)
				if status, body, _ := g.send(t, http.MethodGet, path, ""); status != http.StatusOK && time.Since(begin) > 1500*time.Millisecond {
					t.Fatalf("%s after the cut: %d %s", time.Since(begin), status, body)
				}
				path = fmt.Sprintf("/write/%d", i)
				status, body, _ := g.send(t, http.MethodPost, path, "x")
				if runs := servers.runsOf(path); runs > 1 || (status == http.StatusOK && runs != 1) || (status == http.StatusServiceUnavailable && runs != 0) {
					t.Fatalf("%s: ran %d times, status %d %s", path, runs, status, body)
				}
			}
		})
	}
}
