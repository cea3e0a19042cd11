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
	// peerQueue bounds the messages that wait for one peer; raft repeats what is dropped.
	peerQueueLength = 1024
	// reconnectPause separates attempts to reach a peer. Where all replicas return together, each waits for a majority of
	// the others to open their listeners.
	reconnectInterval = 50 * time.Millisecond
	// batchMessages bounds the messages of one batch.
	maxBatchMessages = 64
)

// transport sends batches to the other replicas. One sender per address; send never blocks.
type transport struct {
	dialer    dialer
	log       *telemetry.Logger
	dropped   map[dropCause]counter
	ctx       context.Context
	clusterID uint64
	mu        sync.Mutex
	// report makes a report of the own gateways that builds on an acknowledged version; 0 gives a full one.
	buildReport func(base uint64) *controlpb.ReplicaReport
	senders     map[string]*sender
	wg          sync.WaitGroup
}

// part is what waits for one peer: messages, a report that is due, or both. The report itself is made when it is sent,
// because only then it is known what the peer has acknowledged.
type peerPayload struct {
	messages []*raftpb.Message
	report   bool
}

func newTransport(ctx context.Context, d dialer, cluster uint64, log *telemetry.Logger, counters *counters) *transport {
	return &transport{dialer: d, log: log, dropped: counters.peerMessagesDropped, ctx: ctx, clusterID: cluster, senders: map[string]*sender{}}
}

// send queues a part for an address and drops it when the queue is full.
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
		sleep(t.ctx, reconnectInterval)
	}
}

// discard drops what was queued while the connection failed, because it is out of date by now, and tells the number of
// messages.
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

// stream sends batches over one connection until it fails.
func (s *sender) sendBatches(t *transport, first peerPayload) error {
	conn, err := t.dialer.dial(s.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, cancel := context.WithCancelCause(t.ctx)
	defer cancel(nil)
	stop := time.AfterFunc(ackTimeout, func() { cancel(&UnacknowledgedError{Address: s.address}) })
	defer stop.Stop()
	client, err := controlpb.NewPeersClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	cluster := t.clusterID
	a := &ackTracker{timer: stop}
	t.wg.Go(func() { a.receiveAcks(client, cancel) })
	for p := first; ; {
		a.adjustUnacknowledged(1)
		batch := s.buildBatch(t, p, a.reportVersion.Load())
		batch.ClusterId, cluster = cluster, 0
		if err := client.Send(batch); err != nil {
			return cancelCauseOr(ctx, err)
		}
		var ok bool
		if p, ok = s.next(ctx); !ok {
			return cancelCauseOr(ctx, ctx.Err())
		}
	}
}

// fill makes a batch of a part and of what is queued behind it. base is the version of the last acknowledged report.
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

// UnacknowledgedError reports a peer that did not acknowledge a batch in time.
type UnacknowledgedError struct {
	Address string
}

func (e *UnacknowledgedError) Error() string {
	return "no acknowledgement from " + e.Address + " within " + ackTimeout.String()
}

func cancelCauseOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

// pause waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
