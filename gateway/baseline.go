package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"heatherwall.example/balance"
)

// BenchOptions replace parts of a gateway with the baselines that benchmarks compare it with. The zero value replaces
// nothing. No setting and no flag of the released program sets them.
type BenchOptions struct {
	// TwoChoices selects, of two random servers, the one with fewer in-flight requests of this gateway. It ignores
	// evidence, cold start limits and ejection, so it keeps neither of the 3 s bounds of docs/design.md.
	TwoChoices bool
}

// Limits of the baseline. The retry budget is that of the engine: a tenth of the first attempts, at most 20 saved
// retries, and 5 at the start.
const (
	baselineRefresh      = 50 * time.Millisecond
	baselineRetryStart   = 5
	baselineRetryBurst   = 20
	baselineRetryDivisor = 10
)

// twoChoices is the selector of BenchOptions.TwoChoices. It selects, of two random servers, the one with fewer
// in-flight requests of this gateway. The candidates are the servers of the own region that are neither draining nor in
// a failure domain that was taken out, or those of other regions if there are none. It never hedges.
type twoChoices struct {
	state         *gossipState
	configuration configuration

	mu        sync.Mutex
	servers   []backendServer
	refreshed time.Duration
	inFlight  map[string]*atomic.Int64
	// retryTokens is the retry budget in tenths of a retry, without the initial retries; it may be negative.
	retryTokens int
}

// Pick implements selector.
func (t *twoChoices) Pick(_ context.Context, q *query) (selection, *Refusal) {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.chargeRetryBudget(q) {
		return nil, refuse(ReasonOverloaded, "the budget of further attempts is spent").withRetryAfter(time.Second)
	}
	list := t.candidates(q)
	if len(list) == 0 {
		return nil, refuse(ReasonNoServer, "no backend server of the service may receive the request").withRetryAfter(time.Second)
	}
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if t.inFlightCount(b).Load() < t.inFlightCount(a).Load() {
		a = b
	}
	t.inFlightCount(a).Add(1)
	return &twoChoicesSelection{server: a, inFlight: t.inFlightCount(a)}, nil
}

// HedgeAfter implements selector.
func (t *twoChoices) HedgeAfter(string) (time.Duration, bool) { return 0, false }

// chargeRetryBudget charges a retry, or refills the budget for a first attempt. It returns false if the budget is
// spent.
func (t *twoChoices) chargeRetryBudget(q *query) bool {
	if !q.retry {
		t.retryTokens = min(t.retryTokens+1, (baselineRetryBurst-baselineRetryStart)*baselineRetryDivisor)
		return true
	}
	if t.retryTokens < (1-baselineRetryStart)*baselineRetryDivisor {
		return false
	}
	t.retryTokens -= baselineRetryDivisor
	return true
}

// refresh updates the list of servers from the registry if it is older than baselineRefresh.
func (t *twoChoices) refresh() {
	now := t.state.clock.now()
	t.mu.Lock()
	due := t.servers == nil || now-t.refreshed >= baselineRefresh
	if due {
		t.refreshed = now
	}
	t.mu.Unlock()
	if !due {
		return
	}
	l, _ := t.configuration.Valid()
	var servers []backendServer
	t.state.do(func(time.Duration) {
		for _, s := range t.state.registry.Servers() {
			e := engineServer(s)
			if e.State < balance.StateDraining && !l.config.IsDomainOut(e.FailureDomain) {
				servers = append(servers, backendServer{service: e.Service, address: e.Address, region: e.Region, domain: e.FailureDomain})
			}
		}
	})
	t.mu.Lock()
	t.servers = servers
	t.mu.Unlock()
}

// candidates returns the permitted servers of the own region, or those of other regions if it has none.
func (t *twoChoices) candidates(q *query) []backendServer {
	var ownRegion, otherRegions []backendServer
	for _, s := range t.servers {
		switch {
		case s.service != q.service, slices.Contains(q.tried, s.address):
		case !q.allRegions && !slices.Contains(q.regions, s.region):
		case s.region == t.state.region:
			ownRegion = append(ownRegion, s)
		default:
			otherRegions = append(otherRegions, s)
		}
	}
	if len(ownRegion) > 0 {
		return ownRegion
	}
	return otherRegions
}

func (t *twoChoices) inFlightCount(s backendServer) *atomic.Int64 {
	if t.inFlight == nil {
		t.inFlight = map[string]*atomic.Int64{}
	}
	if t.inFlight[s.address] == nil {
		t.inFlight[s.address] = &atomic.Int64{}
	}
	return t.inFlight[s.address]
}

// twoChoicesSelection implements selection for twoChoices.
type twoChoicesSelection struct {
	server   backendServer
	inFlight *atomic.Int64
}

// Server implements selection.
func (s *twoChoicesSelection) Server() backendServer { return s.server }

// Done implements selection.
func (s *twoChoicesSelection) Done(result) { s.inFlight.Add(-1) }
