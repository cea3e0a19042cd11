package harness

import (
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"heatherwall.example/testbed/backend"
	"heatherwall.example/testbed/check"
	"heatherwall.example/testbed/journal"
	"heatherwall.example/testbed/load"
	"heatherwall.example/testbed/localsetup"
)

// ServerGroup is a process that runs stand-in backend servers of one service in one failure domain.
type ServerGroup struct {
	*Process
	Service string
	Place   localsetup.Place
	// Addresses holds the addresses of the servers.
	Addresses []string
	Journal   string
	arguments []string
}

// StartServers starts a process with count servers that announce themselves to every gateway.
func (c *Cluster) StartServers(t testing.TB, service string, place localsetup.Place, count int, flags ...string) *ServerGroup {
	t.Helper()
	port := FreePorts(t, count)
	name := fmt.Sprintf("%s-%d", service, port)
	g := &ServerGroup{Service: service, Place: place, Journal: filepath.Join(c.Folder, name+".journal")}
	for i := range count {
		g.Addresses = append(g.Addresses, LoopbackAddress(port+i))
	}
	g.arguments = append([]string{
		"serve", "-service", service, "-region", place.Region, "-failure-domain", place.FailureDomain,
		"-address", LoopbackAddress(port), "-count", strconv.Itoa(count), "-credential", Credential,
		"-announce", strings.Join(c.announceAddresses(), ","), "-journal", g.Journal,
	}, flags...)
	g.Process = Start(t, c.Folder, name, c.Binaries.Standin, g.arguments...)
	c.mu.Lock()
	c.serverJournals = append(c.serverJournals, g.Journal)
	c.mu.Unlock()
	return g
}

// Restart starts the servers again after their process has ended.
func (g *ServerGroup) Restart(t testing.TB, c *Cluster) {
	t.Helper()
	g.Process = Start(t, c.Folder, g.Name, c.Binaries.Standin, g.arguments...)
}

func (c *Cluster) announceAddresses() []string {
	var addresses []string
	for _, g := range c.Setup.Gateways {
		addresses = append(addresses, g.Announce)
	}
	return addresses
}

// Counts returns the counts of the servers of the group. A server that does not answer has zero counts.
func (g *ServerGroup) Counts() []backend.Counts {
	counts := make([]backend.Counts, len(g.Addresses))
	for i, address := range g.Addresses {
		_ = getJSON("http://"+address+"/.standin/counts", adminTimeout, &counts[i])
	}
	return counts
}

// ListedServer is a backend server as a gateway lists it on its admin listener.
type ListedServer struct {
	Address       string `json:"address"`
	Region        string `json:"region"`
	State         string `json:"state"`
	EvidenceAgeMs int64  `json:"evidence_age_ms"`
}

// ListServers returns the servers that a gateway knows. Errors are those of net/http and encoding/json.
func ListServers(g localsetup.Instance) ([]ListedServer, error) {
	var list struct {
		Servers []ListedServer `json:"servers"`
	}
	err := getJSON("http://"+g.Admin+"/servers", listTimeout, &list)
	return list.Servers, err
}

func getJSON(url string, timeout time.Duration, value any) error {
	client := http.Client{Timeout: timeout}
	response, err := client.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(value)
}

// StartedRuns returns the number of runs that the servers of the group have started.
func (g *ServerGroup) StartedRuns() int64 {
	var sum int64
	for _, c := range g.Counts() {
		sum += c.Started
	}
	return sum
}

// ReadyEverywhere reports whether every gateway lists all servers of the group as ready.
func (g *ServerGroup) ReadyEverywhere(c *Cluster) bool {
	for _, gateway := range c.Setup.Gateways {
		servers, err := ListServers(gateway)
		if err != nil {
			return false
		}
		ready := 0
		for _, s := range servers {
			if s.State == "ready" && slices.Contains(g.Addresses, s.Address) {
				ready++
			}
		}
		if ready < len(g.Addresses) {
			return false
		}
	}
	return true
}

// Registered reports whether every server of the group has an owner.
func (g *ServerGroup) Registered() bool {
	for _, c := range g.Counts() {
		if c.Owner == "" {
			return false
		}
	}
	return true
}

// LoadGateways returns the gateways of the cluster as targets of the load generator.
func (c *Cluster) LoadGateways() []load.Gateway {
	var gateways []load.Gateway
	for _, g := range c.Setup.Gateways {
		gateways = append(gateways, load.Gateway{Address: g.Callers, Region: g.Region, FailureDomain: g.FailureDomain})
	}
	return gateways
}

// Targets returns one kind of request for each service of the test document: idempotent ones for any region, ones that
// run at most once, and ones with home regions.
func Targets() []load.Target {
	return []load.Target{
		{Method: http.MethodGet, Path: CataloguePath, Token: Token, Weight: 2},
		{Method: http.MethodPost, Path: LedgerPath, Token: Token, Weight: 2, AtMostOnce: true, BodyBytes: 200},
		{Method: http.MethodGet, Path: VaultPath, Token: Token, Weight: 1, HomeRegions: []string{NearRegion}},
	}
}

// NewLoadOptions returns options for a load on every gateway with a journal of its own, and the file name of the journal.
func (c *Cluster) NewLoadOptions(t testing.TB, name string, rate float64, requests int, seed uint64) (load.Options, string) {
	t.Helper()
	file := filepath.Join(c.Folder, name+".calls")
	writer, err := journal.OpenWriter(file)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { writer.Close() })
	return load.Options{
		Gateways: c.LoadGateways(), Targets: Targets(), Rate: rate, Requests: requests,
		Timeout: 10 * time.Second, Seed: seed, Journal: writer,
	}, file
}

// CheckSafety compares the journals of all servers with the given journals of callers. Any violation fails the test.
func (c *Cluster) CheckSafety(t testing.TB, callers ...string) check.Report {
	t.Helper()
	report, err := check.CompareFiles(c.serverJournals, callers)
	if err != nil {
		t.Fatal(err)
	}
	for i, v := range report.Violations {
		const printed = 20
		if i == printed {
			break
		}
		t.Errorf("%s: request %s: %s", v.Kind, v.Request, v.Detail)
	}
	t.Log(report.Line())
	return report
}
