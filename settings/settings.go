// Package settings reads and checks the YAML settings file of one instance. A process reads the settings before it opens its
// listeners; of later changes to the file, only the discovery seeds take effect without a restart. The document that operators
// change at run time is read by package document. Apart from the standard library, the package imports only the YAML library.
package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

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

// TLS names the PEM files of one listener or client. Peer listeners and operators' clients need all three files; other
// listeners may omit Authority.
type TLS struct {
	Certificate string `yaml:"certificate"`
	Key         string `yaml:"key"`
	// Authority signs the certificates of the other side.
	Authority string `yaml:"authority"`
}

// Listener is an address with optional TLS.
type Listener struct {
	// Address is an IP address with a port. Host names are refused because a process must not depend on name resolution.
	Address string `yaml:"address"`
	// Advertise is the address at which other instances reach the listener; the default is Address. Only peer listeners use
	// it.
	Advertise string `yaml:"advertise"`
	TLS       *TLS   `yaml:"tls"`
	// Plaintext permits a peer listener without TLS, for networks that only instances of the cluster can reach. The default
	// is false.
	Plaintext bool `yaml:"plaintext"`
}

// AdvertisedAddress returns the address at which other instances reach the listener.
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

// Instance holds the settings that control replicas and gateways have in common: name, location and log level.
type Instance struct {
	// Name is unique in the cluster and is the common name of the instance's peer certificate.
	Name          string `yaml:"name"`
	Region        string `yaml:"region"`
	FailureDomain string `yaml:"failure_domain"`
	// LogLevel is debug, info, warn or error; the default is info.
	LogLevel string `yaml:"log_level"`
}

