package gateway

import (
	"math"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"heatherwall.example/balance"
)

// Guards against a route with billions of attempts, after which a server that was tried before gets the request again.
func TestAttemptsStayWithinTheExcludedServers(t *testing.T) {
	p, client := newStartingPath(t)
	table := routeTable(1)
	table.Routes[0].MaxAttempts = math.MaxUint32
	_, err := client.applyAnswer(catalogueAnswer(0, 1, table), time.Hour)
	must(t, err)
	c := &call{r: httptest.NewRequest(http.MethodGet, "http://a.example/x", nil), lease: client.Current(), arrived: p.clock.now()}
	if p.matchRoute(c) != nil || p.readRouteLimits(c) != nil || c.retriesLeft != balance.MaxExcluded {
		t.Errorf("%d retries, want %d", c.retriesLeft, balance.MaxExcluded)
	}
}
