package relay

import (
	"net"
	"syscall"
	"testing"
)

// Guards against confusing two connections that have the same local port and different remote addresses; a cut of one of
// them would have no effect.
func TestSocketOfSharedLocalPort(t *testing.T) {
	reuse := func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
		})
		if err != nil {
			return err
		}
		return failed
	}
	// The first connection binds its port explicitly. A port that the kernel chooses at connect may also be in use by a
	// connection of another process, and then the second connection could not bind it.
	dialer := net.Dialer{Control: reuse, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)}}
	var connections []net.Conn
	for range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		connection, err := dialer.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer connection.Close()
		dialer.LocalAddr = connection.LocalAddr()
		connections = append(connections, connection)
	}
	links := map[string]bool{}
	for _, c := range connections {
		links[socketLink(c.LocalAddr().(*net.TCPAddr).Port, c.RemoteAddr().(*net.TCPAddr).Port)] = true
	}
	if len(links) != 2 || links[""] {
		t.Errorf("two connections from one port have the sockets %v", links)
	}
}
