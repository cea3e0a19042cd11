package scenario

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
)

// Settings of the stand-in servers.
const (
	// queuePerSlot makes a server shed load at five times its slots, as in testbed/policybench: its slots are busy and
	// its queue is full.
	queuePerSlot = 4
	coldTime     = "5s"
	coldStep     = "4"
	coldGrace    = "300ms"
	retryAfter   = "1"
	startTimeout = 30 * time.Second
	// Random streams of the servers. The streams of a group are consecutive.
	streamsPerGroup = 100
	sideStream      = 10_000
)

// setup is a running cluster with the servers of both services, one process for each service and failure domain.
type setup struct {
	deployment Deployment
	cluster    *harness.Cluster
	main       []*harness.ServerGroup
	side       []*harness.ServerGroup
}

func newSetup(t testing.TB, b harness.Binaries, d Deployment, baseline bool, seed string) *setup {
	t.Helper()
	places := d.places()
	s := &setup{deployment: d}
	s.cluster = harness.NewCluster(t, b, harness.Options{
		Controls: 3, Gateways: len(places), BaselineGateways: baseline,
		ControlPlaces: []localsetup.Place{places[0], places[2], places[4]}, GatewayPlaces: places,
	})
	s.cluster.Apply(t, d.document())
	s.cluster.WaitReady(t)
	for _, p := range places {
		s.main = append(s.main, s.start(t, mainService, p, d.Workers/len(places), seed, 1+len(s.main)*streamsPerGroup))
		s.side = append(s.side, s.start(t, sideService, p, 1, seed, sideStream+len(s.side)))
	}
	for _, g := range append(append([]*harness.ServerGroup{}, s.main...), s.side...) {
		harness.Eventually(t, startTimeout, "registration", g.Registered)
		for _, a := range g.Addresses {
			setFault(t, a, "warm", "true")
		}
	}
	return s
}

func (s *setup) start(t testing.TB, service string, p localsetup.Place, count int, seed string, stream int) *harness.ServerGroup {
	t.Helper()
	d := s.deployment
	return s.cluster.StartServers(t, service, p, count,
		"-announce", s.announceAddresses(p.Region), "-slots", strconv.Itoa(d.Slots), "-queue", strconv.Itoa(queuePerSlot*d.Slots),
		"-service-time", d.Work.String(), "-cold", coldTime, "-cold-step", coldStep, "-cold-grace", coldGrace,
		"-domain-delay", d.DomainDelay.String(), "-region-delay", d.RegionDelay.String(),
		"-retry-after", retryAfter, "-seed", seed, "-stream", strconv.Itoa(stream))
}

// announceAddresses returns the announce addresses of the gateways of a region. A server announces itself only there,
// because its owner sends the requests that warm it up and should be near.
func (s *setup) announceAddresses(region string) string {
	var addresses []string
	for _, g := range s.cluster.Setup.Gateways {
		if g.Region == region {
			addresses = append(addresses, g.Announce)
		}
	}
	return strings.Join(addresses, ",")
}

// servers returns the addresses of the servers of the main service, ordered by place.
func (s *setup) servers() []string {
	var addresses []string
	for _, g := range s.main {
		addresses = append(addresses, g.Addresses...)
	}
	return addresses
}

// groupsIn returns the server groups of a failure domain.
func (s *setup) groupsIn(domain string) []*harness.ServerGroup {
	var groups []*harness.ServerGroup
	for _, g := range append(append([]*harness.ServerGroup{}, s.main...), s.side...) {
		if g.Place.FailureDomain == domain {
			groups = append(groups, g)
		}
	}
	return groups
}

var faultClient = &http.Client{Timeout: 5 * time.Second}

// setFault sets the value of one fault of a stand-in server.
func setFault(t testing.TB, address, name, value string) {
	t.Helper()
	post(t, "http://"+address+"/.standin/fault?"+url.Values{name: {value}}.Encode())
}

// fallBack puts a server into cold start without an announcement.
func fallBack(t testing.TB, address string) {
	t.Helper()
	post(t, "http://"+address+"/.standin/fallback")
}

func post(t testing.TB, target string) {
	t.Helper()
	response, err := faultClient.Post(target, "", nil)
	if err != nil {
		t.Errorf("fault not set: %v", err)
		return
	}
	response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		t.Errorf("%s: status %d", target, response.StatusCode)
	}
}
