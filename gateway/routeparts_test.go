package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/routes/transfer"
	"heatherwall.example/telemetry"
)

// largeTable returns a table whose transfer has several parts.
func largeTable(version uint64, routes int) *controlpb.RouteTable {
	t := routeTable(version)
	for i := range routes {
		name := fmt.Sprintf("r-%d", i)
		t.Routes = append(t.Routes, &controlpb.Route{Name: name, Host: "a.example", PathPrefix: "/" + name + "/", TimeoutMs: 1000, Shares: t.Routes[0].GetShares()})
	}
	return t
}

// partsOf returns the parts that turn one table into another.
func partsOf(t *testing.T, from, to *controlpb.RouteTable) []*controlpb.RoutePart {
	t.Helper()
	s, err := transfer.NewStep(from.GetVersion(), transfer.FingerprintsOf(from), to, transfer.FingerprintsOf(to))
	must(t, err)
	if len(s.Parts) < 3 {
		t.Fatalf("%d parts; want some", len(s.Parts))
	}
	return s.Parts
}

// Guards against a session that is given up while a large route table arrives, and against parts that are not acknowledged.
func TestSessionLastsWhileRoutePartsArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestLease(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stream := &fakeStream{ctx: ctx, answers: make(chan *controlpb.RenewAnswer)}
		s := &leaseSession{client: c, sent: map[uint64]time.Duration{}, answers: make(chan *controlpb.RenewAnswer), streamErrors: make(chan error, 1)}
		go s.receive(ctx, stream)
		ended := make(chan error, 1)
		go func() { ended <- s.run(ctx, stream) }()
		for _, p := range partsOf(t, nil, largeTable(4, 3000)) {
			time.Sleep(replicaTimeout - time.Millisecond)
			stream.answers <- &controlpb.RenewAnswer{RoutePart: p}
			synctest.Wait()
			last := stream.renewals()[len(stream.renewals())-1]
			if got := last.GetRoutes(); last.GetNonce() != 0 || got.GetVersion() < 4 && got.GetEdits() == 0 {
				t.Fatalf("no acknowledgement after a part: %v", last)
			}
		}
		if v := c.Current().catalogue.routes; v == nil || v.Version != 4 {
			t.Fatal("the table is not in use after its last part")
		}
		if _, ok := c.Valid(); ok {
			t.Error("parts of a route table extended the lease")
		}
		var timeout *ReplicaTimeoutError
		if err := <-ended; !errors.As(err, &timeout) {
			t.Errorf("ended with %v; want *ReplicaTimeoutError once nothing arrives", err)
		}
	})
}

// Guards against a lease that is extended for a newer route table than the one in use, and against confirmations that are
// lost when the table arrives.
func TestLeaseWaitsForNewerRouteTable(t *testing.T) {
	c := newTestLease(t)
	confirm := func(version uint64, expires time.Duration) {
		a := catalogueAnswer(0, 10, nil, "a")
		a.RoutesVersion = version
		if _, err := c.applyAnswer(a, expires); err != nil {
			t.Fatal(err)
		}
	}
	table := largeTable(4, 3000)
	for _, p := range partsOf(t, nil, table) {
		confirm(4, time.Hour)
		if l, ok := c.Valid(); ok || l.expires != 0 {
			t.Fatal("the lease was extended before the table was complete")
		}
		must(t, c.acceptRoutePart(p))
	}
	if l, ok := c.Valid(); !ok || l.expires != time.Hour || len(l.catalogue.servers) != 1 {
		t.Fatalf("the lease ends at %s with %d servers; want an hour, confirmed before the table was complete", l.expires, len(l.catalogue.servers))
	}
	confirm(5, 2*time.Hour)
	if l := c.Current(); l.expires != time.Hour || !l.mayBeUnknownRoute(c.clock.now()) {
		t.Error("a confirmation of a newer table extended the lease, or the table in use counts as current")
	}
	must(t, c.acceptPush(catalogueAnswer(10, 11, nil, "b")))
	if l := c.Current(); len(l.catalogue.servers) != 2 || l.catalogue.routes.Version != 4 {
		t.Error("a change of servers does not pass a route table in transfer")
	}
}

