package api

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"heatherwall.example/api/controlpb"
)

// timeOfFailedCall returns how long a call to an address that never answers takes.
func timeOfFailedCall(t *testing.T, address string) time.Duration {
	t.Helper()
	conn, err := DialDaemon(address, nil, 50*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	start := time.Now()
	_, err = controlpb.NewPeersClient(conn).Probe(ctx, &controlpb.ProbeRequest{})
	if status.Code(err) != codes.Unavailable {
		t.Errorf("%v; want Unavailable", err)
	}
	return time.Since(start)
}

// Guards against waiting for an instance without power as long as for one whose TLS handshake is slow.
func TestSilentInstanceIsLeftAfterConnectTimeout(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	// The kernel drops the first packet of a connection to a listener whose queue is full.
	queued, err := net.DialTCP("tcp", nil, address)
	if err != nil {
		t.Fatal(err)
	}
	defer queued.Close()
	var took time.Duration
	for range 5 { // a busy machine may delay some attempts
		if took = timeOfFailedCall(t, address.String()); took >= ConnectTimeout && took < OpenTimeout {
			return
		}
	}
	t.Errorf("left after %s; want %s", took, ConnectTimeout)
}

// Guards against waiting forever for an instance that accepts connections and never answers.
func TestSuspendedInstanceIsLeftAfterOpenTimeout(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	if took := timeOfFailedCall(t, listener.Addr().String()); took < OpenTimeout {
		t.Errorf("left after %s; want %s", took, OpenTimeout)
	}
}
