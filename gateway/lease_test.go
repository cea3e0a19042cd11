package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

func newTestLease(t *testing.T) *leaseClient {
	t.Helper()
	return &leaseClient{
		replicas: &replicaList{listed: []settings.Replica{{Name: "control-1"}}}, compile: compileSections, clock: newClock(), meter: &byteMeter{},
		status: func() *controlpb.GatewayStatus { return &controlpb.GatewayStatus{} }, onChange: func(*lease) {}, onGatewaysListed: func(context.Context) {},
		log: telemetry.NewLogger(io.Discard, telemetry.Info), counters: telemetry.NewMetrics(),
	}
}

// fakeStream records renewals and returns the answers that the test puts into its channel.
type fakeStream struct {
	ctx     context.Context
	mu      sync.Mutex
	sent    []*controlpb.RenewRequest
	answers chan *controlpb.RenewAnswer
}

func (s *fakeStream) Send(r *controlpb.RenewRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, proto.CloneOf(r))
	return nil
}

func (s *fakeStream) renewals() []*controlpb.RenewRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sent
}

func (s *fakeStream) Recv() (*controlpb.RenewAnswer, error) {
	select {
	case a := <-s.answers:
		return a, nil
	case <-s.ctx.Done():
		return nil, s.ctx.Err()
	}
}

// Guards against a lease that starts when the answer arrives instead of when the renewal was sent, and against a session
// that waits longer than a second for a replica that does not answer.
func TestLeaseStartsWhenRenewalIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestLease(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		stream := &fakeStream{ctx: ctx, answers: make(chan *controlpb.RenewAnswer)}
		s := &leaseSession{client: c, sent: map[uint64]time.Duration{}, answers: make(chan *controlpb.RenewAnswer), streamErrors: make(chan error, 1)}
		go s.receive(ctx, stream)
		ended := make(chan error, 1)
		go func() { ended <- s.run(ctx, stream) }()
		time.Sleep(900 * time.Millisecond) // the first renewal was sent at 0, the second at 600 ms
		stream.answers <- &controlpb.RenewAnswer{Nonce: stream.renewals()[0].Nonce, Revision: 1, Full: true, Sections: testSections(t)}
		synctest.Wait()
		if _, ok := c.Valid(); !ok || len(stream.renewals()) != 2 {
			t.Fatalf("no lease after an answer, %d renewals", len(stream.renewals()))
		}
		select {
		case err := <-ended:
			if _, ok := err.(*ReplicaTimeoutError); !ok || c.clock.now() != 1900*time.Millisecond {
				t.Fatalf("ended with %v at %s", err, c.clock.now())
			}
		case <-time.After(time.Minute):
			t.Fatal("the session did not end although the replica sent no answer")
		}
		time.Sleep(leaseDuration - c.clock.now() - time.Nanosecond)
		if _, ok := c.Valid(); !ok {
			t.Fatal("the lease ended early")
		}
		time.Sleep(time.Nanosecond)
		if _, ok := c.Valid(); ok {
			t.Fatal("the lease is valid later than 3 s after the renewal was sent")
		}
	})
}

// Guards against a gateway that returns to an older revision, uses an answer of another cluster, uses a document that does
// not compile, or merges changed and removed sections wrongly.
func TestLeaseRejectsOlderAndForeignAnswers(t *testing.T) {
	c := newTestLease(t)
	all := testSections(t)
	accept := func(a *controlpb.RenewAnswer, expires time.Duration) bool {
		accepted, err := c.applyAnswer(a, expires)
		must(t, err)
		return accepted
	}
	answer := func(revision uint64) *controlpb.RenewAnswer {
		return &controlpb.RenewAnswer{Revision: revision, ClusterId: 7, Full: true, Sections: all}
	}
	if accept(&controlpb.RenewAnswer{ClusterId: 7}, time.Hour); c.Current().config != nil {
		t.Fatal("an answer without a configuration gave a configuration")
	}
	if !accept(answer(5), time.Hour) {
		t.Fatal("the first revision was refused")
	}
	foreign := answer(9)
	foreign.ClusterId = 8
	broken := &controlpb.RenewAnswer{Revision: 9, ClusterId: 7, Sections: []*controlpb.Section{{Name: "services/labels", Text: "x"}}}
	for name, a := range map[string]*controlpb.RenewAnswer{"older": answer(4), "foreign": foreign, "broken": broken} {
		if accept(a, 2*time.Hour) || c.Current().revision != 5 || c.Current().expires != time.Hour {
			t.Errorf("%s answer was accepted: revision %d, expires %s", name, c.Current().revision, c.Current().expires)
		}
	}
	out := &controlpb.RenewAnswer{Revision: 6, ClusterId: 7, DomainsOut: []string{"north-a"}}
	if !accept(out, time.Hour) || !c.Current().config.IsDomainOut("north-a") {
		t.Error("a failure domain that was taken out was not applied")
	}
	gone := &controlpb.RenewAnswer{Revision: 7, ClusterId: 7, Removed: []string{"services/labels"}}
	if !accept(gone, time.Hour) || len(c.Current().config.Services) != 0 || c.Current().config.IsDomainOut("north-a") {
		t.Error("the removal of a section or the return of a failure domain was not applied")
	}
}

// Guards against a gateway that does not change to another replica when its replica stops, and against one that keeps
// serving or stays ready after its lease has expired.
func TestReplicaChangeAndLostLease(t *testing.T) {
	c := newCertificates(t)
	first, second := startControl(t, c, "control-1", testSections(t)), startControl(t, c, "control-2", testSections(t))
	g := startGateway(t, c, "gw-1", first, second)
	first.server.Stop()
	time.Sleep(leaseDuration + time.Second)
	if answer, _ := g.call(t, "GET", "/read", ""); answer.StatusCode != 503 || g.get(t, "/readyz") != http.StatusOK {
		t.Fatalf("the second replica did not take over: %d", answer.StatusCode)
	}
	second.set(func(a *controlpb.RenewAnswer) { a.Revision = 0 }) // no longer confirms what the gateway has
	eventually(t, "gateway stops serving", func() bool {
		_, body := g.call(t, "GET", "/read", "")
		return g.get(t, "/readyz") == http.StatusServiceUnavailable && reasonOf(body) == ReasonConfigurationStale
	})
}
