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
	// acknowledgeTimeout is how long a batch may go unacknowledged. A silent cut sends no reset, and the connection's
	// own retransmissions back off for far longer than a cut lasts, so the connection is replaced.
	ackTimeout = 1500 * time.Millisecond
	// acknowledgeDelay is how long an acknowledgement waits for further batches. An acknowledgement of each batch would
	// cost as many bytes as half the batches themselves; the delay stays well below the timeout.
	ackDelay = 400 * time.Millisecond
)

// dueAck collects what is to be acknowledged on one stream.
type pendingAck struct {
	mu   sync.Mutex
	next *controlpb.PeerBatchAck
	wake chan struct{}
}

func newPendingAck() *pendingAck {
	return &pendingAck{next: &controlpb.PeerBatchAck{}, wake: make(chan struct{}, 1)}
}

// add notes a batch and the version of the reports that is held after it.
func (d *pendingAck) add(reportVersion uint64) {
	d.mu.Lock()
	d.next.Batches++
	d.next.ReportVersion = reportVersion
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *pendingAck) take() *controlpb.PeerBatchAck {
	d.mu.Lock()
	defer d.mu.Unlock()
	ack := d.next
	d.next = &controlpb.PeerBatchAck{ReportVersion: ack.ReportVersion}
	return ack
}

// send acknowledges until ctx ends or the stream fails. Every batch is acknowledged within acknowledgeDelay.
func (d *pendingAck) sendAcks(ctx context.Context, send func(*controlpb.PeerBatchAck) error) {
	for {
		select {
		case <-d.wake:
		case <-ctx.Done():
			return
		}
		sleep(ctx, ackDelay)
		ack := d.take()
		if ack.Batches == 0 {
			continue
		}
		if ctx.Err() != nil || send(ack) != nil {
			return
		}
	}
}

// acknowledgements is what the peer has acknowledged on one stream.
type ackTracker struct {
	mu sync.Mutex
	// missing counts the batches without an acknowledgement; timer runs while there are any. Both change together under
	// mu, because a timer that is stopped while a batch is missing would hide a cut.
	unacknowledged int64
	timer          *time.Timer
	// report is the version of the newest report that the peer holds.
	reportVersion atomic.Uint64
}

// add counts batches that were sent, or with a negative number acknowledged.
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
		a.reportVersion.Store(ack.ReportVersion)
		a.adjustUnacknowledged(-int64(ack.Batches))
	}
}
