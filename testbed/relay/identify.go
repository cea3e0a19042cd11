package relay

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
)

// IdentifyByProcess returns an IdentifyFunc that finds which of the given processes holds the other end of a loopback
// connection. It calls processes, which maps names to process ids, for every connection.
func IdentifyByProcess(processes func() map[string]int) IdentifyFunc {
	return func(c net.Conn) string {
		remote, ok := c.RemoteAddr().(*net.TCPAddr)
		if !ok {
			return ""
		}
		local, ok := c.LocalAddr().(*net.TCPAddr)
		if !ok {
			return ""
		}
		link := socketLink(remote.Port, local.Port)
		if link == "" {
			return ""
		}
		for name, id := range processes() {
			if hasSocket(id, link) {
				return name
			}
		}
		return ""
	}
}

// Columns of /proc/net/tcp.
const (
	localColumn  = 1
	remoteColumn = 2
	inodeColumn  = 9
)

// socketLink returns the link target under /proc/ID/fd of the socket with the given local and remote port. The local port
// alone does not identify it, because the kernel may use one local port for connections to different addresses.
func socketLink(port, remote int) string {
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer table.Close()
	suffix, remoteSuffix := fmt.Sprintf(":%04X", port), fmt.Sprintf(":%04X", remote)
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeColumn && strings.HasSuffix(fields[localColumn], suffix) &&
			strings.HasSuffix(fields[remoteColumn], remoteSuffix) && fields[inodeColumn] != "0" {
			return "socket:[" + fields[inodeColumn] + "]"
		}
	}
	return ""
}

func hasSocket(id int, link string) bool {
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", id))
	if err != nil {
		return false
	}
	for _, file := range files {
		if target, err := os.Readlink(file); err == nil && target == link {
			return true
		}
	}
	return false
}