// Guards against a gateway that never gets a newer table because its new replica does not send parts.
func TestGatewayAsksForWholeCatalogueOfReplicaWithoutParts(t *testing.T) {
	c := newTestLease(t)
	a := catalogueAnswer(0, 10, routeTable(3), "a")
	if _, err := c.applyAnswer(a, time.Hour); err != nil {
		t.Fatal(err)
	}
	must(t, c.acceptRoutePart(partsOf(t, routeTable(3), largeTable(4, 3000))[0]))
	s := &leaseSession{client: c, sent: map[uint64]time.Duration{1: 2 * time.Hour}}
	var missing *RoutesMissingError
	if _, err := s.handleAnswer(t.Context(), &controlpb.RenewAnswer{ClusterId: 7, Nonce: 1}); !errors.As(err, &missing) || c.catalogueIndex() != 0 {
		t.Errorf("%v, asks from index %d; want *RoutesMissingError and 0", err, c.catalogueIndex())
	}
	if c.Current().expires != time.Hour {
		t.Errorf("a replica that does not send the newest table extended the lease to %s", c.Current().expires)
	}
	s.sent[2] = 2 * time.Hour
	whole := catalogueAnswer(0, 11, largeTable(4, 3000), "a")
	whole.Nonce = 2
	if _, err := s.handleAnswer(t.Context(), whole); err != nil || c.Current().catalogue.routes.Version != 4 || c.catalogueIndex() != 11 {
		t.Errorf("%v after the whole catalogue; asks from index %d", err, c.catalogueIndex())
	}
}

// Guards against 404 for a request whose route may be in force already, and against 503 for one that no route covers.
func TestUnknownRouteIsRefusedByConfirmation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestLease(t)
		c.serveStale = time.Hour
		p := &requestPath{dialect: nativeDialect, configuration: c, clock: c.clock, log: c.log, counters: c.counters, logLimiter: telemetry.NewLineLimiter(maxRequestLogLines, c.counters), maxRequests: 1, steps: []step{(*requestPath).admit, (*requestPath).matchRoute}}
		status := func() int {
			r := httptest.NewRequest("GET", "/r-1/x", nil)
			r.Host = "b.example"
			w := httptest.NewRecorder()
			p.ServeHTTP(w, r)
			return w.Code
		}
		confirm := func(version uint64) {
			a := catalogueAnswer(0, 10, nil)
			a.RoutesVersion = version
			if _, err := c.applyAnswer(a, c.clock.now()+leaseDuration); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(time.Second)
		if _, err := c.applyAnswer(catalogueAnswer(0, 10, routeTable(3)), c.clock.now()+leaseDuration); err != nil {
			t.Fatal(err)
		}
		if got := status(); got != http.StatusNotFound {
			t.Errorf("status %d with a confirmed table; want 404", got)
		}
		// A configuration is expected to be in force 2 s after its acknowledgement.
		time.Sleep(2 * time.Second)
		if got := status(); got != http.StatusServiceUnavailable {
			t.Errorf("status %d without a recent confirmation; want 503", got)
		}
		confirm(4)
		if got := status(); got != http.StatusServiceUnavailable {
			t.Errorf("status %d although a newer table is known; want 503", got)
		}
		confirm(3)
		if got := status(); got != http.StatusServiceUnavailable {
			t.Errorf("status %d after an older confirmation; want 503", got)
		}
		for _, part := range partsOf(t, routeTable(3), largeTable(4, 3000)) {
			must(t, c.acceptRoutePart(part))
		}
		if got := status(); got != http.StatusNotFound {
			t.Errorf("status %d once the table is in use; want 404", got)
		}
	})
}

// Guards against a large answer that never arrives because its session is given up, and against a session that lasts
// although the replica only acknowledges the connection.
func TestSessionLastsWhileLargeAnswerArrives(t *testing.T) {
	for name, test := range map[string]struct {
		bytesPerSecond uint64
		ends           time.Duration
	}{
		"slow answer": {2 * minPartialBytes, maxPartialTime},
		"pings only":  {minPartialBytes / 10, replicaTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestLease(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				stream := &fakeStream{ctx: ctx, answers: make(chan *controlpb.RenewAnswer)}
				s := &leaseSession{client: c, sent: map[uint64]time.Duration{}, answers: make(chan *controlpb.RenewAnswer), streamErrors: make(chan error, 1)}
				go func() {
					for ctx.Err() == nil {
						c.meter.received.Add(test.bytesPerSecond / 10)
						time.Sleep(time.Second / 10)
					}
				}()
				err := s.run(ctx, stream)
				cancel()
				var timeout *ReplicaTimeoutError
				if now := c.clock.now(); !errors.As(err, &timeout) || now < test.ends || now > test.ends+2*replicaTimeout {
					t.Errorf("ended after %s with %v; want *ReplicaTimeoutError after about %s", now, err, test.ends)
				}
				time.Sleep(time.Second) // ends the goroutine that counts bytes
			})
		})
	}
}

