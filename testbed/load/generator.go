package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"heatherwall.example/testbed/journal"
)

// resendPause lets a killed gateway's replacement or the next server come up.
const resendPause = 20 * time.Millisecond

type generator struct {
	options Options
	client  *http.Client
	tally   *tally
	ready   *readiness
}

// Run sends the load and returns the summary once every request has been told its outcome. If the context ends, no
// further requests leave; those under way still end.
func Run(ctx context.Context, o Options) (Summary, error) {
	if len(o.Gateways) == 0 || len(o.Targets) == 0 || o.Rate <= 0 {
		return Summary{}, &TargetError{Text: "", Expected: "at least one gateway, one target and a positive rate"}
	}
	l := &generator{options: o, client: newClient(), tally: newTally(o.Seed)}
	if o.FollowReadiness {
		l.ready = followReadiness(o.Gateways)
		defer l.ready.stop()
	}
	start := time.Now()
	var requests sync.WaitGroup
	p := newPlan(o)
	for range o.Requests {
		r := p.request()
		if !sleepUntil(ctx, start.Add(r.due)) {
			break
		}
		requests.Go(func() { l.request(r, start.Add(r.due)) })
	}
	requests.Wait()
	return l.tally.result(time.Since(start)), nil
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	wait := time.Until(due)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// request sends one request and its resends until the outcome is known or the resends are used up.
func (l *generator) request(r *request, due time.Time) {
	k := ""
	if r.target.AtMostOnce {
		k = key(due, r.keyBits)
	}
	if r.twin && len(r.route) > 1 {
		l.twins(r, k, due)
		return
	}
	last := l.chain(r, k, 0, 1)
	l.tally.request(last, time.Since(due))
}

// twins sends the request through two gateways at the same time. The request counts as answered if either is.
func (l *generator) twins(r *request, k string, due time.Time) {
	outcomes := make(chan journal.Call, 2)
	for first := range 2 {
		go func() { outcomes <- l.chain(r, k, first, 2) }()
	}
	best := <-outcomes
	if second := <-outcomes; best.Outcome != journal.OK {
		best = second
	}
	l.tally.request(best, time.Since(due))
}

// chain sends the request through the gateways of its route, beginning at first.
func (l *generator) chain(r *request, k string, first, step int) journal.Call {
	var last journal.Call
	for attempt := range l.options.Resends + 1 {
		if attempt > 0 {
			time.Sleep(resendPause)
		}
		index := first + attempt*step
		sending := fmt.Sprintf("%s/%d", r.id, index)
		last = l.send(context.Background(), r, k, sending, l.ready.choose(r.route, index))
		if !l.wantsResend(last) {
			return last
		}
	}
	return last
}

func (l *generator) wantsResend(c journal.Call) bool {
	switch {
	case c.Outcome == journal.Interrupted, c.Outcome == journal.Unreachable:
		return true
	case c.Outcome == journal.OK:
		return false
	case c.Ran == journal.RanNo:
		return l.options.RetryRefused
	}
	return c.Ran == journal.RanUnknown
}
