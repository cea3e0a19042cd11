package gateway

import (
	"context"
	"time"

	"heatherwall.example/balance"
)

// The request path depends on the interfaces below only; tests put small implementations in their place.

// configuration gives the confirmed configuration.
type configuration interface {
	// Valid returns the newest configuration and whether the right to serve is alive.
	Valid() (*lease, bool)
	// Current returns the newest configuration, whether or not it may be served.
	Current() *lease
	// Configured is closed once there is a configuration.
	Configured() <-chan struct{}
}

// query describes the request that a backend server is selected for.
type query struct {
	service    string
	member     string
	idempotent bool
	// regions are the only ones permitted; empty with allRegions set means no restriction.
	regions    []string
	allRegions bool
	// tried lists addresses that this request has been sent to.
	tried    []string
	deadline time.Duration // on the monotonic clock
	// latencyTarget is when the answer stops being of full use, on the monotonic clock; 0 for none.
	latencyTarget time.Duration
	// late is set when the request yields to others: it has waited, or its caller has tried before.
	late bool
	// polling is set while the request looks again and again for a server with room.
	polling bool
	// hedge is set for a second attempt in parallel, retry for one after a failure.
	hedge bool
	retry bool
	// freeRetry is set for an attempt after one that reached no server.
	freeRetry bool
}

// selector selects a backend server.
type selector interface {
	// Pick returns a selection, or a refusal whose Ran is RanNo.
	Pick(ctx context.Context, q *query) (selection, *Refusal)
	// HedgeAfter returns how long to wait before a request is hedged; false when hedging is of no use.
	HedgeAfter(service string) (time.Duration, bool)
}

// selection is a backend server with a slot taken. Done is called exactly once and releases the slot.
type selection interface {
	Server() backendServer
	Done(result)
}

// backendServer is the place of a backend server.
type backendServer struct {
	service string
	address string
	// id is the server's own identifier; empty where servers have none.
	id     string
	region string
	domain string
	// cold tells that the server was in cold start when it was selected.
	cold bool
	// pickDetails is what the selection rests on.
	pickDetails balance.PickDetails
}

// resultKind is what became of an attempt.
type resultKind int

// Results of an attempt.
const (
	// resultAnswered: the server answered with a status below 500.
	resultAnswered resultKind = iota
	// resultFailed: the server answered with a status of 500 or above.
	resultFailed
	// resultNotRun: the server answered that it did not run the request.
	resultNotRun
	// resultUnreachable: no connection could be opened; nothing was written.
	resultUnreachable
	// resultBroken: the connection broke after a byte had been written.
	resultBroken
	// resultTimeout: the deadline passed after a byte had been written.
	resultTimeout
	// resultCanceled: the caller went away, or a parallel attempt answered first.
	resultCanceled
	// resultNotSent: the attempt was given up before a byte was written, for a reason of the gateway.
	resultNotSent
)

// result reports an attempt to the selector.
type result struct {
	kind    resultKind
	latency time.Duration
	// Report is what the server told in its answer.
	ServerReport
}