// Control holds the settings of a control replica.
type Control struct {
	Instance `yaml:",inline"`
	// Peer is the gRPC listener for replicas, gateways and operators; TLS is required unless Plaintext is set.
	Peer  Listener `yaml:"peer"`
	Admin Listener `yaml:"admin"`
	// DataFolder holds all files of the replica.
	DataFolder string `yaml:"data_folder"`
	// ToleratedDiskLosses is the number of replicas that may lose their data folders at the same time without a loss of what
	// was acknowledged. Silent voters are demoted only while enough remain for this, and nothing but reports of servers is
	// acknowledged before there are enough. With the default 0, three voters remain, and one replica is enough.
	ToleratedDiskLosses int `yaml:"tolerated_disk_losses"`
	// Peers lists every configured replica, including this one. It must be empty if Discovery is set.
	Peers []Replica `yaml:"peers"`
	// Discovery finds the replicas of the cluster without a list; nil if Peers is set.
	Discovery *Discovery `yaml:"discovery"`
	// Catalogue holds the settings for serving the catalogue of routes and backend servers; nil for clusters that only have a
	// document.
	Catalogue *ControlCatalogue `yaml:"catalogue"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Instance `yaml:",inline"`
	Callers  Listener `yaml:"callers"`
	Announce Listener `yaml:"announce"`
	// Peer is the gRPC listener for other gateways. Its TLS files also identify this gateway to control replicas.
	Peer  Listener `yaml:"peer"`
	Admin Listener `yaml:"admin"`
	// Control lists the control replicas, the nearest first. It must be empty if Discovery is set.
	Control []Replica `yaml:"control"`
	// Discovery finds the control replicas without a list; nil if Control is set.
	Discovery *Discovery `yaml:"discovery"`
	// Catalogue makes the gateway serve the catalogue of the control replicas instead of the document; nil for the
	// document.
	Catalogue *GatewayCatalogue `yaml:"catalogue"`
	// Metrics is an additional listener that serves only /metrics; by default there is none.
	Metrics Listener `yaml:"metrics"`
	// MaxRequests limits the requests in flight at this gateway; the default is 4096.
	MaxRequests int `yaml:"max_requests"`
	// DrainNoticeMs is the time in milliseconds from the first failing response of /readyz to the closing of the listeners, in
	// which the platform's load balancer stops sending; the default is 1000.
	DrainNoticeMs int `yaml:"drain_notice_ms"`
	// DrainSeconds limits how long shutdown waits for requests in flight; the default is 30.
	DrainSeconds int `yaml:"drain_seconds"`
	// GraceSeconds is the time from the signal to stop after which the process is killed. The drain ends before, and no
	// request is taken that may last longer. 0 means that nothing kills the process.
	GraceSeconds float64 `yaml:"grace_seconds"`
}

// Defaults for fields that are left out.
const (
	DefaultMaxRequests   = 4096
	DefaultDrainSeconds  = 30
	DefaultDrainNoticeMs = 1000
	DefaultLogLevel      = "info"
)

const (
	// maxToleratedDiskLosses is the largest permitted ToleratedDiskLosses.
	maxToleratedDiskLosses = 50
	// maxGraceSeconds is the longest permitted GraceSeconds.
	maxGraceSeconds = 3600
	// exitMargin is the time before the end of GraceSeconds that is left for the exit of the process.
	exitMargin = 400 * time.Millisecond
)

// DrainTime returns the time from the signal to stop until connections that are still open are closed.
func (g *Gateway) DrainTime() time.Duration {
	drain := time.Duration(g.DrainNoticeMs)*time.Millisecond + time.Duration(g.DrainSeconds)*time.Second
	if g.GraceSeconds == 0 {
		return drain
	}
	grace := time.Duration(g.GraceSeconds * float64(time.Second))
	return max(min(drain, grace-exitMargin), 0)
}

// ParseControl reads and checks the settings of a control replica. The error is an *InvalidError that lists every problem.
func ParseControl(file string, text []byte) (*Control, error) {
	s := &Control{}
	c, err := decode(file, text, s)
	if err != nil {
		return nil, err
	}
	c.checkInstance(&s.Instance)
	c.checkListener("peer", s.Peer, true)
	c.checkListener("admin", s.Admin, false)
	c.checkRequired("data_folder", s.DataFolder)
	if s.ToleratedDiskLosses < 0 || s.ToleratedDiskLosses > maxToleratedDiskLosses {
		c.addProblem("tolerated_disk_losses", fmt.Sprintf("expected a number from 0 to %d", maxToleratedDiskLosses))
	}
	c.checkReplicas("peers", s.Peers, s.Discovery)
	if s.Discovery == nil && !slices.ContainsFunc(s.Peers, func(p Replica) bool { return p.Name == s.Name }) {
		c.addProblem("peers", fmt.Sprintf("expected an entry for this instance, %q", s.Name))
	}
	c.checkControlCatalogue(s.Catalogue)
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// ParseGateway reads and checks the settings of a gateway. The error is an *InvalidError that lists every problem.
func ParseGateway(file string, text []byte) (*Gateway, error) {
	s := &Gateway{}
	c, err := decode(file, text, s)
	if err != nil {
		return nil, err
	}
	c.checkInstance(&s.Instance)
	c.checkListener("callers", s.Callers, false)
	c.checkListener("admin", s.Admin, false)
	if s.Catalogue == nil {
		c.checkListener("announce", s.Announce, false)
		c.checkListener("peer", s.Peer, true)
	}
	if s.Metrics.Address != "" {
		c.checkListener("metrics", s.Metrics, false)
	}
	c.checkReplicas("control", s.Control, s.Discovery)
	c.checkGatewayCatalogue(s.Catalogue)
	s.MaxRequests = c.intOrDefault("max_requests", s.MaxRequests, DefaultMaxRequests)
	s.DrainNoticeMs = c.intOrDefault("drain_notice_ms", s.DrainNoticeMs, DefaultDrainNoticeMs)
	s.DrainSeconds = c.intOrDefault("drain_seconds", s.DrainSeconds, DefaultDrainSeconds)
	if !(s.GraceSeconds >= 0 && s.GraceSeconds <= maxGraceSeconds) {
		c.addProblem("grace_seconds", "expected a number of seconds, an hour at most")
	}
	if err := c.err(); err != nil {
		return nil, err
	}
	return s, nil
}

// checker collects the problems of a settings file.
type checker struct {
	file     string
	root     *yaml.Node
	problems []Problem
}

// err returns *InvalidError with all problems, or nil if there are none.
func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	return &InvalidError{Problems: c.problems}
}

func (c *checker) addProblem(path, expected string) {
	line, column := position(c.root, path)
	c.problems = append(c.problems, Problem{File: c.file, Line: line, Column: column, Path: path, Expected: expected})
}

func (c *checker) checkRequired(path, value string) {
	if value == "" {
		c.addProblem(path, "expected a value")
	}
}

// expectedNumber describes the values of a numeric field; 0 selects the default.
const expectedNumber = "expected 0 or a positive number"

// intOrDefault returns fallback for 0, and reports negative values.
func (c *checker) intOrDefault(path string, value, fallback int) int {
	if value < 0 {
		c.addProblem(path, expectedNumber)
	}
	if value == 0 {
		return fallback
	}
	return value
}

func (c *checker) checkInstance(i *Instance) {
	c.checkRequired("name", i.Name)
	c.checkRequired("region", i.Region)
	c.checkRequired("failure_domain", i.FailureDomain)
	if i.LogLevel == "" {
		i.LogLevel = DefaultLogLevel
	}
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, i.LogLevel) {
		c.addProblem("log_level", "expected debug, info, warn or error")
	}
}

func (c *checker) checkAddress(path, value string) {
	if a, err := netip.ParseAddrPort(value); err != nil || a.Port() == 0 {
		c.addProblem(path, fmt.Sprintf("expected an IP address with a port, got %q", value))
	}
}

func (c *checker) checkListener(path string, l Listener, tlsRequired bool) {
	c.checkAddress(path+".address", l.Address)
	if l.Advertise != "" {
		c.checkAddress(path+".advertise", l.Advertise)
	}
	if l.TLS == nil {
		if tlsRequired && !l.Plaintext {
			c.addProblem(path+".tls", "expected certificate, key and authority")
		}
		return
	}
	c.checkRequired(path+".tls.certificate", l.TLS.Certificate)
	c.checkRequired(path+".tls.key", l.TLS.Key)
	if tlsRequired {
		c.checkRequired(path+".tls.authority", l.TLS.Authority)
	}
}

// checkReplicas checks that the control replicas are either listed or found by discovery, but not both.
func (c *checker) checkReplicas(path string, list []Replica, d *Discovery) {
	if d == nil {
		c.checkReplicaList(path, list)
		return
	}
	if len(list) > 0 {
		c.addProblem(path, "expected either this list or discovery")
	}
	c.checkDiscovery(d)
}

func (c *checker) checkReplicaList(path string, list []Replica) {
	if len(list) == 0 {
		c.addProblem(path, "expected at least one control replica")
	}
	seen := map[string]bool{}
	for i, p := range list {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		c.checkRequired(itemPath+".name", p.Name)
		c.checkAddress(itemPath+".address", p.Address)
		c.checkRequired(itemPath+".region", p.Region)
		c.checkRequired(itemPath+".failure_domain", p.FailureDomain)
		if seen[p.Name] {
			c.addProblem(itemPath+".name", fmt.Sprintf("expected each name once, got %q again", p.Name))
		}
		seen[p.Name] = true
	}
}
