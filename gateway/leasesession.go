package gateway

import (
	"context"
	"fmt"
	"maps"
	"time"

	"heatherwall.example/api"
	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
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
	s := &leaseSession{client: c, replica: replica, sent: map[uint64]time.Duration{}, answers: make(chan *controlpb.RenewAnswer), streamErrors: make(chan error, 1)}
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
			return &ReplicaTimeoutError{Replica: s.replica.Name}
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
			confirmed, err := s.handleAnswer(ctx, a)
			if err != nil {
				return err
			}
			if confirmed {
				silence.Reset(replicaTimeout)
			}
			if first && s.client.firstConfirmedAt != 0 {
				renew.Reset(gatewayListDelay)
			}
		}
	}
}

func (s *leaseSession) renew(stream watchStream) error {
	c := s.client
	c.nonce++
	now := c.clock.now()
	s.sent[c.nonce] = now
	request := &controlpb.RenewRequest{
		Nonce: c.nonce, Gateway: c.status(), GatewaysDigest: c.Current().gatewaysDigest, CatalogueIndex: c.Current().catalogue.index,
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

// handleAnswer processes one answer and reports whether it confirmed the configuration. The lease starts when the renewal
// with the same nonce was sent, so an answer without such a renewal confirms nothing. After an error the stream must be
// closed.
func (s *leaseSession) handleAnswer(ctx context.Context, a *controlpb.RenewAnswer) (confirmed bool, err error) {
	s.client.replicas.setMembers(a.GetReplicas())
	if a.GetNonce() == 0 && !s.client.Current().isConfigured() && s.client.replicas.hasNearer(s.replica, time.Now()) {
		return false, &NearerReplicaError{} // fetch the whole catalogue from the nearer replica
	}
	if a.GetNonce() == 0 {
		return false, s.client.acceptPush(a)
	}
	sentAt, ok := s.sent[a.GetNonce()]
	if !ok {
		return false, nil
	}
	maps.DeleteFunc(s.sent, func(_ uint64, at time.Duration) bool { return at <= sentAt })
	accepted, err := s.client.applyAnswer(a, sentAt+leaseDuration)
	if err != nil || !accepted {
		return false, err
	}
	s.client.notifyIfListed(ctx, sentAt, a.GetGatewaysComplete())
	return true, nil
}
