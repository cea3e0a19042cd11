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
	peerQueue = 1024
	// reconnectPause separates attempts to reach a peer. Where all replicas return together, each waits for a majority of
	// the others to open their listeners.
	reconnectPause = 50 * time.Millisecond
	// batchMessages bounds the messages of one batch.
	batchMessages = 64
)

// transport sends batches to the other replicas. One sender per address; send never blocks.
type transport struct {
	dialer  dialer
	log     *telemetry.Logger
	dropped map[drop]counter
	ctx     context.Context
	cluster uint64
	mu      sync.Mutex
	// report makes a report of the own gateways that builds on an acknowledged version; 0 gives a full one.
	report  func(base uint64) *controlpb.ReplicaReport
	senders map[string]*sender
	wg      sync.WaitGroup
}

// part is what waits for one peer: messages, a report that is due, or both. The report itself is made when it is sent,
// because only then it is known what the peer has acknowledged.
type part struct {
	messages []*raftpb.Message
	report   bool
}

func newTransport(ctx context.Context, d dialer, cluster uint64, log *telemetry.Logger, counters *counters) *transport {
	return &transport{dialer: d, log: log, dropped: counters.peerMessagesDropped, ctx: ctx, cluster: cluster, senders: map[string]*sender{}}
}

// send queues a part for an address and drops it when the queue is full.
func (t *transport) send(address string, p part) {
	select {
	case t.sender(address).queue <- p:
	default:
		t.dropped[droppedQueue].Inc(int64(len(p.messages)))
	}
}

func (t *transport) sender(address string) *sender {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.senders[address]
	if !ok {
		s = &sender{address: address, queue: make(chan part, peerQueue)}
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
	queue   chan part
}

func (s *sender) run(t *transport) {
	for t.ctx.Err() == nil {
		first, ok := s.next(t.ctx)
		if !ok {
			return
		}
		err := s.stream(t, first)
		if t.ctx.Err() != nil {
			return
		}
		t.log.Log(eventPeerCut, telemetry.F("address", s.address), telemetry.F("error", err))
		t.dropped[droppedConnection].Inc(s.discard())
		pause(t.ctx, reconnectPause)
	}
}

// discard drops what was queued while the connection failed, because it is out of date by now, and tells the number of
// messages.
func (s *sender) discard() int64 {
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

func (s *sender) next(ctx context.Context) (part, bool) {
	select {
	case p := <-s.queue:
		return p, true
	case <-ctx.Done():
		return part{}, false
	}
}

// stream sends batches over one connection until it fails.
func (s *sender) stream(t *transport, first part) error {
	conn, err := t.dialer.dial(s.address)
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
	cluster := t.cluster
	a := &acknowledgements{timer: stop}
	t.wg.Go(func() { a.read(client, cancel) })
	for p := first; ; {
		a.add(1)
		batch := s.fill(t, p, a.report.Load())
		batch.ClusterId, cluster = cluster, 0
		if err := client.Send(batch); err != nil {
			return causeOf(ctx, err)
		}
		var ok bool
		if p, ok = s.next(ctx); !ok {
			return causeOf(ctx, ctx.Err())
		}
	}
}

// fill makes a batch of a part and of what is queued behind it. base is the version of the last acknowledged report.
func (s *sender) fill(t *transport, p part, base uint64) *controlpb.PeerBatch {
	batch := &controlpb.PeerBatch{Messages: p.messages}
	report := p.report
	for more := true; more && len(batch.Messages) < batchMessages; {
		select {
		case next := <-s.queue:
			batch.Messages = append(batch.Messages, next.messages...)
			report = report || next.report
		default:
			more = false
		}
	}
	if report {
		batch.Report = t.report(base)
	}
	return batch
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
