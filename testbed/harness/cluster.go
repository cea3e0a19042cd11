package harness

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"heatherwall.example/testbed/localsetup"
	"heatherwall.example/testbed/relay"
)

// Timeouts. They are generous, because the machine may be busy.
const (
	StartTimeout = 30 * time.Second
	CallTimeout  = 40 * time.Second
	adminTimeout = time.Second
	listTimeout  = 5 * time.Second
)

// relayOffset is the distance from the port of a peer listener to the port of its relay. It is greater than the number of
// ports of the largest setup, 3 control replicas and 18 gateways.
const relayOffset = 100

// Options describes a cluster.
type Options struct {
	Controls      int
	Gateways      int
	ControlPlaces []localsetup.Place
	GatewayPlaces []localsetup.Place
	// UseRelays puts a TCP relay in front of every peer listener.
	UseRelays bool
	// WithoutGateways leaves the start of the gateways to the test.
	WithoutGateways bool
	// BaselineGateways runs gateways with the baseline selection of backend servers instead of the shipped ones.
	BaselineGateways bool
	LogLevel         string
}

// DefaultOptions returns options with three control replicas and two gateways in the near region and one gateway in the
// far region.
func DefaultOptions() Options {
	return Options{
		Controls: 3, Gateways: 3,
		ControlPlaces: []localsetup.Place{{Region: NearRegion, FailureDomain: NearDomain1}, {Region: NearRegion, FailureDomain: NearDomain2}},
		GatewayPlaces: []localsetup.Place{
			{Region: NearRegion, FailureDomain: NearDomain1},
			{Region: NearRegion, FailureDomain: NearDomain2},
			{Region: FarRegion, FailureDomain: FarDomain1},
		},
	}
}

// Cluster is a running setup.
type Cluster struct {
	Binaries Binaries
	Folder   string
	Setup    *localsetup.Setup
	key      string
	relays   map[string]*relay.Relay
	operator *Operator
	baseline bool

	mu sync.Mutex
	// processes holds the most recently started process of each instance, by instance name.
	processes      map[string]*Process
	documents      int
	serverJournals []string
}

// NewCluster writes the settings, starts every process and waits until all control replicas are voters of the control
// group.
func NewCluster(t testing.TB, b Binaries, o Options) *Cluster {
	t.Helper()
	c := &Cluster{Binaries: b, Folder: t.TempDir(), baseline: o.BaselineGateways, processes: map[string]*Process{}, relays: map[string]*relay.Relay{}}
	setup := localsetup.Options{
		Folder: c.Folder, FirstPort: FreePorts(t, portsPerBlock),
		Controls: o.Controls, Gateways: o.Gateways, ControlPlaces: o.ControlPlaces, GatewayPlaces: o.GatewayPlaces,
		LogLevel: o.LogLevel,
	}
	if o.UseRelays {
		setup.AdvertiseOffset = relayOffset
	}
	var err error
	if c.Setup, err = localsetup.Write(setup); err != nil {
		t.Fatal(err)
	}
	c.key = writeKey(t, c.Folder)
	if o.UseRelays {
		c.startRelays(t)
	}
	c.startControls(t)
	if !o.WithoutGateways {
		for _, g := range c.Setup.Gateways {
			c.StartGateway(t, g)
		}
	}
	return c
}

func (c *Cluster) startRelays(t testing.TB) {
	t.Helper()
	identify := relay.IdentifyByProcess(c.processIDs)
	for _, i := range append(append([]localsetup.Instance{}, c.Setup.Controls...), c.Setup.Gateways...) {
		r, err := relay.Start(i.Advertised, i.Peer, identify)
		if err != nil {
			t.Fatal(err)
		}
		c.relays[i.Name] = r
		t.Cleanup(func() { r.Close() })
	}
}

