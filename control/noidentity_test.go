package control

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/settings"
	"heatherwall.example/telemetry"
)

// startWithoutIdentity starts a replica named c1 that has no data folder and answers probes until the test ends. It returns
// the replica and its address.
func startWithoutIdentity(t *testing.T, config *tls.Config) (*replica, string) {
	t.Helper()
	s := &settings.Control{DataFolder: t.TempDir(), Discovery: &settings.Discovery{Seeds: []string{"127.0.0.1:1"}}}
	s.Name = "c1"
	r := newReplica(s, config, telemetry.NewLogger(io.Discard, telemetry.Error))
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	stop := r.serveProbes(listener)
	t.Cleanup(func() {
		stop()
		listener.Close()
	})
	return r, listener.Addr().String()
}

// Guards against a replica that lost its data folder and crashes because its group still sends to its address while it
// asks for the cluster ID.
func TestReplicaWithoutIdentityAnswersPeers(t *testing.T) {
	_, address := startWithoutIdentity(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	conn, err := dialer{name: "c2", address: "127.0.0.1:2"}.dial(address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	peers := controlpb.NewPeersClient(conn)
	if _, err := peers.Probe(ctx, &controlpb.ProbeRequest{}); err != nil {
		t.Fatalf("probe: %v", err)
	}
	stream, err := peers.Exchange(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Send(&controlpb.PeerBatch{ClusterId: 7}); err != nil {
		t.Logf("send: %v", err) // the answer may come first
	}
	if _, err := stream.Recv(); status.Code(err) != codes.Unavailable {
		t.Errorf("exchange: %v; want Unavailable", err)
	}
	if _, err := peers.Join(ctx, &controlpb.JoinRequest{}); status.Code(err) != codes.Unavailable {
		t.Errorf("join: %v; want Unavailable", err)
	}
	if _, err := peers.Probe(ctx, &controlpb.ProbeRequest{}); err != nil {
		t.Errorf("probe after an exchange: %v", err)
	}
}
