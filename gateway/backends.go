package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/balance"
	"heatherwall.example/routes"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

const (
	// backendsTick is the tick interval of the engine. It may be long because requests in this mode take hundreds of
	// milliseconds.
	backendsTick = 100 * time.Millisecond
	// coldReportDelay is added to the end of a cold start, for the time that the server's report took to arrive.
	coldReportDelay = 250 * time.Millisecond
	// noExpiry is the lifetime of evidence where the catalogue reports which servers leave.
	noExpiry = 1 << 62
)

// catalogueBackends applies the backend servers of the catalogue to the balance engine. Only its goroutine touches the
// engine; others send it commands.
type catalogueBackends struct {
	name     string
	region   string
	clock    clock
	engine   *balance.Engine
	cold     settings.ColdLimit
	retry    settings.RetryBudget
	log      *telemetry.Logger
	counters *telemetry.Metrics
	// ownAddresses are the addresses of this gateway, which belong to no backend server.
	ownAddresses []string

	commands chan func(now time.Duration)
	stopped  chan struct{}

	// The fields below belong to the owner goroutine.
	records map[string]*backendRecord
	// skipped holds the log index of the last change of each record that names no server to use.
	skipped map[string]uint64
	// pending batches events until flush passes them to the engine.
	pending  []balance.Event
	view     catalogueView
	gateways []*controlpb.GatewayStatus
}

// backendRecord is a server of the catalogue as last passed to the engine.
type backendRecord struct {
	server *controlpb.BackendServer
	// coldUntil is the end of its cold start on the monotonic clock; 0 for a warm server.
	coldUntil time.Duration
}

// run is the owner goroutine. It returns when ctx ends.
func (b *catalogueBackends) run(ctx context.Context) {
	defer close(b.stopped)
	ticker := time.NewTicker(backendsTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-b.commands:
			f(b.clock.now())
		case <-ticker.C:
			b.tick(b.clock.now())
		}
	}
}

// do runs f in the owner goroutine and waits for it to return. It does nothing if the owner goroutine has stopped.
func (b *catalogueBackends) do(f func(now time.Duration)) {
	done := make(chan struct{})
	select {
	case b.commands <- func(now time.Duration) { defer close(done); f(now) }:
		<-done
	case <-b.stopped:
	}
}

// configure applies the catalogue and the gateway list of a lease.
func (b *catalogueBackends) configure(l *lease) {
	b.do(func(now time.Duration) {
		gatewaysChanged := !haveSameNames(b.gateways, l.gateways, b.region)
		routesChanged := b.view.routes != l.catalogue.routes
		b.view, b.gateways = l.catalogue, l.gateways
		b.view.servers = b.withoutOdd(l.catalogue.servers)
		b.pending = append(b.pending, balance.ConfigChanged{DomainsOut: l.catalogue.domainsOut, RetryBurst: retryBurst(b.retry, len(b.gateways))})
		b.removeStaleRecords()
		first := len(b.records) == 0
		for id, s := range b.view.servers {
			b.updateRecord(now, id, s, gatewaysChanged || routesChanged, first)
		}
		if first && len(b.records) > 0 {
			b.log.Log(eventBackendsLoaded, telemetry.F("servers", len(b.records)), telemetry.F("index", b.view.index))
		}
		b.flush()
	})
}

// withoutOdd returns the servers without the records that name no server to use. Control replicas refuse such reports, but
// the log may hold some from before. Records that have not changed are not checked again.
func (b *catalogueBackends) withoutOdd(servers map[string]*controlpb.BackendServer) map[string]*controlpb.BackendServer {
	usable, skipped := servers, map[string]uint64{}
	for id, s := range servers {
		if r := b.records[id]; r != nil && r.server.GetChanged() == s.GetChanged() {
			continue
		}
		err := b.checkServer(s)
		if err == nil {
			continue
		}
		if len(skipped) == 0 {
			usable = maps.Clone(servers)
		}
		delete(usable, id)
		skipped[id] = s.GetChanged()
		if b.skipped[id] != s.GetChanged() {
			b.log.Log(eventBackendSkipped, telemetry.F("server", id), telemetry.F("address", s.GetAddress()), telemetry.F("error", err), telemetry.F("index", b.view.index))
		}
	}
	b.skipped = skipped
	return usable
}

// OwnAddressError reports a record of a backend server at an address of this gateway, which would receive its own requests.
type OwnAddressError struct {
	Address string
}

func (e *OwnAddressError) Error() string { return "address " + e.Address + " belongs to this gateway" }

// checkServer returns an error if a record names no server to use.
func (b *catalogueBackends) checkServer(s *controlpb.BackendServer) error {
	if slices.Contains(b.ownAddresses, s.GetAddress()) {
		return &OwnAddressError{Address: s.GetAddress()}
	}
	return routes.ValidateServer(s)
}

// flush passes the pending events to the engine in one batch.
func (b *catalogueBackends) flush() {
	b.engine.ApplyAll(b.pending)
	b.pending = b.pending[:0]
}

// haveSameNames reports whether two lists of gateways, each sorted by name, have the same names in a region.
func haveSameNames(a, b []*controlpb.GatewayStatus, region string) bool {
	for {
		a, b = skipOtherRegions(a, region), skipOtherRegions(b, region)
		if len(a) == 0 || len(b) == 0 {
			return len(a) == len(b)
		}
		if a[0].GetName() != b[0].GetName() {
			return false
		}
		a, b = a[1:], b[1:]
	}
}

