package gateway

import (
	"context"
	"time"

	"heatherwall.example/balance"
)

// The request path depends on these interfaces only; tests replace them with small implementations.

// configuration provides the confirmed configuration.
type configuration interface {
	// Valid returns the newest configuration and whether its lease, the right to serve, is valid.
	Valid() (*lease, bool)
	// Current returns the newest configuration regardless of its lease.
	Current() *lease
	// Configured returns a channel that is closed once there is a configuration.
	Configured() <-chan struct{}
}

// query describes the request for which a backend server is selected.
type query struct {
	service    string
	member     string
	idempotent bool
	// regions lists the permitted regions; it is ignored if allRegions is set.
	regions    []string
	allRegions bool
	// tried lists the addresses that were selected for earlier attempts of the request.
	tried    []string
	deadline time.Duration // on the monotonic clock
	// latencyTarget is the time until which the response should arrive, on the monotonic clock; 0 for none.
	latencyTarget time.Duration
	// late is set if the request yields to others, because it has waited or is probably a retry by its caller.
	late bool
	// polling is set if the request yields and Pick is called repeatedly until a server has a free slot.
	polling bool
	// hedge is set for a second, parallel attempt; retry for an attempt after a failure; placedAnew for one in the place of
	// an attempt whose server may no longer receive it.
	hedge      bool
	retry      bool
	placedAnew bool
}

// selector selects a backend server.
type selector interface {
	// Pick returns a selection, or a refusal whose Ran is RanNo.
	Pick(ctx context.Context, q *query) (selection, *Refusal)
	// HedgeAfter returns how long to wait before a request is hedged; false if it should not be hedged.
	HedgeAfter(service string) (time.Duration, bool)
}

// selection is a selected backend server with an occupied slot. Done must be called exactly once; it releases the slot.
type selection interface {
	Server() backendServer
	Done(result)
}

// backendServer is the address and location of a backend server, with the data of its selection.
type backendServer struct {
	service string
	address string
	// id identifies the server instance; empty if servers have no identifiers.
	id string
	// incarnation is the number of the run of the server.
	incarnation uint64
	region      string
	domain      string
	// cold is set if the server was in cold start when it was selected.
	cold bool
	// pickDetails is the data on which the selection was based, for the log.
	pickDetails balance.PickDetails
}

// resultKind is the kind of result of an attempt.
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
	// resultBroken: the connection broke after the first byte was written.
	resultBroken
	// resultTimeout: the deadline passed after the first byte was written.
	resultTimeout
	// resultCanceled: the caller disconnected, or the response of a parallel attempt was used.
	resultCanceled
	// resultNotSent: the gateway ended the attempt before a byte was written.
	resultNotSent
	// resultDiscarded: the selection was not used, or the result says nothing about the server.
	resultDiscarded
)

// result is the result of an attempt, for the selector.
type result struct {
	kind    resultKind
	latency time.Duration
	// ServerReport is the report in the header of the response.
	ServerReport
}
