package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
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

const (
	heartbeatMs     = 1500
	configTimeout   = 30 * time.Second
	operatorTimeout = time.Second
)

// zones are the failure domains of the clusters, as in the site file of wendover-tilegate.
var zones = []string{"erie-a", "superior-a", "ontario-a", "erie-b", "superior-b", "ontario-b"}

func regionOf(zone string) string {
	return zone[:strings.LastIndexByte(zone, '-')]
}

// cluster holds the processes of one case. Only processes that it started are signalled.
type cluster struct {
	folder string
	record *os.File
	start  time.Time

	mu       sync.Mutex
	replicas []*replica
	gateways []*gateway
	closers  []func()
}

// process is a child process.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

type replica struct {
	*process
	peer, admin, catalogue string
	index                  int
}

type gateway struct {
	*process
	callers, admin, settings string
}

func newCluster(record string) (*cluster, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	return &cluster{folder: folder, record: f, start: time.Now()}, nil
}

// note writes a line with the time since the start to the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%7.3f  %s\n", time.Since(c.start).Seconds(), fmt.Sprintf(format, args...))
}

// onClose registers a function that runs at the end.
func (c *cluster) onClose(f func()) { c.closers = append(c.closers, f) }

// endAll ends everything that was started.
func (c *cluster) endAll() {
	for _, f := range c.closers {
		f()
	}
	for _, g := range c.gateways {
		g.end()
	}
	for _, r := range c.replicas {
		r.end()
	}
}

// reset ends everything that was started, so that a case can begin anew.
func (c *cluster) reset() {
	c.endAll()
	c.replicas, c.gateways, c.closers = nil, nil, nil
	_ = os.RemoveAll(c.folder)
	if err := os.Mkdir(c.folder, 0o700); err != nil {
		panic(err)
	}
}

func (c *cluster) close() {
	c.endAll()
	_ = os.RemoveAll(c.folder)
	_ = c.record.Close()
}

// firstPort and ports are the range of the ports that the cases use: below those that the system gives to outgoing connections,
// which could take a port before the process that it is for listens on it.
const (
	firstPort = 15000
	ports     = 16000
)

var nextPort = rand.IntN(ports)

// freeAddresses returns n loopback addresses whose ports are free. It returns none twice.
func freeAddresses(n int) []string {
	var list []string
	for tries := 0; len(list) < n; tries++ {
		if tries == ports {
			panic("no free ports")
		}
		nextPort = (nextPort + 1) % ports
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		list = append(list, address)
	}
	return list
}

func program() string {
	if p := os.Getenv("HEATHERWALL"); p != "" {
		return p
	}
	return "target/heatherwall"
}

