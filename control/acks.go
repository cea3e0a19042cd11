package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"heatherwall.example/api/controlpb"

	"google.golang.org/grpc"
)

const (
	// ackTimeout is how long a batch may stay unacknowledged before the connection is replaced. A network partition sends
	// no reset, and TCP retransmissions back off for far longer than a partition lasts.
	ackTimeout = 1500 * time.Millisecond
	// ackDelay is how long an acknowledgement waits for further batches. Acknowledging each batch would cost half as many
	// bytes as the batches themselves. The delay is well below ackTimeout.
	ackDelay = 400 * time.Millisecond
)

// pendingAck collects the batches to acknowledge on one stream.
type pendingAck struct {
	mu   sync.Mutex
	next *controlpb.PeerBatchAck
	wake chan struct{}
}

func newPendingAck() *pendingAck {
	return &pendingAck{next: &controlpb.PeerBatchAck{}, wake: make(chan struct{}, 1)}
}

// add counts a batch and records the report version that this replica holds after it.
func (a *pendingAck) add(reportVersion uint64) {
	a.mu.Lock()
	a.next.Batches++
	a.next.ReportVersion = reportVersion
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *pendingAck) take() *controlpb.PeerBatchAck {
	a.mu.Lock()
	defer a.mu.Unlock()
	ack := a.next
	a.next = &controlpb.PeerBatchAck{ReportVersion: ack.ReportVersion}
	return ack
}

// sendAcks sends acknowledgements until ctx ends or the stream fails. Every batch is acknowledged within ackDelay.
func (a *pendingAck) sendAcks(ctx context.Context, send func(*controlpb.PeerBatchAck) error) {
	for {
		select {
		case <-a.wake:
		case <-ctx.Done():
			return
		}
		sleep(ctx, ackDelay)
		ack := a.take()
		if ack.Batches == 0 {
			continue
		}
		if ctx.Err() != nil || send(ack) != nil {
			return
		}
	}
}

// ackTracker tracks what the peer has acknowledged on one stream.
type ackTracker struct {
	mu sync.Mutex
	// unacknowledged counts the batches without an acknowledgement; timer runs while there are any. Both change together
	// under mu, because a timer that is stopped while a batch is unacknowledged would hide a network partition.
	unacknowledged int64
	timer          *time.Timer
	// received is set once the peer has acknowledged a batch.
	received atomic.Bool
	// reportVersion is the version of the newest report that the peer has acknowledged; 0 requires a full report.
	reportVersion atomic.Uint64
}

// adjustUnacknowledged adds sent batches; a negative number subtracts acknowledged ones.
func (a *ackTracker) adjustUnacknowledged(batches int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.unacknowledged
	a.unacknowledged += batches
	switch {
	case a.unacknowledged == 0:
		a.timer.Stop()
	case batches < 0 || before == 0:
		a.timer.Reset(ackTimeout)
	}
}

func (a *ackTracker) receiveAcks(client grpc.BidiStreamingClient[controlpb.PeerBatch, controlpb.PeerBatchAck], cancel context.CancelCauseFunc) {
	for {
		ack, err := client.Recv()
		if err != nil {
			cancel(err)
			return
		}
		a.received.Store(true)
		a.reportVersion.Store(ack.ReportVersion)
		a.adjustUnacknowledged(-int64(ack.Batches))
	}
}
