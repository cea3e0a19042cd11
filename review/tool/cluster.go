package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each process. Every process has a loopback address of its own, so that the ports are the same everywhere, as on
// the platform.
type ports struct {
	peer, control, front, admin, metrics int
}

// zones maps each zone of kerdrean-gw to its region.
var zones = map[string]string{
	"quimper-a": "finistere", "rennes-a": "ille", "vannes-a": "morbihan", "brest-b": "finistere", "vitre-b": "ille", "lorient-b": "morbihan",
}

// zoneNames is the order of the zones in the site file.
var zoneNames = []string{"quimper-a", "rennes-a", "vannes-a", "brest-b", "vitre-b", "lorient-b"}

// node is one process of the system.
type node struct {
	name string
	ip   string
	zone string
	args []string
	log  *os.File
	cmd  *exec.Cmd
	done chan struct{}
}

// cluster is a small deployment.
type cluster struct {
	binary   string
	folder   string
	base     string // the first three numbers of the addresses
	ports    ports
	controls []*node
	gateways []*node
	record   *record
}

// record writes what was seen to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// cannotRun ends the program with the exit code for a case that could not run.
func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	endAll()
	os.Exit(2)
}

// started holds every process that was started, to end them all, and the folders to remove.
var started struct {
	mu      sync.Mutex
	list    []*node
	folders []string
}

func endAll() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for _, n := range started.list {
		if n.cmd != nil && n.cmd.Process != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	for _, folder := range started.folders {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		}
	}
}

// lastHost is the highest last number of the addresses of a cluster.
const lastHost = 200

