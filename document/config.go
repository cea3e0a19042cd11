package document

import (
	"crypto/ed25519"
	"maps"
	"slices"
	"strings"
	"time"
)

// IdempotencyKeyPolicy defines whether a request must carry an Idempotency-Key header.
type IdempotencyKeyPolicy int

// Idempotency key policies.
const (
	// IdempotencyKeyUnused is the policy of idempotent rules: a key has no effect.
	IdempotencyKeyUnused IdempotencyKeyPolicy = iota
	// IdempotencyKeyRequired refuses requests without a key.
	IdempotencyKeyRequired
	// IdempotencyKeyOptional admits requests without a key; such a request is retried only if it provably did not run.
	IdempotencyKeyOptional
)

// Config is a compiled document in the form that gateways use. A Config and everything that it points to are immutable,
// so that it is safe for concurrent use.
type Config struct {
	// Members, Services and Regions are sorted by name.
	Members  []*Member
	Services []*Service
	Regions  []Region
	// MeasuringRateWithinRegion and MeasuringRateAcrossRegions limit the measurement traffic of one gateway, in bytes per
	// second, to its own region and to other regions.
	MeasuringRateWithinRegion  int64
	MeasuringRateAcrossRegions int64
	// DomainsOut lists the failure domains that operators took out of service, sorted.
	DomainsOut []string

	services map[string]*Service
	members  map[string]*Member
	callers  Callers
	regionOf map[string]string
	routes   map[routeKey]*Rule
	// longestPrefix is the length of the longest path prefix in bytes.
	longestPrefix int
	ownerOf       map[string]string
}

// Region is a region with its failure domains, which are sorted.
type Region struct {
	Name           string
	FailureDomains []string
}

// Member is an organisation that shares the cluster with other members.
type Member struct {
	Name string
	// MaxInFlight is the largest number of requests in flight at one gateway for all tenants together; 0 means no limit.
	MaxInFlight int
	// Tenants are sorted by name.
	Tenants []*Tenant

	// keys holds the public keys by signer (member or member/team) and key ID.
	keys map[signerKeyID]ed25519.PublicKey
}

// Tenant is a customer: of a member in a document, and a workspace in a route table.
type Tenant struct {
	Member *Member
	Name   string
	Home   Regions
	// IsLimited is set if the tenant has a quota over all gateways.
	IsLimited bool
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
	// ClaimRegion is the region that stores the claims; it may be empty if no rule needs claims.
	ClaimRegion string
	// Workers is the expected number of backend servers; Slots and Connections are per backend server.
	Workers     int
	Slots       int
	Connections int
	Rules       []*Rule
}

// Rule defines how requests with one of its methods and its path prefix are handled.
type Rule struct {
	Service    *Service
	Name       string
	Methods    []string
	Path       string
	Idempotent bool
	KeyPolicy  IdempotencyKeyPolicy
	// Home, RunIn and KeepIn are the regions of the rule before they are restricted to the home regions of a tenant;
	// the method Placement returns the restricted ones.
	Home         Regions
	RunIn        Regions
	KeepIn       Regions
	Deadline     time.Duration
	MaxBodyBytes int64
	// Hedge allows a second attempt while the first one is slow; only in idempotent rules.
	Hedge bool

	placements map[*Tenant]Placement
}

// Placement defines in which regions a request may be handled. RunIn and KeepIn are subsets of Home.
type Placement struct {
	// Home are the only regions in which the request may be served, forwarded or stored.
	Home Regions
	// RunIn are the regions whose backend servers may run the request.
	RunIn Regions
	// KeepIn are the regions in which the claim of the request and its complete response may be stored.
	KeepIn Regions
}

type routeKey struct {
	method string
	prefix string
}

type signerKeyID struct {
	signer string
	id     string
}

// Placement returns the placement of requests of the tenant; false if the rule does not admit the tenant. The tenant
// must come from the same Config as the rule.
func (r *Rule) Placement(t *Tenant) (Placement, bool) {
	p, ok := r.placements[t]
	return p, ok
}

// MatchRule returns the rule with the longest matching path prefix among the rules for the method. A prefix matches
// whole segments: /labels matches /labels and /labels/7, not /labelset. path is the decoded path of the URL. Paths with
// empty, . or .. segments match no rule, because a backend server could resolve them to another path.
func (c *Config) MatchRule(method, path string) (*Rule, bool) {
	if !isCleanPath(path) {
		return nil, false
	}
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if end > c.longestPrefix {
			continue
		}
		if r, ok := c.routes[routeKey{method, path[:end]}]; ok {
			return r, true
		}
	}
	r, ok := c.routes[routeKey{method, "/"}]
	return r, ok
}

// isCleanPath reports whether the path is absolute and has no backslash, no NUL byte and no empty, . or .. segment. A
// single / at the end is allowed.
func isCleanPath(path string) bool {
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

// CallerByToken returns the caller with a bearer token.
func (c *Config) CallerByToken(token string) (*Caller, bool) { return c.callers.ByToken(token) }

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

// HasRegion reports whether the topology has a region.
func (c *Config) HasRegion(name string) bool {
	return slices.ContainsFunc(c.Regions, func(r Region) bool { return r.Name == name })
}

// RegionOf returns the region of a failure domain.
func (c *Config) RegionOf(domain string) (string, bool) {
	region, ok := c.regionOf[domain]
	return region, ok
}

// IsDomainOut reports whether operators took a failure domain out of service.
func (c *Config) IsDomainOut(domain string) bool {
	_, found := slices.BinarySearch(c.DomainsOut, domain)
	return found
}

// WithDomainsOut returns a copy of the Config in which exactly these failure domains are out of service.
func (c *Config) WithDomainsOut(domains []string) *Config {
	next := *c
	next.DomainsOut = slices.Sorted(slices.Values(domains))
	return &next
}

// SectionOwner returns the owner of a section: member or member/team.
func (c *Config) SectionOwner(section string) (string, bool) {
	owner, ok := c.ownerOf[section]
	return owner, ok
}

// PublicKey returns the public key with this ID of a signer, which is a member or member/team.
func (c *Config) PublicKey(signer, keyID string) (ed25519.PublicKey, bool) {
	member, _, _ := strings.Cut(signer, "/")
	m, ok := c.members[member]
	if !ok {
		return nil, false
	}
	key, ok := m.keys[signerKeyID{signer, keyID}]
	return key, ok
}

// MemberNames returns the names of all members, sorted.
func (c *Config) MemberNames() []string {
	return slices.Sorted(maps.Keys(c.members))
}
