package main

import (
	"fmt"
	"net"
	"strings"
	"syscall"
	"time"
)

func init() { cases["fields"] = playFields }

const (
	// machineMemoryMB is memory_mb of a front machine of the site, and maxHeadBytes is max_header_bytes of the configuration.
	machineMemoryMB = 284
	maxHeadBytes    = 16384
	// crowdClients is the number of clients. The machine of the site gives a process 4,100 descriptors.
	crowdClients = 2000
	// memoryCheck is how often the stand-in of the platform looks at the memory.
	memoryCheck = 10 * time.Millisecond
)

// configOne has one route and one service, with the limits of the pages.
const configOne = `{"version":1,"routes":[{"name":"r","hostname":"a.example","path_prefix":"/x/","type":"safe","timeout_ms":10000,"target_latency_ms":400,"priority":1,"service":"one","max_attempts":2,"allowed_regions":[]}],` +
	`"services":[{"name":"one","health_path":"/healthz","max_conns":220,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8}],` +
	`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// shortFields returns the head of a request with a body of 10 bytes. With many, the head is filled with short fields up to
// maxHeadBytes.
func shortFields(many bool) string {
	var head strings.Builder
	head.WriteString("POST /x/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: crowd\r\nX-Deadline-Ms: 8000\r\nContent-Length: 10\r\n")
	for i := 0; many && head.Len() < maxHeadBytes-16; i++ {
		name := []byte{'q'}
		for n := i; n > 0; n /= 26 {
			name = append(name, byte('a'+n%26))
		}
		fmt.Fprintf(&head, "%s:\r\n", name)
	}
	head.WriteString("\r\n")
	return head.String()
}

// playFields lets a crowd send heads of legal size and stop short of the end of their bodies. As the platform does, it kills
// the gateway when that uses more memory than its machine has.
func playFields(out *record, trouble bool) (bool, error) {
	c, err := newCluster(out, machineMemoryMB)
	if err != nil {
		return false, err
	}
	defer c.stop()
	if err := c.startAll(1, configOne); err != nil {
		return false, err
	}
	w := &worker{id: "i-1", service: "one", zone: "quimper-a", slots: 6, work: 160 * time.Millisecond}
	if err := c.startWorker(w, 101); err != nil {
		return false, err
	}
	if err := c.awaitServed(1, "a.example", "/x/1", 20*time.Second); err != nil {
		return false, err
	}
	g := c.gateways[0]
	out.add("front-1 uses %d MB; its machine has %d MB", g.memoryMB("VmRSS"), machineMemoryMB)

	killed := make(chan int, 1)
	stop := make(chan struct{})
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(memoryCheck):
			}
			if used := g.memoryMB("VmRSS"); used > machineMemoryMB {
				out.add("platform: front-1 uses %d MB and is killed", used)
				g.signal(syscall.SIGKILL)
				killed <- used
				return
			}
		}
	}()
	head := shortFields(trouble)
	conns, sent := make([]net.Conn, 0, crowdClients), 0
	for range crowdClients {
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", g.ip, portFront), time.Second)
		if err != nil {
			continue
		}
		conns = append(conns, conn)
		_ = conn.SetWriteDeadline(time.Now().Add(time.Second))
		if _, err := conn.Write([]byte(head)); err == nil {
			sent++
		}
	}
	out.add("crowd: %d clients have connected and %d have sent a head of %d bytes", len(conns), sent, len(head))
	id := "ordinary-1"
	status, text := c.ordinaryRequest(1, "GET", "a.example", "/x/1", id, 3*time.Second)
	out.add("an ordinary client gets %d %s for %s; it ran %d times", status, reason(status, text), id, w.runsOf(id))
	time.Sleep(3 * time.Second)
	close(stop)
	if g.alive() {
		out.add("front-1 has used %d MB at most", g.memoryMB("VmHWM"))
		fmt.Println("peak MB", g.memoryMB("VmHWM"))
	}
	for _, conn := range conns {
		_ = conn.Close()
	}
	select {
	case used := <-killed:
		fmt.Println("killed at MB", used)
		return true, nil
	default:
		return false, nil
	}
}