// Guards against a gateway that serves after its start with a table that no valid confirmation covers.
func TestTableWithoutConfirmationIsNotServed(t *testing.T) {
	c := newTestLease(t)
	c.serveStale = time.Hour
	for _, p := range partsOf(t, nil, largeTable(4, 3000)) {
		a := catalogueAnswer(0, 10, nil, "a")
		a.RoutesVersion = 5
		if _, err := c.applyAnswer(a, time.Hour); err != nil {
			t.Fatal(err)
		}
		must(t, c.acceptRoutePart(p))
	}
	if l, ok := c.Valid(); ok || l.catalogue.routes == nil {
		t.Error("the gateway serves version 4, although every confirmation named version 5")
	}
}

// Guards against a lease that is never extended because newer versions are named before each table has arrived.
func TestLeaseFollowsTablesUnderConstantChange(t *testing.T) {
	c := newTestLease(t)
	held := (*controlpb.RouteTable)(nil)
	for version := uint64(1); version <= 9; version++ {
		table := largeTable(version, int(1000+version*1000))
		for renewal := range 20 {
			a := catalogueAnswer(0, 10, nil, "a")
			a.RoutesVersion = version + uint64(renewal)/10
			if _, err := c.applyAnswer(a, time.Duration(version)*time.Minute+time.Duration(renewal)*time.Second); err != nil {
				t.Fatal(err)
			}
		}
		for _, p := range partsOf(t, held, table) {
			must(t, c.acceptRoutePart(p))
		}
		held = table
		if want := time.Duration(version)*time.Minute + 9*time.Second; c.Current().expires != want {
			t.Fatalf("the lease ends at %s with version %d; want %s, the last confirmation that named it", c.Current().expires, version, want)
		}
	}
}

// Guards against parts and pushes of another cluster, and against a replica that keeps a session alive with parts that do
// not advance.
func TestSessionRefusesForeignAndRepeatedParts(t *testing.T) {
	c := newTestLease(t)
	if _, err := c.applyAnswer(catalogueAnswer(0, 10, routeTable(3), "a"), time.Hour); err != nil {
		t.Fatal(err)
	}
	s := &leaseSession{client: c, sent: map[uint64]time.Duration{}}
	part := partsOf(t, routeTable(3), largeTable(50, 3000))[0]
	foreign := catalogueAnswer(10, 11, nil, "foreign")
	foreign.ClusterId = 99
	for name, a := range map[string]*controlpb.RenewAnswer{"part": {ClusterId: 99, RoutePart: part}, "push": foreign} {
		progress, err := s.handleAnswer(t.Context(), a)
		if l := c.Current(); progress || err != nil || len(l.catalogue.servers) != 1 || l.catalogue.newestRoutes > 3 {
			t.Errorf("a %s of another cluster was accepted: progress %t, %v", name, progress, err)
		}
	}
	for want := range 2 {
		progress, err := s.handleAnswer(t.Context(), &controlpb.RenewAnswer{ClusterId: 7, RoutePart: part})
		if err != nil || progress != (want == 0) {
			t.Errorf("part received %d times: progress %t, %v", want+1, progress, err)
		}
	}
	s.confirmedAt = -maxPartialTime
	if progress, err := s.handleAnswer(t.Context(), &controlpb.RenewAnswer{ClusterId: 7, RoutePart: partsOf(t, routeTable(3), largeTable(50, 3000))[1]}); err != nil || progress {
		t.Errorf("a replica that has confirmed nothing for %s keeps its session: progress %t, %v", maxPartialTime, progress, err)
	}
}

// Guards against a definite refusal of a large body by a limit that a newer route table may have raised.
func TestLargeBodyIsRefusedByConfirmation(t *testing.T) {
	c := newTestLease(t)
	if _, err := c.applyAnswer(catalogueAnswer(0, 10, routeTable(3)), c.clock.now()+leaseDuration); err != nil {
		t.Fatal(err)
	}
	p := &requestPath{clock: c.clock}
	for newest, want := range map[uint64]Reason{3: ReasonRequestTooLarge, 4: ReasonConfigurationStale} {
		l := *c.Current()
		l.catalogue.newestRoutes = newest
		route, _ := l.catalogue.routes.Match("a.example", "/")
		r := httptest.NewRequest("POST", "/", nil)
		r.ContentLength = 1 << 40
		refusal := p.readBody(&call{r: r, lease: &l, route: route, rule: route.ChooseRule(0)})
		if refusal == nil || refusal.Reason != want || !refusal.closeConnection {
			t.Errorf("newest version %d: %v; want %s and a closed connection", newest, refusal, want)
		}
	}
}