func skipOtherRegions(list []*controlpb.GatewayStatus, region string) []*controlpb.GatewayStatus {
	for len(list) > 0 && list[0].GetRegion() != region {
		list = list[1:]
	}
	return list
}

// removeStaleRecords removes servers that are no longer in the catalogue, or that have another address or incarnation there.
// It runs before new records are added, because a new server may have the address of a removed one.
func (b *catalogueBackends) removeStaleRecords() {
	for id, r := range b.records {
		s := b.view.servers[id]
		if s != nil && s.GetAddress() == r.server.GetAddress() && s.GetIncarnation() == r.server.GetIncarnation() {
			continue
		}
		delete(b.records, id)
		b.pending = append(b.pending, balance.ServerRemoved{Address: r.server.GetAddress()})
		b.log.Log(eventBackendGone, telemetry.F("server", id), telemetry.F("service", r.server.GetService()), telemetry.F("index", b.view.index))
	}
}

// updateRecord queues a record for the engine if it has changed, or if its server is cold and the limits of cold starts may
// have changed. For the first catalogue after a start it logs no single servers; the caller logs one line for all of them.
func (b *catalogueBackends) updateRecord(now time.Duration, id string, s *controlpb.BackendServer, limitsChanged, first bool) {
	r := b.records[id]
	if r != nil && r.server.GetChanged() == s.GetChanged() && !(limitsChanged && r.coldUntil > 0) {
		return
	}
	if r == nil {
		r = &backendRecord{}
		b.records[id] = r
	}
	if r.server.GetChanged() != s.GetChanged() {
		r.coldUntil = 0
		if s.GetColdMs() > 0 {
			r.coldUntil = now + time.Duration(s.GetColdMs())*time.Millisecond + coldReportDelay
		}
		if !first {
			b.logChange(s)
		}
	}
	r.server = s
	b.queueServer(now, r)
}

func (b *catalogueBackends) logChange(s *controlpb.BackendServer) {
	b.log.Log(eventBackendChanged, telemetry.F("server", s.GetId()), telemetry.F("service", s.GetService()), telemetry.F("address", s.GetAddress()),
		telemetry.F("state", s.GetState().String()), telemetry.F("cold_ms", int(s.GetColdMs())), telemetry.F("index", b.view.index))
}

func (b *catalogueBackends) queueServer(now time.Duration, r *backendRecord) {
	s := r.server
	server := balance.Server{
		Address: s.GetAddress(), ID: s.GetId(), Service: s.GetService(), Region: s.GetRegion(), FailureDomain: s.GetFailureDomain(),
		Incarnation: s.GetIncarnation(), Sequence: s.GetChanged(), Slots: int(s.GetSlots()), EvidenceAt: now,
		MaxInFlight: b.connectionShare(s.GetService()),
	}
	switch {
	case s.GetState() == controlpb.BackendState_BACKEND_DRAINING:
		server.State = balance.StateDraining
	case r.coldUntil > now:
		server.State = balance.StateCold
		server.SendUntil = r.coldUntil
		server.ColdInterval, server.Owned = b.coldSendLimit(s)
	}
	b.pending = append(b.pending, balance.ServerChanged{Server: server})
}

// connectionShare returns this gateway's share of the connections that a server accepts from all gateways, less the
// connections reserved for probes; 0 means no limit.
func (b *catalogueBackends) connectionShare(service string) int {
	if b.view.routes == nil || b.view.routes.Services[service] == nil || b.view.routes.Services[service].MaxConnections == 0 {
		return 0
	}
	part := b.view.routes.Services[service].MaxConnections / max(len(b.gateways), 1)
	return max(part-maxProbeConnections, 1)
}

// coldSendLimit returns the minimum interval between requests of this gateway to a cold server, and whether the gateway may
// send to that server at all.
func (b *catalogueBackends) coldSendLimit(s *controlpb.BackendServer) (time.Duration, bool) {
	rate := 0.0
	if b.view.routes != nil {
		if service := b.view.routes.Services[s.GetService()]; service != nil {
			rate = service.ColdRate
		}
	}
	if rate == 0 {
		return 0, true
	}
	var sharing []string
	for _, g := range b.gateways {
		if g.GetRegion() == s.GetRegion() {
			sharing = append(sharing, g.GetName())
		}
	}
	return balance.ColdSendInterval(s.GetId(), b.name, sharing, rate*b.cold.Overage+b.cold.Slack)
}

func (b *catalogueBackends) tick(now time.Duration) {
	for _, r := range b.records {
		if r.coldUntil > 0 && r.coldUntil <= now {
			r.coldUntil = 0
			b.queueServer(now, r)
		}
	}
	b.flush()
	b.engine.Tick(now)
	for _, n := range b.engine.Notices() {
		b.handleNotice(n)
	}
}

func (b *catalogueBackends) handleNotice(n balance.Notice) {
	switch n.Kind {
	case balance.NoticeEjected:
		b.counters.Counter("ejections", "service", n.Service).Inc(1)
		b.log.Log(eventServerEjected, telemetry.F("service", n.Service), telemetry.F("address", n.Address))
	case balance.NoticeReturned:
		b.log.Log(eventServerReturned, telemetry.F("service", n.Service), telemetry.F("address", n.Address))
	}
}
