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
	baselineRefresh     = 50 * time.Millisecond
	baselineRetryStart  = 5
	baselineRetryBurst  = 20
	baselineRetryDivide = 10
)

// twoChoices is the baseline of benches: the less used of two random servers, by the requests of this gateway in flight,
// among the servers of the own region that are known to be neither draining nor out, or of other regions if none is
// left there. It never hedges. See BenchOptions.
type twoChoices struct {
	state         *gossipState
	configuration configuration

	mu        sync.Mutex
	servers   []target
	refreshed time.Duration
	inFlight  map[string]*atomic.Int64
	// retries counts tenths of a retry that may still be made, beyond the start.
	retries int
}

// Pick implements selector.
func (t *twoChoices) Pick(_ context.Context, q *query) (selection, *Refusal) {
	t.refresh()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.charge(q) {
		return nil, refuse(ReasonOverloaded, "the budget of further attempts is spent").after(time.Second)
	}
	list := t.permitted(q)
	if len(list) == 0 {
		return nil, refuse(ReasonNoServer, "no backend server of the service may receive the request").after(time.Second)
	}
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	if t.count(b).Load() < t.count(a).Load() {
		a = b
	}
	t.count(a).Add(1)
	return &twoChoicesSelection{server: a, inFlight: t.count(a)}, nil
}

// HedgeAfter implements selector.
func (t *twoChoices) HedgeAfter(string) (time.Duration, bool) { return 0, false }

// charge spends from the budget of retries, or fills it.
func (t *twoChoices) charge(q *query) bool {
	if !q.retry {
		t.retries = min(t.retries+1, (baselineRetryBurst-baselineRetryStart)*baselineRetryDivide)
		return true
	}
	if t.retries < (1-baselineRetryStart)*baselineRetryDivide {
		return false
	}
	t.retries -= baselineRetryDivide
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
	var servers []target
	t.state.do(func(time.Duration) {
		for _, s := range t.state.registry.Servers() {
			e := engineServer(s)
			if e.State < balance.StateDraining && !l.config.IsDomainOut(e.FailureDomain) {
				servers = append(servers, target{service: e.Service, address: e.Address, region: e.Region, domain: e.FailureDomain})
			}
		}
	})
	t.mu.Lock()
	t.servers = servers
	t.mu.Unlock()
}

// permitted lists the servers of the own region, or those of other regions if it has none.
func (t *twoChoices) permitted(q *query) []target {
	var near, far []target
	for _, s := range t.servers {
		switch {
		case s.service != q.service, slices.Contains(q.tried, s.address):
		case !q.allRegions && !slices.Contains(q.regions, s.region):
		case s.region == t.state.region:
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

func (t *twoChoices) count(s target) *atomic.Int64 {
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
	server   target
	inFlight *atomic.Int64
}

// Server implements selection.
func (s *twoChoicesSelection) Server() target { return s.server }

// Done implements selection.
func (s *twoChoicesSelection) Done(result) { s.inFlight.Add(-1) }
