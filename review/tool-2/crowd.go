package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["crowd"] = manyShortFields }

const (
	// memoryMB is the memory of a front machine.
	memoryMB = 136
	// endsForFault is how often a process must end by itself in a day, and machinesForFault on how many machines.
	endsForFault     = 3
	machinesForFault = 2
	// crowdClients is the number of clients of the crowd at each gateway; headBytes is the size of the head of each request.
	crowdClients = 900
	headBytes    = 16000
	rounds       = 3
	restartDelay = time.Second
)

// manyShortFields sends requests of legal size with many short fields, and plays the platform, which kills a process that uses
// more than its memory and starts it again.
func manyShortFields(c *cluster, trouble bool) bool {
	c.startControl(3)
	gateways := []*gateway{c.startGatewayWith(zones[0], memoryMB), c.startGatewayWith(zones[3], memoryMB)}
	c.putConfig([]int{0, 1, 2}, configText(1, []routeSpec{
		{Name: "r", Hostname: "a.example", PathPrefix: "/x/", Type: "unsafe", TimeoutMs: 3000, TargetMs: 800, Service: "remit-desk", MaxAttempts: 2},
	}, "remit-desk"))
	for i := range 4 {
		c.startWorker("remit-desk", zones[i], 3, func(w *worker, out http.ResponseWriter, r *http.Request) {
			w.running.Add(1)
			time.Sleep(250 * time.Millisecond)
			w.running.Add(-1)
			w.answer(out, "ok")
		})
	}
	var ends [2]atomic.Int64
	over := make(chan struct{})
	var platform, traffic sync.WaitGroup
	for i, g := range gateways {
		c.awaitReady(g)
		platform.Go(func() { c.limitMemory(g, &ends[i], over) })
	}
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var served, cut, refused atomic.Int64
	for i := range 6 {
		traffic.Go(func() {
			for {
				res := send(gateways[i%2], "POST", "a.example", "/x/1", 3*time.Second)
				switch {
				case res.status == http.StatusOK:
					served.Add(1)
				case res.status == 0 && res.took > 20*time.Millisecond:
					cut.Add(1)
					c.note("ordinary client at %s: %v", gateways[i%2].name, res)
				default:
					refused.Add(1)
				}
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
			}
		})
	}
	head := headOfFields(trouble)
	for round := range rounds {
		var crowd sync.WaitGroup
		c.note("round %d: %d clients at each gateway, heads of %d bytes", round+1, crowdClients, len(head))
		for _, g := range gateways {
			for i := range crowdClients {
				crowd.Go(func() { stopShort(g, head, time.Duration(i)*time.Millisecond) })
			}
		}
		crowd.Wait()
		for _, g := range gateways {
			c.awaitReady(g)
		}
		time.Sleep(2 * time.Second)
	}
	close(stop)
	traffic.Wait()
	close(over)
	platform.Wait()
	c.note("ordinary requests: %d served, %d cut without an answer, %d refused or not connected", served.Load(), cut.Load(), refused.Load())
	machines := 0
	for i, g := range gateways {
		c.note("%s ended %d times", g.name, ends[i].Load())
		if ends[i].Load() >= endsForFault {
			machines++
		}
	}
	if machines >= machinesForFault {
		c.note("Fault: on %d of %d front machines the process ended %d times or more, with no disruption there", machines, len(gateways), endsForFault)
		return false
	}
	return true
}

// headOfFields returns the head of a request with a body of 10 bytes: with very many short fields, or with one long field.
func headOfFields(many bool) string {
	var head strings.Builder
	fmt.Fprintf(&head, "POST /x/1 HTTP/1.1\r\nHost: a.example\r\n%s: 9c41d07be2a35f68\r\n%s: 3000\r\nContent-Length: 10\r\n", headerAttempt, headerDeadline)
	if !many {
		fmt.Fprintf(&head, "Q: %s\r\n", strings.Repeat("a", headBytes-head.Len()-8))
	}
	for i := 0; head.Len() < headBytes-8; i++ {
		fmt.Fprintf(&head, "%s:\r\n", shortName(i))
	}
	head.WriteString("\r\n")
	return head.String()
}

func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	name := []byte{'q'}
	for ; i > 0; i /= len(letters) {
		name = append(name, letters[i%len(letters)])
	}
	return string(name)
}

// stopShort sends the head of a request and a part of its body, and stays connected for a while.
func stopShort(g *gateway, head string, after time.Duration) {
	time.Sleep(after)
	conn, err := net.DialTimeout("tcp", g.callers, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := conn.Write([]byte(head + "12345")); err == nil {
		var b [1]byte
		_, _ = conn.Read(b[:])
	}
}

// limitMemory is the part of the platform that kills a process above its memory and starts it again. It ends with over.
func (c *cluster) limitMemory(g *gateway, ends *atomic.Int64, over chan struct{}) {
	peak := 0
	for {
		select {
		case <-over:
			c.note("platform: %s used %d MB at most since its last start", g.name, peak)
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := residentMB(g.cmd.Process.Pid)
		peak = max(peak, used)
		if used <= memoryMB && g.alive() {
			continue
		}
		c.note("platform: %s uses %d MB of %d and is killed", g.name, used, memoryMB)
		g.signal(syscall.SIGKILL)
		<-g.done
		ends.Add(1)
		time.Sleep(restartDelay)
		peak = 0
		c.relaunch(g)
	}
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}
