package process

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
	"heatherwall.example/testbed/relay"
)

// regionPaths relays the traffic between gateways and backend servers, so that it can be cut between regions. A server
// announces itself through a forwarder, which replaces the address of the server by that of a relay.
type regionPaths struct {
	c   *harness.Cluster
	cut atomic.Bool

	mu sync.Mutex
	// relays holds the relays in front of the servers, by address of the server.
	relays map[string]*serverRelay
}

type serverRelay struct {
	*relay.Relay
	region string
}

func newRegionPaths(t *testing.T, c *harness.Cluster) *regionPaths {
	p := &regionPaths{c: c, relays: map[string]*serverRelay{}}
	t.Cleanup(func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, r := range p.relays {
			r.Close()
		}
	})
	return p
}

// startServers starts a group of servers whose traffic goes through the relays.
func (p *regionPaths) startServers(t *testing.T, service string, place localsetup.Place, count int) *harness.ServerGroup {
	t.Helper()
	var announce []string
	for _, g := range p.c.Setup.Gateways {
		forwarder := httptest.NewServer(p.forwardHandler(g, place.Region))
		t.Cleanup(forwarder.Close)
		announce = append(announce, strings.TrimPrefix(forwarder.URL, "http://"))
	}
	flags := append([]string{"-announce", strings.Join(announce, ",")}, serverFlags...)
	return p.c.StartServers(t, service, place, count, flags...)
}

// forwardHandler returns a handler that forwards calls from servers in a region to the announce listener of a gateway.
// During a cut between the two, a call gets no response.
func (p *regionPaths) forwardHandler(g localsetup.Instance, region string) http.HandlerFunc {
	isCut := func() bool { return p.cut.Load() && g.Region != region }
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		status, answer := http.StatusBadGateway, []byte(nil)
		if err == nil && !isCut() {
			status, answer, err = p.forwardCall(g, region, r, body)
		}
		if isCut() {
			<-r.Context().Done()
			return
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadGateway)
			return
		}
		w.WriteHeader(status)
		w.Write(answer)
	}
}

func (p *regionPaths) forwardCall(g localsetup.Instance, region string, r *http.Request, body []byte) (int, []byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return 0, nil, err
	}
	var address string
	if err := json.Unmarshal(fields["address"], &address); err != nil {
		return 0, nil, err
	}
	advertised, err := p.relayAddress(address, region)
	if err != nil {
		return 0, nil, err
	}
	fields["address"] = json.RawMessage(fmt.Sprintf("%q", advertised))
	if body, err = json.Marshal(fields); err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+g.Announce+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header = r.Header.Clone()
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// relayAddress returns the address of the relay in front of a server. The first call for a server starts its relay.
func (p *regionPaths) relayAddress(address, region string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.relays[address] == nil {
		r, err := relay.Start(harness.LoopbackAddress(0), address, relay.IdentifyByProcess(p.gatewayIDs))
		if err != nil {
			return "", err
		}
		p.relays[address] = &serverRelay{Relay: r, region: region}
	}
	return p.relays[address].Address(), nil
}

func (p *regionPaths) gatewayIDs() map[string]int {
	ids := map[string]int{}
	for _, g := range p.c.Setup.Gateways {
		ids[g.Name] = p.c.Process(g.Name).ID()
	}
	return ids
}

// cutRegions silently drops all traffic between the regions: that among gateways and control replicas, and that between
// gateways and backend servers. relay.None ends the cut.
func (p *regionPaths) cutRegions(t *testing.T, d relay.Direction) {
	t.Helper()
	p.cut.Store(d != relay.None)
	p.mu.Lock()
	for _, r := range p.relays {
		for _, g := range p.c.Setup.Gateways {
			if g.Region == r.region {
				continue
			}
			if err := r.CutFrom(g.Name, d); err != nil {
				t.Error(err)
			}
		}
	}
	p.mu.Unlock()
	cutRegions(t, p.c, d)
}
