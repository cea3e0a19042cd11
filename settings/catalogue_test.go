package settings

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"
)

const validControl = `
name: c1
region: north
failure_domain: north-a
peer: {address: "10.0.0.1:7000", plaintext: true}
admin: {address: "10.0.0.1:7001"}
data_folder: /data
discovery: {seeds: ["10.0.0.9:80", "10.0.0.10:80"], peer_port: 7000, first_start: true}
catalogue: {listen: {address: "10.0.0.1:80"}, failure_domains: {north-a: north}}
`

const validCatalogueGateway = `
name: g1
region: north
failure_domain: north-a
callers: {address: "10.0.0.2:80"}
admin: {address: "10.0.0.2:81"}
peer: {plaintext: true}
discovery: {seeds: ["10.0.0.9:80"]}
catalogue: {serve_stale_seconds: 30}
`

// Guards against wrong defaults and conversions of the catalogue and discovery settings.
func TestCatalogueSettings(t *testing.T) {
	c, err := ParseControl("c", []byte(validControl))
	if err != nil {
		t.Fatal(err)
	}
	// Sorted by address, not as text, so that all replicas choose the same seed to create the configuration group.
	if got := c.Discovery.PeerAddresses(); !slices.Equal(got, []string{"10.0.0.9:7000", "10.0.0.10:7000"}) {
		t.Errorf("addresses %v", got)
	}
	if c.Catalogue.ReportInterval() != DefaultReportMs*time.Millisecond {
		t.Errorf("report interval %s", c.Catalogue.ReportInterval())
	}
	g, err := ParseGateway("g", []byte(validCatalogueGateway))
	if err != nil {
		t.Fatal(err)
	}
	if g.Catalogue.Retry.Ratio != DefaultRetryRatio || g.Catalogue.ServeStale() != 30*time.Second || g.Catalogue.ApplyTime() != DefaultApplyMs*time.Millisecond {
		t.Errorf("catalogue %+v", g.Catalogue)
	}
}

// Guards against accepting invalid catalogue and discovery settings, and against reporting them at another field.
func TestInvalidCatalogueSettings(t *testing.T) {
	for name, c := range map[string]struct{ text, old, new, path string }{
		"no seeds":          {validControl, `["10.0.0.9:80", "10.0.0.10:80"]`, `[]`, "discovery.seeds"},
		"host name":         {validControl, `10.0.0.9:80`, `seed:80`, "discovery.seeds[0]"},
		"list and seeds":    {validControl, "data_folder: /data", "data_folder: /data\npeers: [{name: c1, address: \"10.0.0.1:7000\", region: n, failure_domain: n}]", "peers"},
		"no domains":        {validControl, `failure_domains: {north-a: north}`, `failure_domains: {}`, "catalogue.failure_domains"},
		"TLS by default":    {validControl, `, plaintext: true`, ``, "peer.tls"},
		"negative time":     {validCatalogueGateway, `serve_stale_seconds: 30`, `serve_stale_seconds: -1`, "catalogue.serve_stale_seconds"},
		"negative apply":    {validCatalogueGateway, `serve_stale_seconds: 30`, `apply_ms: -1`, "catalogue.apply_ms"},
		"negative ratio":    {validCatalogueGateway, `serve_stale_seconds: 30`, `retry: {ratio: -0.1}`, "catalogue.retry.ratio"},
		"ratio no number":   {validCatalogueGateway, `serve_stale_seconds: 30`, `retry: {ratio: .nan}`, "catalogue.retry.ratio"},
		"infinite ratio":    {validCatalogueGateway, `serve_stale_seconds: 30`, `retry: {ratio: .inf}`, "catalogue.retry.ratio"},
		"relay port":        {validCatalogueGateway, `serve_stale_seconds: 30`, `relay: {address: "10.0.0.2:0"}`, "catalogue.relay.address"},
		"unknown field":     {validCatalogueGateway, `serve_stale_seconds: 30`, `serve_stale: 30`, "catalogue.serve_stale"},
		"document gateways": {validCatalogueGateway, `catalogue: {serve_stale_seconds: 30}`, ``, "announce.address"},
	} {
		text := strings.Replace(c.text, c.old, c.new, 1)
		var err error
		if c.text == validControl {
			_, err = ParseControl("f", []byte(text))
		} else {
			_, err = ParseGateway("f", []byte(text))
		}
		var invalid *InvalidError
		if !errors.As(err, &invalid) || !slices.ContainsFunc(invalid.Problems, func(p Problem) bool { return p.Path == c.path }) {
			t.Errorf("%s: %v; want a problem at %s", name, err, c.path)
		}
	}
}
