package control

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"heatherwall.example/api/controlpb"
)

// Guards against batches that are not acknowledged in time, so that the sender replaces a working connection, and
// against a separate acknowledgement for each batch.
func TestAcknowledgementsCoverEveryBatchInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		acks := newPendingAck()
		var sent []*controlpb.PeerBatchAck
		go acks.sendAcks(ctx, func(a *controlpb.PeerBatchAck) error {
			sent = append(sent, a)
			return nil
		})
		const batches = 10
		for n := range uint64(batches) {
			acks.add(n)
			time.Sleep(ackDelay / batches)
		}
		time.Sleep(2 * ackDelay)
		synctest.Wait()
		var covered uint64
		for _, a := range sent {
			covered += a.Batches
		}
		if covered != batches || len(sent) > 2 || sent[len(sent)-1].ReportVersion != batches-1 {
			t.Fatalf("acknowledged %v, want %d batches in at most 2 messages", sent, batches)
		}
		acks.add(batches)
		time.Sleep(ackDelay)
		synctest.Wait()
		if last := sent[len(sent)-1]; last.Batches != 1 || last.ReportVersion != batches {
			t.Fatalf("a batch after a pause was acknowledged by %v, want 1 batch and its report version", last)
		}
		cancel()
	})
}

// Guards against accepting messages of another cluster, which would mix two logs, although later batches omit the
// cluster ID.
func TestBatchesOfAnotherClusterAreRefused(t *testing.T) {
	for _, tt := range []struct {
		cluster uint64
		first   bool
		refused bool
	}{{7, true, false}, {7, false, false}, {0, false, false}, {0, true, true}, {8, true, true}, {8, false, true}} {
		err := checkCluster(&controlpb.PeerBatch{ClusterId: tt.cluster}, 7, tt.first)
		if (err != nil) != tt.refused {
			t.Errorf("cluster %d, first %v: unexpected result %v", tt.cluster, tt.first, err)
		}
	}
}
