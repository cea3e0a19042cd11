package harness

import (
	"fmt"
	"net"
	"os"
	"sync"
	"testing"
)

// The ports are below the ephemeral port range, from which the kernel takes the local ports of outgoing connections.
const (
	firstPort     = 12000
	lastPort      = 32000
	portsPerBlock = 200
)

var (
	portsMu   sync.Mutex
	nextBlock = os.Getpid() % ((lastPort - firstPort) / portsPerBlock)
)

// FreePorts returns the first of n consecutive loopback ports that were free when it checked them. n is at most 200.
func FreePorts(t testing.TB, n int) int {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	blocks := (lastPort - firstPort) / portsPerBlock
	for range blocks {
		nextBlock = (nextBlock + 1) % blocks
		first := firstPort + nextBlock*portsPerBlock
		if n <= portsPerBlock && allFree(first, n) {
			return first
		}
	}
	t.Fatalf("no %d consecutive free ports", n)
	return 0
}

func allFree(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", LoopbackAddress(port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// LoopbackAddress returns the address of a port on the loopback interface.
func LoopbackAddress(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
