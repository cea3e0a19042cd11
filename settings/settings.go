// Package settings reads and checks the YAML settings of one instance. They are static: a process reads them once,
// before it listens. The document that operators change is a different thing (package document). The package imports
// only the YAML library.
package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is one mistake in a settings file.
type Problem struct {
	File     string
	Line     int
	Column   int
	Path     string // field, for example peers[1].address
	Expected string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Path, p.Expected)
}

// InvalidError lists every problem of a settings file, in the order of lines.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// TLS names the PEM files of one listener or client. All three are set together.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority signs the certificates of the other side.
	Authority string `yaml:"authority"`
}

// Listener is an address with optional TLS.
type Listener struct {
	// Address is an IP number with a port; host names are refused because a process must not depend on name service.
	Address string `yaml:"address"`
	// Advertise is the address under which others reach the listener; the default is Address. Only peer listeners use it.
	Advertise string `yaml:"advertise"`
	TLS       *TLS   `yaml:"tls"`
	// Plaintext permits a peer listener without TLS, on networks that only instances of the setup can reach. The default
	// is false.
	Plaintext bool `yaml:"plaintext"`
}

// AdvertisedAddress is the address under which others reach the listener.
func (l Listener) AdvertisedAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Address
}

// Replica is one control replica.
type Replica struct {
	Name          string `yaml:"name"`
	Address       string `yaml:"address"`
	Region        string `yaml:"region"`
	FailureDomain string `yaml:"failure_domain"`
}

// Instance holds what every process needs to know of its place.
type Instance struct {
	// Name is unique in the setup and equals the common name of the peer certificate.
	Name          string `yaml:"name"`
	Region        string `yaml:"region"`
	FailureDomain string `yaml:"failure_domain"`
	// LogLevel is debug, info, warn or error; the default is info.
	LogLevel string `yaml:"log_level"`
}

