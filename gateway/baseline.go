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

// BenchOptions replace parts of a gateway by the baselines that benches compare it with. No settings file and no flag of
// the shipped program sets them; the zero value is the shipped gateway.
type BenchOptions struct {
	// TwoChoices selects the less used of two random servers by the requests of this gateway in flight. It knows no
	// evidence, no limit of a cold start and no ejection, so it keeps neither of the 3 s bounds of docs/design.md.
	TwoChoices bool
}

// Limits of the baseline. The budget of retries is that of the engine: a tenth of the first attempts, of which 20 can be
// saved, with 5 at the start.
const (
	baselineRefresh      = 50 * time.Millisecond
	baselineRetryStart   = 5
	baselineRetryBurst   = 20
	baselineRetryDivisor = 10
)

// twoChoices is the baseline of benches: the less used of two random servers, by the requests of this gateway in flight,
// among the servers of the own region that are known to be neither draining nor out, or of other regions if none is
// left there. It never hedges. See BenchOptions.
type twoChoices struct {
	state         *gossipState
	configuration configuration

	mu        sync.Mutex
	servers   []backendServer
	refreshed time.Duration
	inFlight  map[string]*atomic.Int64
	// retryTokens counts tenths of a retry that may still be made, beyond the start.
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

// chargeRetryBudget spends from the budget of retries, or fills it.
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

// refresh takes the servers that may receive requests from the registry.
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

// candidates lists the servers of the own region, or those of other regions if it has none.
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

// twoChoicesSelection is an attempt of the baseline.
type twoChoicesSelection struct {
	server   backendServer
	inFlight *atomic.Int64
}

// Server implements selection.
func (s *twoChoicesSelection) Server() backendServer { return s.server }

// Done implements selection.
func (s *twoChoicesSelection) Done(result) { s.inFlight.Add(-1) }