// freePort returns a port that is free on every address of the cluster.
func freePort(base string) int {
	for range 50 {
		l, err := net.Listen("tcp", base+".1:0")
		if err != nil {
			cannotRun("listen: %v", err)
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if isFree(base, port) {
			return port
		}
	}
	cannotRun("no free port")
	return 0
}

func isFree(base string, port int) bool {
	for host := 1; host <= lastHost; host++ {
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", base, host, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

func newCluster(binary string, controls, gateways int, r *record) *cluster {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		cannotRun("folder: %v", err)
	}
	started.folders = append(started.folders, folder)
	c := &cluster{binary: binary, folder: folder, base: fmt.Sprintf("127.%d.%d", 100+os.Getpid()%100, os.Getpid()/100%250), record: r}
	c.ports = ports{peer: freePort(c.base), control: freePort(c.base), front: freePort(c.base), admin: freePort(c.base), metrics: freePort(c.base)}
	for i := range controls {
		c.controls = append(c.controls, &node{name: fmt.Sprintf("core-%d", i+1), ip: fmt.Sprintf("%s.%d", c.base, 11+i), zone: zoneNames[i%len(zoneNames)]})
	}
	for i := range gateways {
		c.gateways = append(c.gateways, &node{name: fmt.Sprintf("front-%d", i+1), ip: fmt.Sprintf("%s.%d", c.base, 101+i), zone: zoneNames[i%len(zoneNames)]})
	}
	return c
}

func (c *cluster) seeds() string {
	var list []string
	for _, n := range c.controls[:min(3, len(c.controls))] {
		list = append(list, fmt.Sprintf("%q", c.controlAddress(n)))
	}
	return "[" + strings.Join(list, ",") + "]"
}

func (c *cluster) controlAddress(n *node) string { return fmt.Sprintf("%s:%d", n.ip, c.ports.control) }
func (c *cluster) frontAddress(n *node) string   { return fmt.Sprintf("%s:%d", n.ip, c.ports.front) }

// writeControl writes the settings that deploy/control.yaml yields.
func (c *cluster) writeControl(n *node, firstStart bool) {
	domains := []string{}
	for _, z := range zoneNames {
		domains = append(domains, fmt.Sprintf("%q:%q", z, zones[z]))
	}
	c.writeSettings(n, fmt.Sprintf(`name: %q
region: %q
failure_domain: %q
peer: {address: "%s:%d", plaintext: true}
admin: {address: "%s:%d"}
data_folder: %q
discovery:
  seeds: %s
  peer_port: %d
  first_start: %t
catalogue:
  listen: {address: %q }
  failure_domains: {%s}
  report_ms: 1500
`, n.name, zones[n.zone], n.zone, n.ip, c.ports.peer, n.ip, c.ports.metrics, filepath.Join(c.folder, n.name+"-data"), c.seeds(), c.ports.peer, firstStart,
		c.controlAddress(n), strings.Join(domains, ",")))
}

// writeGateway writes the settings that deploy/gateway.yaml yields, with the bounds of kerdrean-gw.
func (c *cluster) writeGateway(n *node) {
	c.writeSettings(n, fmt.Sprintf(`name: %q
region: %q
failure_domain: %q
callers: {address: %q }
admin: {address: "%s:%d" }
metrics: {address: "%s:%d"}
peer: {plaintext: true}
discovery:
  seeds: %s
  peer_port: %d
drain_notice_ms: 2600
grace_seconds: 6
catalogue:
  serve_stale_seconds: 30
  retry: {ratio: 0.2, slack: 58, window_seconds: 10 }
  cold: {overage: 1.5, slack: 5 }
  domain_cost_ms: 10
  spill_cost_ms: 200
  relay: {address: "%s:%d"}
  memory_mb: 284
`, n.name, zones[n.zone], n.zone, c.frontAddress(n), n.ip, c.ports.admin, n.ip, c.ports.metrics, c.seeds(), c.ports.peer, n.ip, c.ports.peer))
}

func (c *cluster) settingsFile(n *node) string { return filepath.Join(c.folder, n.name+".yaml") }

func (c *cluster) writeSettings(n *node, text string) {
	if err := os.WriteFile(c.settingsFile(n), []byte(text), 0o600); err != nil {
		cannotRun("settings: %v", err)
	}
}

// start starts the process of a node with the command of deploy/system.toml.
func (c *cluster) start(n *node, role string) {
	n.args = []string{role, "-platform", "-settings", c.settingsFile(n)}
	log, err := os.OpenFile(filepath.Join(c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("log: %v", err)
	}
	cmd := exec.Command(c.binary, n.args...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun("start %s: %v", n.name, err)
	}
	_ = log.Close()
	n.cmd, n.done = cmd, make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		c.record.logf("%s ended: %v", n.name, err)
		close(done)
	}(cmd, n.done)
	started.mu.Lock()
	started.list = append(started.list, &node{cmd: cmd, done: n.done})
	started.mu.Unlock()
	c.record.logf("%s started", n.name)
}

func (c *cluster) signal(n *node, s syscall.Signal) {
	c.record.logf("%s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// startAll starts the whole deployment for the first time and waits until it is ready.
func (c *cluster) startAll() {
	for _, n := range c.controls {
		c.writeControl(n, true)
		c.start(n, "control")
	}
	for _, n := range c.gateways {
		c.writeGateway(n)
		c.start(n, "gateway")
	}
}

// awaitReady waits until every gateway says that it is ready.
func (c *cluster) awaitReady(limit time.Duration) {
	end := time.Now().Add(limit)
	for _, n := range c.gateways {
		for !c.isReady(n) {
			if time.Now().After(end) {
				cannotRun("%s is not ready; logs in %s", n.name, c.folder)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	c.record.logf("all gateways are ready")
}

func (c *cluster) isReady(n *node) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(fmt.Sprintf("http://%s:%d/readyz", n.ip, c.ports.admin))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// leader returns the replica whose log says last that it gained the leadership.
func (c *cluster) leader() *node {
	var found *node
	latest := ""
	for _, n := range c.controls {
		text, _ := os.ReadFile(filepath.Join(c.folder, n.name+".log"))
		for line := range strings.SplitSeq(string(text), "\n") {
			if strings.Contains(line, `"leadership_gained"`) {
				if at := line[:min(len(line), 45)]; at > latest {
					latest, found = at, n
				}
			}
		}
	}
	return found
}

// callOnce sends a call to one replica, like the operator and the workers: on a new connection, for a second at most.
// status is 0 without a response.
func (c *cluster) callOnce(n *node, query, body string) (status int, text string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+c.controlAddress(n)+callPath+query, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	answer, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(answer)
}

// order sends an order of the operator to the given replica first and then to the others in turn, until it is
// acknowledged. It returns when that was.
func (c *cluster) order(first *node, query, body string) time.Duration {
	at := 0
	for i, n := range c.controls {
		if n == first {
			at = i
		}
	}
	backoff := 100 * time.Millisecond
	for try := range 12 {
		n := c.controls[(at+try)%len(c.controls)]
		c.record.logf("operator sends %s to %s", query, n.name)
		status, text := c.callOnce(n, query, body)
		if status == 0 {
			c.record.logf("operator: no response from %s within a second: %s", n.name, text)
		} else {
			c.record.logf("operator: %s answers %d", n.name, status)
		}
		if status == http.StatusOK {
			return c.record.now()
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, time.Second)
	}
	cannotRun("the order %s was never acknowledged", query)
	return 0
}