// Control holds the settings of a control replica.
type Control struct {
	Instance `yaml:",inline"`
	// Peer is the gRPC listener for replicas, gateways and operators; TLS is required.
	Peer  Listener `yaml:"peer"`
	Admin Listener `yaml:"admin"`
	// DataFolder holds all files of the replica.
	DataFolder string `yaml:"data_folder"`
	// Peers lists every configured replica, this one included. It is left out where Discovery is set.
	Peers []Replica `yaml:"peers"`
	// Discovery finds the replicas of a setup without a list; nil where Peers is set.
	Discovery *Discovery `yaml:"discovery"`
	// Catalogue serves the catalogue of routes and backend servers; nil for setups that have a document only.
	Catalogue *ControlCatalogue `yaml:"catalogue"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Instance `yaml:",inline"`
	Callers  Listener `yaml:"callers"`
	Announce Listener `yaml:"announce"`
	// Peer is the gRPC listener for other gateways and the client identity towards control replicas.
	Peer  Listener `yaml:"peer"`
	Admin Listener `yaml:"admin"`
	// Control lists the control replicas, the nearest first. It is left out where Discovery is set.
	Control []Replica `yaml:"control"`
	// Discovery finds the control replicas without a list; nil where Control is set.
	Discovery *Discovery `yaml:"discovery"`
	// Catalogue makes the gateway serve the catalogue of the control replicas instead of the document; nil for the
	// document.
	Catalogue *GatewayCatalogue `yaml:"catalogue"`
	// Metrics is a further listener for /metrics alone; it is left out by default.
	Metrics Listener `yaml:"metrics"`
	// MaxRequests limits the requests in flight at this gateway; the default is 4096.
	MaxRequests int `yaml:"max_requests"`
	// DrainNoticeMs is the time in milliseconds between the failure of /readyz and the closing of the listeners, in which
	// the platform's balancer stops sending; the default is 1000.
	DrainNoticeMs int `yaml:"drain_notice_ms"`
	// DrainSeconds limits how long a stop waits for requests in flight; the default is 30.
	DrainSeconds int `yaml:"drain_seconds"`
}

// Defaults for fields that are left out.
const (
	DefaultMaxRequests   = 4096
	DefaultDrainSeconds  = 30
	DefaultDrainNoticeMs = 1000
	DefaultLogLevel      = "info"
)

// ParseControl reads the settings of a control replica. Mistakes give *InvalidError with all of them.
func ParseControl(file string, text []byte) (*Control, error) {
	s := &Control{}
	c, err := decode(file, text, s)
	if err != nil {
		return nil, err
	}
	c.instance(&s.Instance)
	c.listener("peer", s.Peer, true)
	c.listener("admin", s.Admin, false)
	c.required("data_folder", s.DataFolder)
	c.replicas("peers", s.Peers, s.Discovery)
	if s.Discovery == nil && !slices.ContainsFunc(s.Peers, func(p Replica) bool { return p.Name == s.Name }) {
		c.add("peers", fmt.Sprintf("expected an entry for this instance, %q", s.Name))
	}
	c.controlCatalogue(s.Catalogue)
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseGateway reads the settings of a gateway. Mistakes give *InvalidError with all of them.
func ParseGateway(file string, text []byte) (*Gateway, error) {
	s := &Gateway{}
	c, err := decode(file, text, s)
	if err != nil {
		return nil, err
	}
	c.instance(&s.Instance)
	c.listener("callers", s.Callers, false)
	c.listener("admin", s.Admin, false)
	if s.Catalogue == nil {
		c.listener("announce", s.Announce, false)
		c.listener("peer", s.Peer, true)
	}
	if s.Metrics.Address != "" {
		c.listener("metrics", s.Metrics, false)
	}
	c.replicas("control", s.Control, s.Discovery)
	c.gatewayCatalogue(s.Catalogue)
	s.MaxRequests = c.positive("max_requests", s.MaxRequests, DefaultMaxRequests)
	s.DrainNoticeMs = c.positive("drain_notice_ms", s.DrainNoticeMs, DefaultDrainNoticeMs)
	s.DrainSeconds = c.positive("drain_seconds", s.DrainSeconds, DefaultDrainSeconds)
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

type checker struct {
	file     string
	root     *yaml.Node
	problems []Problem
}

func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return &InvalidError{Problems: c.problems}
}

func (c *checker) add(path, expected string) {
	line, column := position(c.root, path)
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Column: column, Path: path, Expected: expected})
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.add(path, "expected a value")
	}
}

func (c *checker) positive(path string, value, fallback int) int {
	if value < 0 {
		c.add(path, "expected a positive number")
	}
	if value == 0 {
		return fallback
	}
	return value
}

func (c *checker) instance(i *Instance) {
	c.required("name", i.Name)
	c.required("region", i.Region)
	c.required("failure_domain", i.FailureDomain)
	if i.LogLevel == "" {
		i.LogLevel = DefaultLogLevel
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, i.LogLevel) {
		c.add("log_level", "expected debug, info, warn or error")
	}
}

func (c *checker) address(path, value string) {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		c.add(path, fmt.Sprintf("expected an IP number with a port, got %q", value))
	}
}

func (c *checker) listener(path string, l Listener, tlsRequired bool) {
	c.address(path+".address", l.Address)
	if l.Advertise != "" {
		c.address(path+".advertise", l.Advertise)
	}
	if l.TLS == nil {
		if tlsRequired && !l.Plaintext {
			c.add(path+".tls", "expected certificate, key and authority")
		}
		return
	}
	c.required(path+".tls.certificate", l.TLS.Certificate)
	c.required(path+".tls.key", l.TLS.Key)
	if tlsRequired {
		c.required(path+".tls.authority", l.TLS.Authority)
	}
}

// replicas checks that the control replicas are either listed or found by discovery.
func (c *checker) replicas(path string, list []Replica, d *Discovery) {
	if d == nil {
		c.peers(path, list)
		return
	}
	if len(list) > 0 {
		c.add(path, "expected either this list or discovery")
	}
	c.discovery(d)
}

func (c *checker) peers(path string, peers []Replica) {
	if len(peers) == 0 {
		c.add(path, "expected at least one control replica")
	}
	seen := map[string]bool{}
	for i, p := range peers {
		at := fmt.Sprintf("%s[%d]", path, i)
		c.required(at+".name", p.Name)
		c.address(at+".address", p.Address)
		c.required(at+".region", p.Region)
		c.required(at+".failure_domain", p.FailureDomain)
		if seen[p.Name] {
			c.add(at+".name", fmt.Sprintf("expected each name once, got %q again", p.Name))
		}
		seen[p.Name] = true
	}
}
