package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"heatherwall.example/balance"
	"heatherwall.example/document"
	"heatherwall.example/routes"
)

// yieldingSelector makes the given number of picks yield before it selects a server. It records the time of each pick
// and whether the request was late.
type yieldingSelector struct {
	fixedOrderSelector
	refusals  int
	pickTimes []time.Time
	late      []bool
}

func (s *yieldingSelector) Pick(ctx context.Context, q *query) (selection, *Refusal) {
	s.pickTimes, s.late = append(s.pickTimes, time.Now()), append(s.late, q.late)
	if len(s.pickTimes) <= s.refusals {
		r := refuse(ReasonOverloaded, "full").withRetryAfter(time.Second)
		r.yield = &balance.Yield{}
		return nil, r
	}
	return s.fixedOrderSelector.Pick(ctx, q)
}

// yieldingRunner returns a runner of one request with the given remaining time, and its selector.
func yieldingRunner(t *testing.T, refusals int, left time.Duration) (*runner, *yieldingSelector) {
	p, c := newStartingPath(t)
	if _, err := c.applyAnswer(catalogueAnswer(0, 1, routeTable(1)), time.Hour); err != nil {
		t.Fatal(err)
	}
	s := &yieldingSelector{fixedOrderSelector: fixedOrderSelector{addresses: []string{"10.0.0.1:80"}}, refusals: refusals}
	p.selector = s
	rule := &document.Rule{Name: "r", Service: &document.Service{Name: "s"}}
	return &runner{p: p, c: &call{ctx: t.Context(), caller: anyCaller, rule: rule, deadline: time.Now().Add(left)}}, s
}

// Guards against refusing a request although a server has a free slot shortly after, and against a request that waits
// without being marked as late.
func TestYieldingRequestPicksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, s := yieldingRunner(t, 2, 10*time.Second)
		if _, refusal := r.pick(&query{}); refusal != nil {
			t.Fatalf("refused: %v", refusal)
		}
		if len(s.pickTimes) != 3 || s.late[0] || !s.late[1] || !s.late[2] {
			t.Errorf("%d picks, late %v; want three, the last two late", len(s.pickTimes), s.late)
		}
	})
}

// Guards against requests that wait without limit or for more than their share of the remaining time, and against
// retries that occupy a slot of their first server while they wait.
func TestYieldWaitIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, tt := range []struct {
			left, most time.Duration
			q          query
		}{{10 * time.Second, maxYieldWait, query{}}, {1500 * time.Millisecond, 500 * time.Millisecond, query{}}, {10 * time.Second, 0, query{retry: true}}} {
			r, _ := yieldingRunner(t, 1000, tt.left)
			start := time.Now()
			_, refusal := r.pick(&tt.q)
			if refusal == nil || refusal.RetryAfter != time.Second || time.Since(start) > tt.most {
				t.Errorf("%s left: %v after %s; want a refusal within %s", tt.left, refusal, time.Since(start), tt.most)
			}
		}
	})
}

// Guards against retries of callers that are not detected, and against new requests with slightly different timeouts
// that are taken for retries.
func TestCallerRetryDetection(t *testing.T) {
	table, err := routes.Compile(routeTable(1))
	must(t, err)
	route, _ := table.Match("a.example", "/")
	var m callerRetryDetector
	wrong := 0
	for i := range 2000 {
		fresh := time.Duration(4250+(i*37)%750) * time.Millisecond // 85 to 100% of 5 s
		if m.isLikelyRetry(table, route, fresh) {
			wrong++
		}
		if i%2 == 0 && i > 200 && !m.isLikelyRetry(table, route, 3500*time.Millisecond) {
			wrong++
		}
		if i%25 == 0 && m.isLikelyRetry(table, route, time.Minute) {
			wrong++
		}
	}
	if wrong > 0 {
		t.Errorf("%d of about 3,000 requests were classified wrongly", wrong)
	}
	other, err := routes.Compile(routeTable(2))
	must(t, err)
	moved, _ := other.Match("a.example", "/")
	if m.isLikelyRetry(other, moved, 100*time.Millisecond) || len(m.usualTimeout) != 1 {
		t.Error("an estimate outlived its route table")
	}
}