// launch starts the program of the project with arguments. Its output goes to a file in the folder of the case.
func (c *cluster) launch(name string, args ...string) *process {
	out, err := os.OpenFile(filepath.Join(c.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	p := &process{name: name, cmd: exec.Command(program(), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // also if this program ends in another way
	if err := p.cmd.Start(); err != nil {
		panic(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(p.done)
	}()
	return p
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// end kills the process if it lives, and waits for it.
func (p *process) end() {
	if p.alive() {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	<-p.done
}

func (c *cluster) write(name, text string) string {
	file := filepath.Join(c.folder, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		panic(err)
	}
	return file
}

// startControl starts n control replicas at once, in the zones in turn.
func (c *cluster) startControl(n int) {
	addresses := freeAddresses(3 * n)
	for i := range n {
		c.replicas = append(c.replicas, &replica{index: i, peer: addresses[3*i], admin: addresses[3*i+1], catalogue: addresses[3*i+2]})
	}
	for i := range n {
		c.startReplica(i, true)
	}
}

func (c *cluster) seeds() string {
	var list []string
	for _, r := range c.replicas[:min(3, len(c.replicas))] {
		list = append(list, fmt.Sprintf("%q", r.peer))
	}
	return strings.Join(list, ", ")
}

// startReplica starts one control replica with the settings of deploy/control.yaml.
func (c *cluster) startReplica(i int, firstStart bool) {
	r := c.replicas[i]
	zone := zones[i%len(zones)]
	var domains []string
	for _, z := range zones {
		domains = append(domains, fmt.Sprintf("%s: %s", z, regionOf(z)))
	}
	file := c.write(fmt.Sprintf("core-%d.yaml", i), fmt.Sprintf(`
name: core-%d
region: %s
failure_domain: %s
peer: {address: %q, plaintext: true}
admin: {address: %q}
data_folder: %q
discovery: {seeds: [%s], first_start: %t}
catalogue: {listen: {address: %q}, failure_domains: {%s}, report_ms: %d}
`, i, regionOf(zone), zone, r.peer, r.admin, c.dataFolder(i), c.seeds(), firstStart, r.catalogue, strings.Join(domains, ", "), heartbeatMs))
	r.process = c.launch(fmt.Sprintf("core-%d", i), "control", "-platform", "-settings", file)
}

func (c *cluster) dataFolder(i int) string { return filepath.Join(c.folder, fmt.Sprintf("data-%d", i)) }

// startGateway starts one gateway with the settings of deploy/gateway.yaml.
func (c *cluster) startGateway(zone string) *gateway { return c.startGatewayWith(zone, 284) }

// startGatewayWith is startGateway on a machine with the given memory.
func (c *cluster) startGatewayWith(zone string, memoryMB int) *gateway {
	a := freeAddresses(4)
	name := fmt.Sprintf("front-%d", len(c.gateways))
	file := c.write(name+".yaml", fmt.Sprintf(`
name: %s
region: %s
failure_domain: %s
callers: {address: %q}
admin: {address: %q}
metrics: {address: %q}
peer: {plaintext: true}
discovery: {seeds: [%s]}
drain_notice_ms: 2600
grace_seconds: 6
catalogue:
  serve_stale_seconds: 30
  apply_ms: 2000
  retry: {ratio: 0.2, slack: 62, window_seconds: 10}
  cold: {overage: 1.5, slack: 5}
  domain_cost_ms: 10
  spill_cost_ms: 200
  relay: {address: %q}
  memory_mb: %d
`, name, regionOf(zone), zone, a[0], a[1], a[2], c.seeds(), a[3], memoryMB))
	g := &gateway{callers: a[0], admin: a[1], settings: file, process: c.launch(name, "gateway", "-platform", "-settings", file)}
	c.gateways = append(c.gateways, g)
	return g
}

// relaunch starts a gateway again that has ended.
func (c *cluster) relaunch(g *gateway) {
	g.process = c.launch(g.name, "gateway", "-platform", "-settings", g.settings)
	c.note("%s is started again", g.name)
}

// awaitReady waits until the readiness address of a gateway answers 200.
func (c *cluster) awaitReady(g *gateway) {
	eventually(configTimeout, g.name+" is ready", func() bool {
		r, err := operator.Get("http://" + g.admin + "/readyz")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusOK
	})
}

// eventually waits for a condition, and gives the case up if it does not come true.
func eventually(limit time.Duration, what string, done func() bool) {
	for end := time.Now().Add(limit); !done(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			panic("timed out: " + what)
		}
	}
}

// operator follows redirects with the same method and body, as the pages say.
var operator = &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// call sends a call to one control replica. The status is 0 if there is no complete response.
func (c *cluster) call(i int, query, body string) (int, string) {
	r, err := operator.Post("http://"+c.replicas[i].catalogue+callPath+query, "application/json", strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return 0, err.Error()
	}
	return r.StatusCode, string(text)
}

// putConfig sends a configuration to the given replicas in turn until one acknowledges it.
func (c *cluster) putConfig(replicas []int, body string) {
	next := 0
	eventually(configTimeout, "config.put", func() bool {
		i := replicas[next%len(replicas)]
		next++
		status, text := c.call(i, "call=config.put", body)
		c.note("operator: config.put to core-%d: %d %s", i, status, strings.TrimSpace(text))
		return status == http.StatusOK
	})
}

// routeSpec and the types below are the parts of a configuration that the cases use.
type routeSpec struct {
	Name        string `json:"name"`
	Hostname    string `json:"hostname"`
	PathPrefix  string `json:"path_prefix"`
	Type        string `json:"type"`
	TimeoutMs   int    `json:"timeout_ms"`
	TargetMs    int    `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
}

type serviceSpec struct {
	Name       string  `json:"name"`
	HealthPath string  `json:"health_path"`
	MaxConns   int     `json:"max_conns"`
	Protocol   string  `json:"protocol"`
	TLS        bool    `json:"tls"`
	WarmupS    float64 `json:"warmup_s"`
	WarmupPerS float64 `json:"warmup_per_s"`
}

// MarshalJSON adds the empty list of home regions to a route.
func (r routeSpec) MarshalJSON() ([]byte, error) {
	type plain routeSpec
	text, err := json.Marshal(plain(r))
	if err != nil {
		return nil, err
	}
	return fmt.Appendf(nil, "%s,%q:[]}", bytes.TrimSuffix(text, []byte("}")), fieldRegions), nil
}

func configText(version int, routes []routeSpec, services ...string) string {
	var list []serviceSpec
	for _, s := range services {
		list = append(list, serviceSpec{Name: s, HealthPath: "/healthz", MaxConns: 260, Protocol: "h1", WarmupS: 3, WarmupPerS: 2.8})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// voters returns the number of voters that a replica reports in its metrics; 0 if it does not answer.
func (c *cluster) voters(i int) int { return c.metric(i, "heatherwall_voters") }

// leads reports whether a replica leads the control group, as far as its metrics say.
func (c *cluster) leads(i int) bool {
	const changes = "heatherwall_leadership_changes_total{change=%q}"
	return c.metric(i, fmt.Sprintf(changes, "gained")) > c.metric(i, fmt.Sprintf(changes, "lost"))
}

// metric returns the value of a metric of a replica; 0 if it does not answer.
func (c *cluster) metric(i int, name string) (n int) {
	r, err := operator.Get("http://" + c.replicas[i].admin + "/metrics")
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	page, _ := io.ReadAll(r.Body)
	for line := range strings.Lines(string(page)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			_, _ = fmt.Sscan(value, &n)
			return n
		}
	}
	return 0
}
