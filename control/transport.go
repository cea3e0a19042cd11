package control

import (
	"context"
	"sync"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/api/raftpb"
	"heatherwall.example/telemetry"
)

const (
	// peerQueueLength bounds the payloads that wait for one peer; raft sends again what is dropped.
	peerQueueLength = 1024
	// maxBatchMessages is the number of messages at which a batch is full. The last payload added to it may exceed the
	// number.
	maxBatchMessages = 64
)

// transport sends batches to the other replicas, with one sender per address. send never blocks.
type transport struct {
	dialer    dialer
	log       *telemetry.Logger
	dropped   map[dropCause]counter
	ctx       context.Context
	clusterID uint64
	mu        sync.Mutex
	// buildReport returns a report of the changes since the acknowledged version base; a base of 0 gives a full report.
	buildReport func(base uint64) *controlpb.ReplicaReport
	senders     map[string]*sender
	wg          sync.WaitGroup
}

// peerPayload is what waits to be sent to one peer: messages, a due report, or both. The report itself is built when it
// is sent, because only then is it known what the peer has acknowledged.
type peerPayload struct {
	messages []*raftpb.Message
	report   bool
}

func newTransport(ctx context.Context, d dialer, cluster uint64, log *telemetry.Logger, counters *counters) *transport {
	return &transport{dialer: d, log: log, dropped: counters.peerMessagesDropped, ctx: ctx, clusterID: cluster, senders: map[string]*sender{}}
}

// send queues a payload for an address, or drops it if the queue is full.
func (t *transport) send(address string, p peerPayload) {
	select {
	case t.senderFor(address).queue <- p:
	default:
		t.dropped[droppedQueueFull].Inc(int64(len(p.messages)))
	}
}

func (t *transport) senderFor(address string) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.senders[address]
	if !ok {
		s = &sender{address: address, queue: make(chan peerPayload, peerQueueLength)}
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
	queue   chan peerPayload
	// failures counts the attempts in a row in which the peer acknowledged nothing.
	failures int
}

func (s *sender) run(t *transport) {
	for t.ctx.Err() == nil {
		first, ok := s.next(t.ctx)
		if !ok {
			return
		}
		err := s.sendBatches(t, first)
		if t.ctx.Err() != nil {
			return
		}
		t.log.Log(eventPeerConnectionClosed, telemetry.F("address", s.address), telemetry.F("error", err))
		t.dropped[droppedConnectionFailed].Inc(s.discardQueue())
		s.waitToReconnect(t)
	}
}

// discardQueue drops what was queued while the connection failed, because it is outdated, and returns the number of
// dropped messages.
func (s *sender) discardQueue() int64 {
	messages := 0
	for {
		select {
		case p := <-s.queue:
			messages += len(p.messages)
		default:
			return int64(messages)
		}
	}
}

func (s *sender) next(ctx context.Context) (peerPayload, bool) {
	select {
	case p := <-s.queue:
		return p, true
	case <-ctx.Done():
		return peerPayload{}, false
	}
}

// sendBatches sends batches over one connection until it fails or the transport stops.
func (s *sender) sendBatches(t *transport, first peerPayload) error {
	conn, err := t.dialer.dial(s.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	ackTimer := time.AfterFunc(ackTimeout, func() { cancel(&AckTimeoutError{Address: s.address}) })
	defer ackTimer.Stop()
	client, err := controlpb.NewPeersClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	clusterID := t.clusterID
	acks := &ackTracker{timer: ackTimer}
	defer func() {
		if acks.received.Load() {
			s.failures = 0
		}
	}()
	t.wg.Go(func() { acks.receiveAcks(client, cancel) })
	for p := first; ; {
		acks.adjustUnacknowledged(1)
		batch := s.buildBatch(t, p, acks.reportVersion.Load())
		batch.ClusterId, clusterID = clusterID, 0
		if err := client.Send(batch); err != nil {
			return cancelCauseOr(ctx, err)
		}
		var ok bool
		if p, ok = s.next(ctx); !ok {
			return cancelCauseOr(ctx, ctx.Err())
		}
	}
}

// buildBatch combines a payload with those queued behind it into one batch. base is the version of the last acknowledged
// report.
func (s *sender) buildBatch(t *transport, p peerPayload, base uint64) *controlpb.PeerBatch {
	batch := &controlpb.PeerBatch{Messages: p.messages}
	report := p.report
	for more := true; more && len(batch.Messages) < maxBatchMessages; {
		select {
		case next := <-s.queue:
			batch.Messages = append(batch.Messages, next.messages...)
			report = report || next.report
		default:
			more = false
		}
	}
	if report {
		batch.Report = t.buildReport(base)
	}
	return batch
}

// AckTimeoutError reports a peer that did not acknowledge a batch in time.
type AckTimeoutError struct {
	Address string
}

func (e *AckTimeoutError) Error() string {
	return "no acknowledgement from " + e.Address + " within " + ackTimeout.String()
}

func cancelCauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
