package control

import (
	"context"
	"crypto/tls"
	"sync"
	"sync/atomic"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/telemetry"

	"google.golang.org/grpc"
)

const (
	// peerQueue bounds the messages that wait for one peer; raft repeats what is dropped.
	peerQueue = 1024
	// acknowledgeTimeout is how long a batch may go unacknowledged. A silent cut sends no reset, and the connection's
	// own retransmissions back off for far longer than a cut lasts, so the connection is replaced.
	acknowledgeTimeout = 1500 * time.Millisecond
	// batchMessages bounds the messages of one batch.
	batchMessages = 64
)

// transport sends batches to the other replicas. One sender per address; send never blocks.
type transport struct {
	tls     *tls.Config
	log     *telemetry.Logger
	ctx     context.Context
	cluster uint64
	mu      sync.Mutex
	senders map[string]*sender
	wg      sync.WaitGroup
}

func newTransport(ctx context.Context, c *tls.Config, cluster uint64, log *telemetry.Logger) *transport {
	return &transport{tls: c, log: log, ctx: ctx, cluster: cluster, senders: map[string]*sender{}}
}

// send queues a batch part for an address and drops it when the queue is full.
func (t *transport) send(address string, part *controlpb.PeerBatch) {
	select {
	case t.sender(address).queue <- part:
	default:
	}
}

func (t *transport) sender(address string) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.senders[address]
	if !ok {
		s = &sender{address: address, queue: make(chan *controlpb.PeerBatch, peerQueue)}
		t.senders[address] = s
		t.wg.Go(func() { s.run(t) })
	}
	return s
}

func (t *transport) wait() {
	t.wg.Wait()
}

type sender struct {
	address string
	queue   chan *controlpb.PeerBatch
}

func (s *sender) run(t *transport) {
	for t.ctx.Err() == nil {
		part, ok := s.next(t.ctx)
		if !ok {
			return
		}
		err := s.stream(t, part)
		if t.ctx.Err() != nil {
			return
		}
		t.log.Log(eventPeerCut, telemetry.F("address", s.address), telemetry.F("error", err))
		s.discard()
		pause(t.ctx, maxReconnectDelay/4)
	}
}

// discard drops what was queued while the connection failed; it is out of date by now.
func (s *sender) discard() {
	for {
		select {
		case <-s.queue:
		default:
			return
		}
	}
}

func (s *sender) next(ctx context.Context) (*controlpb.PeerBatch, bool) {
	select {
	case part := <-s.queue:
		return part, true
	case <-ctx.Done():
		return nil, false
	}
}

// stream sends batches over one connection until it fails.
func (s *sender) stream(t *transport, first *controlpb.PeerBatch) error {
	conn, err := dial(s.address, t.tls)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	stop := time.AfterFunc(acknowledgeTimeout, func() { cancel(&UnacknowledgedError{Address: s.address}) })
	defer stop.Stop()
	client, err := controlpb.NewPeersClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	var unacknowledged atomic.Int64
	t.wg.Go(func() { readAcks(client, &unacknowledged, stop, cancel) })
	for part := first; ; {
		if unacknowledged.Add(1) == 1 {
			stop.Reset(acknowledgeTimeout)
		}
		if err := client.Send(s.fill(part, t.cluster)); err != nil {
			return causeOf(ctx, err)
		}
		var ok bool
		if part, ok = s.next(ctx); !ok {
			return causeOf(ctx, ctx.Err())
		}
	}
}

// fill adds what is queued already, so that one batch carries several messages.
func (s *sender) fill(part *controlpb.PeerBatch, cluster uint64) *controlpb.PeerBatch {
	batch := &controlpb.PeerBatch{ClusterId: cluster, Messages: part.Messages, Report: part.Report}
	for len(batch.Messages) < batchMessages {
		select {
		case part := <-s.queue:
			batch.Messages = append(batch.Messages, part.Messages...)
			if part.Report != nil {
				batch.Report = part.Report
			}
		default:
			return batch
		}
	}
	return batch
}

func readAcks(client grpc.BidiStreamingClient[controlpb.PeerBatch, controlpb.PeerBatchAck], unacknowledged *atomic.Int64, stop *time.Timer, cancel context.CancelCauseFunc) {
	for {
		if _, err := client.Recv(); err != nil {
			cancel(err)
			return
		}
		if unacknowledged.Add(-1) == 0 {
			stop.Stop()
		} else {
			stop.Reset(acknowledgeTimeout)
		}
	}
}

// UnacknowledgedError reports a peer that did not acknowledge a batch in time.
type UnacknowledgedError struct {
	Address string
}

func (e *UnacknowledgedError) Error() string {
	return "no acknowledgement from " + e.Address + " within " + acknowledgeTimeout.String()
}

func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