// startControls starts the control replicas. It bootstraps the group at the first replica once all others listen.
func (c *Cluster) startControls(t testing.TB) {
	t.Helper()
	for _, i := range c.Setup.Controls[1:] {
		c.StartControl(t, i, false)
		Eventually(t, StartTimeout, i.Name+" listening", func() bool { return isListening(i.Peer) })
	}
	c.StartControl(t, c.Setup.Controls[0], true)
	Eventually(t, StartTimeout, "all control replicas are voters", func() bool { return c.VoterCount(t) == len(c.Setup.Controls) })
}

func isListening(address string) bool {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	connection.Close()
	return true
}

// StartControl starts a control replica.
func (c *Cluster) StartControl(t testing.TB, i localsetup.Instance, bootstrap bool) *Process {
	t.Helper()
	arguments := []string{"control", "-settings", i.SettingsFile}
	if bootstrap {
		arguments = append(arguments, "-bootstrap")
	}
	return c.start(t, i, c.Binaries.Heatherwall, arguments)
}

// StartGateway starts a gateway.
func (c *Cluster) StartGateway(t testing.TB, i localsetup.Instance) *Process {
	t.Helper()
	if c.baseline {
		return c.start(t, i, c.Binaries.BenchGateway, []string{"-settings", i.SettingsFile})
	}
	return c.start(t, i, c.Binaries.Heatherwall, []string{"gateway", "-settings", i.SettingsFile})
}

func (c *Cluster) start(t testing.TB, i localsetup.Instance, program string, arguments []string) *Process {
	t.Helper()
	p := Start(t, c.Folder, i.Name, program, arguments...)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[i.Name] = p
	return p
}

// WipeData removes the data folder of a replica that does not run.
func (c *Cluster) WipeData(t testing.TB, i localsetup.Instance) {
	t.Helper()
	if err := os.RemoveAll(i.DataFolder); err != nil {
		t.Fatal(err)
	}
}

// WaitReady waits until every gateway reports that it is ready.
func (c *Cluster) WaitReady(t testing.TB) {
	t.Helper()
	for _, g := range c.Setup.Gateways {
		Eventually(t, StartTimeout, g.Name+" ready", func() bool { return IsReady(g) })
	}
}

// IsReady reports whether a gateway answers its readiness check with 200.
func IsReady(g localsetup.Instance) bool {
	return GetStatus("http://"+g.Admin+"/readyz") == http.StatusOK
}

// GetStatus sends a GET and returns the status code of the response, or 0 if there is none.
func GetStatus(url string) int {
	client := http.Client{Timeout: adminTimeout}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// GetStatusAsCaller sends a GET with the token of the test caller and further headers. It returns the status code of the
// response, or 0 if there is none.
func GetStatusAsCaller(t testing.TB, url string, header http.Header) int {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+Token)
	client := http.Client{Timeout: CallTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}

// RunClient runs a command of the operators' client with the client file and further arguments.
func (c *Cluster) RunClient(t testing.TB, command string, arguments ...string) Result {
	t.Helper()
	all := []string{command, "-client", c.Setup.ClientFile}
	return Run(t, CallTimeout, c.Binaries.Heatherwall, append(all, arguments...)...)
}

// Apply applies a document and fails the test if it is not accepted.
func (c *Cluster) Apply(t testing.TB, text string, flags ...string) Result {
	t.Helper()
	r := c.TryApply(t, text, flags...)
	if r.Code != 0 {
		t.Fatalf("apply: %s", r)
	}
	return r
}

// TryApply applies a document and returns the result of the command.
func (c *Cluster) TryApply(t testing.TB, text string, flags ...string) Result {
	t.Helper()
	c.mu.Lock()
	c.documents++
	file := filepath.Join(c.Folder, fmt.Sprintf("document-%d.yaml", c.documents))
	c.mu.Unlock()
	WriteFile(t, file, text)
	return c.RunClient(t, "apply", append(append([]string{"-key", c.key}, flags...), file)...)
}

// SetDomain takes a failure domain out of use or back in; verb is "out" or "in".
func (c *Cluster) SetDomain(t testing.TB, verb, domain string, flags ...string) Result {
	t.Helper()
	arguments := append([]string{"-key", c.key}, flags...)
	return c.RunClient(t, "domain", append(arguments, verb, domain)...)
}
