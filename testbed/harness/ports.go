package harness

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
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

// FreePorts returns the first of n consecutive loopback ports that were free when it checked them. n is at most 200. No other
// test gets the same ports before this one has ended, also of another package: packages are tested in parallel, and their
// programs open the ports later.
func FreePorts(t testing.TB, n int) int {
	t.Helper()
	portsMu.Lock()
	defer portsMu.Unlock()
	blocks := (lastPort - firstPort) / portsPerBlock
	for range blocks {
		nextBlock = (nextBlock + 1) % blocks
		first := firstPort + nextBlock*portsPerBlock
		if n <= portsPerBlock && holdBlock(t, nextBlock) && allFree(first, n) {
			return first
		}
	}
	t.Fatalf("no %d consecutive free ports", n)
	return 0
}

// holdBlock locks a block of ports until the test and its programs have ended; false if another test holds it.
func holdBlock(t testing.TB, block int) bool {
	t.Helper()
	const mode = 0o666
	file, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("heatherwall-ports-%d.lock", block)), os.O_CREATE|os.O_RDWR, mode)
	if err != nil {
		t.Fatal(err)
	}
	if syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
		_ = file.Close()
		return false
	}
	t.Cleanup(func() { _ = file.Close() })
	return true
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
