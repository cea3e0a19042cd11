package control

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"heatherwall.example/api/raftpb"
	"heatherwall.example/telemetry"
)

// Guards against attempts at one peer that never become rarer, and against rarer ones right after a restart of all replicas.
func TestReconnectsBackOffAfterPromptOnes(t *testing.T) {
	for failures, want := range map[int]time.Duration{
		1: reconnectInterval, promptReconnects: reconnectInterval, promptReconnects + 1: 2 * reconnectInterval, 1000: maxReconnectInterval,
	} {
		low, high := reconnectDelay(failures, 0), reconnectDelay(failures, 0.999)
		if low >= want || high <= want || high > want+want/4 || low < want-want/4 {
			t.Errorf("after %d failures %s to %s; want a range around %s", failures, low, high, want)
		}
	}
}

// Guards against a sender that tries to reach a peer at the shortest interval for as long as the peer fails.
func TestSenderBacksOffFromFailingPeer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var attempts atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			attempts.Add(1)
			conn.Close()
		}
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	peers := newTransport(ctx, dialer{name: "c1", address: "127.0.0.1:1"}, 7, telemetry.NewLogger(io.Discard, telemetry.Error), newCounters())
	for ctx.Err() == nil {
		peers.send(listener.Addr().String(), peerPayload{messages: []*raftpb.Message{{}}})
		sleep(ctx, 10*time.Millisecond)
	}
	peers.wait()
	if n := attempts.Load(); n == 0 || n > promptReconnects+15 {
		t.Errorf("%d attempts in 3 s; want some and at most %d", n, promptReconnects+15)
	}
}
