package settings

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const validGateway = `name: gw-1
region: finistere
failure_domain: finistere-a
callers: {address: "127.0.0.1:8080"}
announce: {address: "127.0.0.1:8081"}
peer: {address: "127.0.0.1:8082", tls: {certificate: c.pem, key: k.pem, authority: a.pem}}
admin: {address: "127.0.0.1:8083"}
control:
  - {name: c1, address: "127.0.0.1:7001", region: finistere, failure_domain: finistere-a}
`

// Guards against missing defaults and valid files that are refused.
func TestParseGatewayDefaults(t *testing.T) {
	s, err := ParseGateway("gw.yaml", []byte(validGateway))
	if err != nil {
		t.Fatal(err)
	}
	if s.MaxRequests != DefaultMaxRequests || s.LogLevel != DefaultLogLevel || s.Control[0].Name != "c1" {
		t.Fatalf("settings: %+v", s)
	}
}

// Guards against a number that is accepted although the text of the check refuses it.
func TestZeroSelectsTheDefault(t *testing.T) {
	s, err := ParseGateway("gw.yaml", []byte(validGateway+"max_requests: 0\n"))
	if err != nil || s.MaxRequests != DefaultMaxRequests {
		t.Fatalf("settings %+v, %v; want the default", s, err)
	}
}

// Guards against a check that stops at the first mistake or reports a wrong position.
func TestParseGatewayReportsEveryMistake(t *testing.T) {
	text := strings.NewReplacer(
		`"127.0.0.1:8080"`, `"localhost:8080"`,
		"region: finistere\nfailure", "regoin: finistere\nfailure",
		"name: c1, ", "",
	).Replace(validGateway) + "max_requests: -1\n"
	_, err := ParseGateway("gw.yaml", []byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	want := []string{
		"gw.yaml:1:1: region: expected a value",
		"gw.yaml:2:1: regoin: unknown field",
		`gw.yaml:4:20: callers.address: expected an IP address with a port, got "localhost:8080"`,
		"gw.yaml:9:5: control[0].name: expected a value",
		"gw.yaml:10:15: max_requests: expected 0 or a positive number",
	}
	if got := invalid.Error(); got != strings.Join(want, "\n") {
		t.Fatalf("got:\n%s\nwant:\n%s", got, strings.Join(want, "\n"))
	}
}

// Guards against a replica that is accepted although it is missing from its own list of peers or has no TLS.
func TestParseControlRequiresOwnEntryAndTLS(t *testing.T) {
	_, err := ParseControl("c.yaml", []byte(`name: c1
region: r
failure_domain: d
peer: {address: "127.0.0.1:7001"}
admin: {address: "127.0.0.1:7002"}
data_folder: data
peers:
  - {name: c2, address: "127.0.0.1:7003", region: r, failure_domain: d}
`))
	if err == nil || !strings.Contains(err.Error(), "peer.tls") || !strings.Contains(err.Error(), `entry for this instance, "c1"`) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a number of tolerated losses that no group can satisfy, or that a template leaves empty.
func TestToleratedDiskLosses(t *testing.T) {
	const text = `name: c1
region: r
failure_domain: d
peer: {address: "127.0.0.1:7001", plaintext: true}
admin: {address: "127.0.0.1:7002"}
data_folder: data
peers:
  - {name: c1, address: "127.0.0.1:7001", region: r, failure_domain: d}
`
	for line, want := range map[string]int{"": 0, "tolerated_disk_losses: 2": 2, "tolerated_disk_losses:": 0} {
		if s, err := ParseControl("c.yaml", []byte(text+line)); err != nil || s.ToleratedDiskLosses != want {
			t.Errorf("%q: %+v, %v; want %d", line, s, err, want)
		}
	}
	for _, line := range []string{"tolerated_disk_losses: -1", "tolerated_disk_losses: 51"} {
		if _, err := ParseControl("c.yaml", []byte(text+line)); err == nil || !strings.Contains(err.Error(), "tolerated_disk_losses") {
			t.Errorf("%q: %v", line, err)
		}
	}
}

// Guards against a drain that lasts longer than the process may run after the signal to stop.
func TestDrainTimeStaysWithinTheGraceTime(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"drain_notice_ms: 2000\ndrain_seconds: 3\n":                    5 * time.Second,
		"drain_notice_ms: 2000\ndrain_seconds: 3\ngrace_seconds: 10\n": 5 * time.Second,
		"drain_notice_ms: 2000\ngrace_seconds: 6\n":                    6*time.Second - exitMargin,
		"grace_seconds: 0.1\n":                                         0,
	} {
		s, err := ParseGateway("gw.yaml", []byte(validGateway+text))
		if err != nil || s.DrainTime() != want {
			t.Errorf("%q: %v, %v; want %v", text, s.DrainTime(), err, want)
		}
	}
	for _, bad := range []string{"-1", "3601", ".nan"} {
		if _, err := ParseGateway("gw.yaml", []byte(validGateway+"grace_seconds: "+bad+"\n")); err == nil {
			t.Errorf("grace_seconds %s was accepted", bad)
		}
	}
}
