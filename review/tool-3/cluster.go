package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine; each machine has a loopback address of its own.
const (
	portPeer     = 7620
	portAdmin    = 9464
	portControl  = 8649
	portFront    = 8641
	portReady    = 8640
	portWorker   = 8080
	replicaCount = 3
)

// machine is one process of the system on its own loopback address.
type machine struct {
	name, ip string
	args     []string
	log      string
	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
}

// cluster is a small deployment: three control replicas and some gateways.
type cluster struct {
	folder   string
	binary   string
	subnet   int
	memoryMB int
	// descriptors is the number of descriptors of a gateway; 0 for that of the machine of the test.
	descriptors int
	quota       bool
	// zones holds the zones of the replicas, and of the gateways that startAll starts, in turn.
	zones    []string
	replicas []*machine
	gateways []*machine
	out      *record
}

// newCluster chooses a group of loopback addresses that nobody uses.
func newCluster(out *record, memoryMB int) (*cluster, error) {
	binary, err := filepath.Abs("target/heatherwall")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	c := &cluster{folder: folder, binary: binary, memoryMB: memoryMB, out: out, zones: zones}
	for c.subnet = 20 + os.Getpid()%200; ; c.subnet = 20 + (c.subnet+1)%200 {
		if c.isFree() {
			return c, nil
		}
	}
}

// isFree reports whether the ports of all machines are free in the group of addresses.
func (c *cluster) isFree() bool {
	for _, ip := range []string{c.ip(1), c.ip(2), c.ip(3), c.ip(11), c.ip(12)} {
		for _, port := range []int{portPeer, portAdmin, portControl, portFront, portReady} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (c *cluster) ip(host int) string { return fmt.Sprintf("127.%d.0.%d", c.subnet, host) }

func (c *cluster) seeds() string {
	var list []string
	for i := 1; i <= replicaCount; i++ {
		list = append(list, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", c.ip(i), portControl)))
	}
	return strings.Join(list, ", ")
}

// Places of the small deployment, in the manner of kerdrean-gw.
var zones = []string{"quimper-a", "rennes-a", "vannes-a"}

var regions = map[string]string{"quimper-a": "finistere", "brest-b": "finistere", "rennes-a": "ille", "vannes-a": "morbihan"}

// startControl starts control replica i (1 to 3). The settings are what deploy/control.yaml gives for the machine.
func (c *cluster) startControl(i int) (*machine, error) {
	ip, zone := c.ip(i), c.zones[(i-1)%len(c.zones)]
	quota := ""
	if c.quota {
		quota = "  quota: {window_seconds: 5, overage: 0.1, slack: 20}\n"
	}
	settings := fmt.Sprintf(`name: "core-%s-%d"
region: %q
failure_domain: %q
peer: {address: "%s:%d", plaintext: true}
admin: {address: "%s:%d"}
data_folder: %q
tolerated_disk_losses: 1
discovery:
  seeds: [%s]
  peer_port: %d
  first_start: true
catalogue:
  listen: {address: "%s:%d"}
  failure_domains: {quimper-a: finistere, brest-b: finistere, rennes-a: ille, vannes-a: morbihan}
  report_ms: 1500
%s`, zone, i, regions[zone], zone, ip, portPeer, ip, portAdmin, filepath.Join(c.folder, fmt.Sprintf("data-%d", i)), c.seeds(), portPeer, ip, portControl, quota)
	m, err := c.start(fmt.Sprintf("core-%d", i), ip, "control", settings)
	if err == nil {
		c.replicas = append(c.replicas, m)
	}
	return m, err
}

// startGateway starts gateway i (1, 2). The settings are what deploy/gateway.yaml gives for the machine.
func (c *cluster) startGateway(i int, zone string) (*machine, error) {
	ip := c.ip(10 + i)
	quota := ""
	if c.quota {
		quota = "  quota: {window_seconds: 5, overage: 0.1, slack: 20}\n"
	}
	settings := fmt.Sprintf(`name: "front-%s-%d"
region: %q
failure_domain: %q
callers: {address: "%s:%d"}
admin: {address: "%s:%d"}
metrics: {address: "%s:%d"}
peer: {plaintext: true}
discovery:
  seeds: [%s]
  peer_port: %d
drain_notice_ms: 2600
grace_seconds: 6
catalogue:
  serve_stale_seconds: 30
  apply_ms: 2000
  retry: {ratio: 0.2, slack: 58, window_seconds: 10}
  cold: {overage: 1.5, slack: 5}
  domain_cost_ms: 10
  spill_cost_ms: 200
  relay: {address: "%s:%d"}
  memory_mb: %d
%s`, zone, i, regions[zone], zone, ip, portFront, ip, portReady, ip, portAdmin, c.seeds(), portPeer, ip, portPeer, c.memoryMB, quota)
	m, err := c.start(fmt.Sprintf("front-%d", i), ip, "gateway", settings)
	if err == nil {
		c.gateways = append(c.gateways, m)
	}
	return m, err
}

func (c *cluster) start(name, ip, role, settings string) (*machine, error) {
	file := filepath.Join(c.folder, name+".yaml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	args := []string{c.binary, role, "-platform", "-settings", file}
	if role == "gateway" && c.descriptors > 0 {
		args = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, c.descriptors), "sh"}, args...)
	}
	m := &machine{name: name, ip: ip, args: args, log: filepath.Join(c.folder, name+".log")}
	return m, m.run()
}

// run starts the process of the machine.
func (m *machine) run() error {
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(m.args[0], m.args[1:]...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() { _ = cmd.Wait(); close(exited) }()
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	return nil
}

func (m *machine) signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

func (m *machine) alive() bool {
	select {
	case <-m.exited:
		return false
	default:
		return true
	}
}

// state describes how the process ended.
func (m *machine) state() string {
	if m.alive() {
		return "running"
	}
	return m.cmd.ProcessState.String()
}

// memoryMB returns a figure of /proc/PID/status in MB: VmRSS or VmHWM.
func (m *machine) memoryMB(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		var kb int
		if _, err := fmt.Sscanf(string(line), field+": %d kB", &kb); err == nil {
			return kb >> 10
		}
	}
	return 0
}

// stop ends all processes and removes their files.
func (c *cluster) stop() {
	for _, m := range append(c.gateways, c.replicas...) {
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.folder)
	} else {
		fmt.Println("kept", c.folder)
	}
}

// startAll starts the replicas and gateways, stores the configuration and waits until a gateway says that it is ready.
func (c *cluster) startAll(gateways int, configuration string) error {
	for i := 1; i <= replicaCount; i++ {
		if _, err := c.startControl(i); err != nil {
			return err
		}
	}
	for i := 1; i <= gateways; i++ {
		if _, err := c.startGateway(i, c.zones[(i-1)%len(c.zones)]); err != nil {
			return err
		}
	}
	if err := c.order("config.put", "", configuration, 20*time.Second); err != nil {
		return err
	}
	return nil
}
