package gateway

import (
	"context"
	"fmt"
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// runSession renews the lease at one replica until the replica times out, the stream fails, a nearer replica is available or
// ctx ends.
func (c *leaseClient) runSession(ctx context.Context, replica settings.Replica) error {
	conn, err := c.dial(replica.Name, replica.Address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &leaseSession{client: c, replica: replica, sent: map[uint64]time.Duration{}, answers: make(chan *controlpb.RenewAnswer), streamErrors: make(chan error, 1), receivedBytes: c.meter.received.Load(), confirmedAt: c.clock.now()}
	// A suspended process accepts the connection and never answers. The timeout lets another replica be tried.
	opening := time.AfterFunc(api.OpenTimeout, cancel)
	stream, err := controlpb.NewConfigurationsClient(conn).Watch(ctx)
	if !opening.Stop() {
		return &ReplicaUnreachableError{Replica: replica.Name}
	}
	if err != nil {
		return fmt.Errorf("open stream to %s: %w", replica.Name, err)
	}
	go s.receive(ctx, stream)
	return s.run(ctx, stream)
}

// leaseSession is one renewal stream to one replica.
type leaseSession struct {
	client       *leaseClient
	replica      settings.Replica
	sent         map[uint64]time.Duration // when each unanswered renewal of this stream was sent, by nonce
	answers      chan *controlpb.RenewAnswer
	streamErrors chan error
	// receivedBytes is the number of bytes received at the last answer or check of isReceiving, and partialSince the time of
	// the first check since the last answer; 0 if there was none.
	receivedBytes uint64
	partialSince  time.Duration
	// confirmedAt is the time of the last answer that confirmed the configuration, or of the start of the session.
	confirmedAt time.Duration
}

const (
	// minPartialBytes is the least number of bytes that must arrive within replicaTimeout while an answer is incomplete.
	// Acknowledgements and pings of the connection are far smaller.
	minPartialBytes = 4 << 10
	// maxPartialTime limits the time in which an answer may arrive.
	maxPartialTime = 30 * time.Second
)

// isReceiving reports whether a part of an answer has arrived since the last check. A large answer, such as a whole
// document, may take longer than replicaTimeout on a slow link; giving it up would only start it over.
func (s *leaseSession) isReceiving() bool {
	received, now := s.client.meter.received.Load(), s.client.clock.now()
	enough := received-s.receivedBytes >= minPartialBytes
	s.receivedBytes = received
	if s.partialSince == 0 {
		s.partialSince = now
	}
	return enough && now-s.partialSince < maxPartialTime
}

type watchStream interface {
	Send(*controlpb.RenewRequest) error
	Recv() (*controlpb.RenewAnswer, error)
}

func (s *leaseSession) receive(ctx context.Context, stream watchStream) {
	for {
		a, err := stream.Recv()
		if err != nil {
			s.streamErrors <- err
			return
		}
		select {
		case s.answers <- a:
		case <-ctx.Done():
			return
		}
	}
}

func (s *leaseSession) run(ctx context.Context, stream watchStream) error {
	renew := time.NewTicker(renewInterval)
	defer renew.Stop()
	silence := time.NewTimer(replicaTimeout)
	defer silence.Stop()
	if err := s.renew(stream); err != nil {
		return err
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-s.streamErrors:
			return fmt.Errorf("stream of %s: %w", s.replica.Name, err)
		case <-silence.C:
			if !s.isReceiving() {
				return &ReplicaTimeoutError{Replica: s.replica.Name}
			}
			silence.Reset(replicaTimeout)
		case <-renew.C:
			if s.client.replicas.hasNearer(s.replica, time.Now()) {
				return &NearerReplicaError{}
			}
			renew.Reset(renewInterval)
			if err := s.renew(stream); err != nil {
				return err
			}
		case a := <-s.answers:
			first := s.client.firstConfirmedAt == 0
			progress, err := s.handleAnswer(ctx, a)
			if err != nil {
				return err
			}
			if progress {
				s.receivedBytes, s.partialSince = s.client.meter.received.Load(), 0
				silence.Reset(replicaTimeout)
			}
			if a.GetRoutePart() != nil {
				if err := s.acknowledgeRoutes(stream); err != nil {
					return err
				}
			}
			if first && s.client.firstConfirmedAt != 0 {
				renew.Reset(gatewayListDelay)
			}
		}
	}
}

func (s *leaseSession) renew(stream watchStream) error {
	c := s.client
	c.counters.Gauge("control_bytes_received").Update(int64(c.meter.received.Load()))
	c.nonce++
	now := c.clock.now()
	s.sent[c.nonce] = now
	request := &controlpb.RenewRequest{
		Nonce: c.nonce, Gateway: c.status(), GatewaysDigest: c.Current().gatewaysDigest, CatalogueIndex: c.catalogueIndex(),
		AcceptsRouteParts: true, Routes: c.routeParts.Position(),
	}
	if c.takeCrashReports != nil {
		request.Poison = c.takeCrashReports()
	}
	request.Gateway.Revision = c.Current().revision
	if err := stream.Send(request); err != nil {
		return fmt.Errorf("send renewal to %s: %w", s.replica.Name, err)
	}
	return nil
}

// acceptRoutePart reports whether the part advanced the transfer, at most maxPartialTime after the last confirmation. After
// that, the replica is given up, because it no longer confirms anything.
func (s *leaseSession) acceptRoutePart(part *controlpb.RoutePart) (progress bool, err error) {
	c := s.client
	before := c.routeParts.Position()
	if err := c.acceptRoutePart(part); err != nil {
		return false, err
	}
	return !proto.Equal(before, c.routeParts.Position()) && c.clock.now()-s.confirmedAt < maxPartialTime, nil
}

// acknowledgeRoutes tells the replica which parts of a route table have arrived, so that it sends further ones.
func (s *leaseSession) acknowledgeRoutes(stream watchStream) error {
	if err := stream.Send(&controlpb.RenewRequest{Routes: s.client.routeParts.Position()}); err != nil {
		return fmt.Errorf("acknowledge route parts to %s: %w", s.replica.Name, err)
	}
	return nil
}

// handleAnswer processes one answer and reports whether the session makes progress: the answer confirmed the
// configuration or contained a part of a route table. The lease starts when the renewal with the same nonce was sent, so
// an answer without such a renewal confirms nothing. After an error the stream must be closed.
func (s *leaseSession) handleAnswer(ctx context.Context, a *controlpb.RenewAnswer) (progress bool, err error) {
	s.client.replicas.setMembers(a.GetReplicas())
	isChange := a.GetNonce() == 0 && (a.GetCatalogue() != nil || a.GetRoutePart() != nil)
	if isChange && a.GetClusterId() != s.client.Current().clusterID {
		s.client.log.Log(eventClusterRefused, telemetry.F("cluster_id", a.GetClusterId()))
		return false, nil
	}
	if a.GetNonce() == 0 && !s.client.Current().isConfigured() && s.client.replicas.hasNearer(s.replica, time.Now()) {
		return false, &NearerReplicaError{} // fetch the whole catalogue from the nearer replica
	}
	if a.GetRoutePart() != nil {
		return s.acceptRoutePart(a.GetRoutePart())
	}
	if a.GetNonce() == 0 {
		return false, s.client.acceptPush(a)
	}
	sentAt, ok := s.sent[a.GetNonce()]
	if !ok {
		return false, nil
	}
	maps.DeleteFunc(s.sent, func(_ uint64, at time.Duration) bool { return at <= sentAt })
	if err := s.client.checkRoutesFollow(a); err != nil {
		return false, err
	}
	accepted, err := s.client.applyAnswer(a, sentAt+leaseDuration)
	if err != nil || !accepted {
		return false, err
	}
	s.confirmedAt = s.client.clock.now()
	s.client.notifyIfListed(ctx, sentAt, a.GetGatewaysComplete())
	return true, nil
}
