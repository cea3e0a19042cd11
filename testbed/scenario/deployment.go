package scenario

import (
	"fmt"
	"strings"
	"time"

	"heatherwall.example/testbed/harness"
	"heatherwall.example/testbed/localsetup"
)

// Deployment is a scaled size of a deployment of docs/design.md, section 2.4: one gateway in each failure domain instead
// of three, and two services. The work of a request is longer than there, so that the rate stays within what a shared
// machine bears; slots are halved at Kerdréan for the same reason.
type Deployment struct {
	Name    string
	Regions []string
	// Workers is the number of servers of the main service, Slots that of each server.
	Workers int
	Slots   int
	// Work is the median time of a run.
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

// meanOfMedian turns the median of the stand-ins' log-normal service time into its mean.
const meanOfMedian = 1.0317

// capacity is the number of requests per second that all slots of the main service finish.
func (d Deployment) capacity() float64 {
	return float64(d.Workers*d.Slots) / (d.Work.Seconds() * meanOfMedian)
}

// deadline is that of the policy bench in times of the work.
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

// Budget of measuring in bytes per second and gateway, that of the example documents.
const (
	budgetWithin = 10 << 10
	budgetAcross = 2 << 10
)

const documentForm = `format: 1
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
	return harness.FillDocument(fmt.Sprintf(documentForm,
		regions.String(), budgetWithin>>10, budgetAcross>>10, d.Workers, d.Slots, d.deadline()))
}
