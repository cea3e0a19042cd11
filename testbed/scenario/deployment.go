package scenario

import (
	"fmt"
	"strings"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
)

// Deployment is a deployment of docs/design.md, section 2.4, at a smaller scale: it has one gateway in each failure
// domain instead of three, and two services. Requests take longer than there, so that the request rate is low enough
// for a shared machine. Kerdréan has half of the slots for the same reason.
type Deployment struct {
	Name    string
	Regions []string
	// Workers is the number of servers of the main service, and Slots the number of slots of each server.
	Workers int
	Slots   int
	// Work is the median service time of a request.
	Work time.Duration
	// DomainDelay and RegionDelay are one-way latencies.
	DomainDelay time.Duration
	RegionDelay time.Duration
}

const domainsPerRegion = 2

// Deployments returns both deployments.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "kerdrean", Regions: []string{"finistere", "ille", "morbihan"}, Workers: 12, Slots: 3,
			Work: 15 * time.Millisecond, DomainDelay: 500 * time.Microsecond, RegionDelay: 12 * time.Millisecond,
		},
		{
			Name: "wendover", Regions: []string{"erie", "superior", "ontario"}, Workers: 12, Slots: 2,
			Work: 10 * time.Millisecond, DomainDelay: time.Millisecond, RegionDelay: 12 * time.Millisecond,
		},
	}
}

// meanPerMedian is the ratio of the mean to the median of the stand-ins' log-normal service time.
const meanPerMedian = 1.0317

// capacity returns the number of requests per second that all slots of the main service together can finish.
func (d Deployment) capacity() float64 {
	return float64(d.Workers*d.Slots) / (d.Work.Seconds() * meanPerMedian)
}

// deadline returns the deadline of a request. It is the same multiple of the work time as in testbed/policybench.
func (d Deployment) deadline() time.Duration { return 50 * d.Work }

func (d Deployment) places() []localsetup.Place {
	var places []localsetup.Place
	for _, r := range d.Regions {
		for i := range domainsPerRegion {
			places = append(places, localsetup.Place{Region: r, FailureDomain: fmt.Sprintf("%s-%d", r, i+1)})
		}
	}
	return places
}

// Names and paths of the two services. The side service has a light load and no faults of its own.
const (
	mainService = "catalogue"
	mainPath    = "/catalogue"
	sideService = "vault"
	sidePath    = "/vault"
)

// Measuring budget in bytes per second and gateway, as in the example documents.
const (
	budgetWithinRegion  = 10 << 10
	budgetAcrossRegions = 2 << 10
)

const documentTemplate = `format: 1
members:
  acme:
    keys:
      - {id: test, public_key: %%[1]s}
    tenants:
      shop:
        callers:
          - {name: till, token_sha256: %%[2]s}
topology:
  owner: acme
  regions:
%[1]smeasuring:
  owner: acme
  within_region: %[2]dKiB
  across_regions: %[3]dKiB
services:
  catalogue:
    owner: acme
    credential_sha256: %%[3]s
    workers: %[4]d
    slots: %[5]d
    connections: 220
    rules:
      - {name: read, methods: [GET], path: /catalogue, callers: [acme/*], idempotent: true, hedge: true, deadline: %[6]s}
  vault:
    owner: acme
    credential_sha256: %%[3]s
    workers: 6
    slots: %[5]d
    connections: 220
    rules:
      - {name: fetch, methods: [GET], path: /vault, callers: [acme/*], idempotent: true, hedge: true, deadline: %[6]s}
`

func (d Deployment) document() string {
	var regions strings.Builder
	for i, r := range d.Regions {
		var domains []string
		for _, p := range d.places()[i*domainsPerRegion : (i+1)*domainsPerRegion] {
			domains = append(domains, p.FailureDomain)
		}
		fmt.Fprintf(&regions, "    %s: [%s]\n", r, strings.Join(domains, ", "))
	}
	return harness.FillDocument(fmt.Sprintf(documentTemplate,
		regions.String(), budgetWithinRegion>>10, budgetAcrossRegions>>10, d.Workers, d.Slots, d.deadline()))
}
