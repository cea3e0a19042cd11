package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"heatherwall.example/testbed/journal"
)

// resendDelay gives the replacement of a killed gateway, or the next server, time to come up.
const resendDelay = 20 * time.Millisecond

type generator struct {
	options   Options
	client    *http.Client
	tally     *tally
	readiness *readiness
}

// Run sends the load and returns the summary once every request has an outcome. If the context ends, it starts no further
// requests and waits for those in flight.
func Run(ctx context.Context, o Options) (Summary, error) {
	if len(o.Gateways) == 0 || len(o.Targets) == 0 || o.Rate <= 0 {
		return Summary{}, &TargetError{Text: "", Expected: "at least one gateway, one target and a positive rate"}
	}
	l := &generator{options: o, client: newClient(), tally: newTally(o.Seed)}
	if o.FollowReadiness {
		l.readiness = followReadiness(o.Gateways)
		defer l.readiness.stop()
	}
	start := time.Now()
	var requests sync.WaitGroup
	p := newPlan(o)
	for range o.Requests {
		r := p.nextRequest()
		if !sleepUntil(ctx, start.Add(r.due)) {
			break
		}
		requests.Go(func() { l.sendRequest(r, start.Add(r.due)) })
	}
	requests.Wait()
	return l.tally.summarize(time.Since(start)), nil
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

// sendRequest sends one request and resends it until its outcome is known or the resends are used up.
func (l *generator) sendRequest(r *request, due time.Time) {
	k := ""
	if r.target.AtMostOnce {
		k = newKey(due, r.keyBits)
	}
	if r.duplicate && len(r.route) > 1 {
		l.sendDuplicates(r, k, due)
		return
	}
	last := l.sendWithResends(r, k, 0, 1)
	l.tally.recordRequest(last, time.Since(due))
}

// sendDuplicates sends the request through two gateways at the same time. If either copy gets a complete response, that
// is the outcome of the request.
func (l *generator) sendDuplicates(r *request, k string, due time.Time) {
	outcomes := make(chan journal.Call, 2)
	for first := range 2 {
		go func() { outcomes <- l.sendWithResends(r, k, first, 2) }()
	}
	best := <-outcomes
	if second := <-outcomes; best.Outcome != journal.OK {
		best = second
	}
	l.tally.recordRequest(best, time.Since(due))
}

// sendWithResends sends the request, and resends it if needed, through every step-th gateway of its route, beginning at
// index first. It returns the last attempt.
func (l *generator) sendWithResends(r *request, k string, first, step int) journal.Call {
	var last journal.Call
	for attempt := range l.options.Resends + 1 {
		if attempt > 0 {
			time.Sleep(resendDelay)
		}
		index := first + attempt*step
		attemptID := fmt.Sprintf("%s/%d", r.id, index)
		last = l.send(context.Background(), r, k, attemptID, l.readiness.choose(r.route, index))
		if !l.shouldResend(last) {
			return last
		}
	}
	return last
}

func (l *generator) shouldResend(c journal.Call) bool {
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
