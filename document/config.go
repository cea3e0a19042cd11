package document

import (
	"crypto/ed25519"
	"crypto/sha256"
	"maps"
	"slices"
	"strings"
	"time"
)

// IdempotencyKeyPolicy tells whether a request must carry an Idempotency-Key.
type IdempotencyKeyPolicy int

// Key policies.
const (
	// IdempotencyKeyUnused is the policy of idempotent rules: a key has no effect.
	IdempotencyKeyUnused IdempotencyKeyPolicy = iota
	// IdempotencyKeyRequired refuses requests without a key.
	IdempotencyKeyRequired
	// IdempotencyKeyOptional admits requests without a key; these are sent once and never retried unless provably not run.
	IdempotencyKeyOptional
)

// Config is a compiled document as gateways use it. It is immutable: nobody changes it or what it points to, so that
// any goroutine may read it.
type Config struct {
	// Members, Services and Regions are sorted by name.
	Members  []*Member
	Services []*Service
	Regions  []Region
	// MeasuringRateWithinRegion and MeasuringRateAcrossRegions limit the measurement traffic of one gateway, in bytes per
	// second, to its own region and to other regions.
	MeasuringRateWithinRegion  int64
	MeasuringRateAcrossRegions int64
	// DomainsOut lists the failure domains that are out, sorted.
	DomainsOut []string

	services map[string]*Service
	members  map[string]*Member
	callers  map[[32]byte]*Caller
	regionOf map[string]string
	routes   map[routeKey]*Rule
	// longest is the length in bytes of the longest path prefix.
	longest int
	owners  map[string]string
}

// Region is a region with its failure domains, sorted.
type Region struct {
	Name           string
	FailureDomains []string
}

// Member is an organisation that shares the setup.
type Member struct {
	Name string
	// MaxInFlight is the largest number of requests in flight at one gateway for all tenants together; 0 means no limit.
	MaxInFlight int
	// Tenants are sorted by name.
	Tenants []*Tenant

	// keys by signer (member or member/team) and key ID.
	keys map[keyName]ed25519.PublicKey
}

// Tenant is a customer of a member.
type Tenant struct {
	Member *Member
	Name   string
	Home   Regions
}

// ID returns MEMBER/TENANT.
func (t *Tenant) ID() string {
	return t.Member.Name + "/" + t.Name
}

// Caller is a program that sends requests for a tenant.
type Caller struct {
	Tenant *Tenant
	Name   string
}

// Service is a service that backend servers run.
type Service struct {
	Name  string
	Owner string
	// Credential is the SHA-256 hash of the credential that backend servers announce themselves with.
	Credential [32]byte
	// ClaimRegion is empty when no rule needs claims.
	ClaimRegion string
	// Workers is the expected number of backend servers; Slots and Connections are per backend server.
	Workers     int
	Slots       int
	Connections int
	Rules       []*Rule
}

// Rule tells how requests of one kind are treated.
type Rule struct {
	Service    *Service
	Name       string
	Methods    []string
	Path       string
	Idempotent bool
	KeyPolicy  IdempotencyKeyPolicy
	// Home, RunIn and KeepIn are the regions of the rule alone; Placement gives those of a request.
	Home     Regions
	RunIn    Regions
	KeepIn   Regions
	Deadline time.Duration
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// Hedge admits a second attempt while the first one is slow; only in idempotent rules.
	Hedge bool

	placements map[*Tenant]Placement
}

// Placement tells where a request may be. RunIn and KeepIn are within Home.
type Placement struct {
	// Home are the only regions in which the request may be served, sent through or stored.
	Home Regions
	// RunIn are the regions whose backend servers may run the request.
	RunIn Regions
	// KeepIn are the regions in which a claim and a kept answer may be stored.
	KeepIn Regions
}

type routeKey struct {
	method string
	prefix string
}

type keyName struct {
	signer string
	id     string
}

// Placement returns where a request of the tenant may be; false when the rule does not admit the tenant. The tenant
// must come from the same Config.
func (r *Rule) Placement(t *Tenant) (Placement, bool) {
	p, ok := r.placements[t]
	return p, ok
}

// MatchRule returns the rule with the longest path prefix among those for the method. A prefix matches whole segments:
// /labels matches /labels and /labels/7, not /labelset. path is the decoded path of the URL. Paths with empty, . or ..
// segments match no rule, because a backend server could take them for another path.
func (c *Config) MatchRule(method, path string) (*Rule, bool) {
	if !cleanPath(path) {
		return nil, false
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if end > c.longest {
			continue
		}
		if r, ok := c.routes[routeKey{method, path[:end]}]; ok {
			return r, true
		}
	}
	r, ok := c.routes[routeKey{method, "/"}]
	return r, ok
}

// cleanPath admits a single / at the end.
func cleanPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\\x00") {
		return false
	}
	if path == "/" {
		return true
	}
	for segment := range strings.SplitSeq(strings.TrimSuffix(path[1:], "/"), "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// CallerByToken returns the caller with a bearer token. The table is keyed by the hash of the token, so the time of the
// look-up tells nothing about other tokens.
func (c *Config) CallerByToken(token string) (*Caller, bool) {
	caller, ok := c.callers[sha256.Sum256([]byte(token))]
	return caller, ok
}

// Service returns a service by name.
func (c *Config) Service(name string) (*Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Member returns a member by name.
func (c *Config) Member(name string) (*Member, bool) {
	m, ok := c.members[name]
	return m, ok
}

// HasRegion tells whether the topology has a region.
func (c *Config) HasRegion(name string) bool {
	return slices.ContainsFunc(c.Regions, func(r Region) bool { return r.Name == name })
}

// RegionOf returns the region of a failure domain.
func (c *Config) RegionOf(domain string) (string, bool) {
	region, ok := c.regionOf[domain]
	return region, ok
}

// IsDomainOut tells whether a failure domain is out.
func (c *Config) IsDomainOut(domain string) bool {
	_, found := slices.BinarySearch(c.DomainsOut, domain)
	return found
}

// WithDomainsOut returns a Config that differs in the failure domains that are out.
func (c *Config) WithDomainsOut(domains []string) *Config {
	next := *c
	next.DomainsOut = slices.Sorted(slices.Values(domains))
	return &next
}

// SectionOwner returns the owner of a section: member or member/team.
func (c *Config) SectionOwner(section string) (string, bool) {
	owner, ok := c.owners[section]
	return owner, ok
}

// PublicKey returns a key of a signer, which is a member or member/team.
func (c *Config) PublicKey(signer, keyID string) (ed25519.PublicKey, bool) {
	member, _, _ := strings.Cut(signer, "/")
	m, ok := c.members[member]
	if !ok {
		return nil, false
	}
	key, ok := m.keys[keyName{signer, keyID}]
	return key, ok
}

// MemberNames returns the names of all members, sorted.
func (c *Config) MemberNames() []string {
	return slices.Sorted(maps.Keys(c.members))
}
