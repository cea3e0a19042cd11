package routes

import (
	"cmp"
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// Defaults for fields that a table leaves out.
const (
	defaultAttempts = 2
	// defaultMaxBodyBytes is the largest permitted request body.
	defaultMaxBodyBytes = 64 << 20
)

// Table is a compiled route table. It is immutable and therefore safe for concurrent use.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// KeysRequired is set if requests need the key of a workspace, except on public routes.
	KeysRequired bool
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
	// workspaces holds the workspaces by name, and callers by their keys.
	workspaces map[string]*document.Caller
	callers    document.Callers
}

// Limits limits the requests and connections of callers. A field is 0 if the table sets no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a service of the table, with the settings of its backend servers.
type Service struct {
	Name string
	// HealthPath is the path of the health check on each backend server.
	HealthPath string
	// MaxConnections is the number of connections that a backend server accepts from all gateways together; 0 for no limit.
	MaxConnections int
	// ColdRate is the number of requests per second that a backend server in cold start can handle; 0 for no limit.
	ColdRate float64
}

// Route admits the requests to its host whose path begins with its prefix, and divides them among services by weight.
type Route struct {
	Name   string
	Prefix string
	// LatencyTarget is the latency up to which a response has its full value to the caller; 0 for none.
	LatencyTarget time.Duration
	// MaxAttempts is the largest number of backend servers to which one request may be sent.
	MaxAttempts int
	// Public is set if requests need no key.
	Public      bool
	shares      []share
	totalWeight float64
}

// share is the fraction of a route's requests that goes to one service.
type share struct {
	weight float64
	rule   *document.Rule
}

// Compile validates a table and converts it to the form that the request path uses. The error is an *InvalidError.
func Compile(t *controlpb.RouteTable) (*Table, error) {
	if err := Validate(t); err != nil {
		return nil, err
	}
	c := &Table{
		Version: t.GetVersion(), Services: map[string]*Service{}, Limits: compileLimits(t.GetLimits()), KeysRequired: t.GetKeysRequired(),
		byHost: map[string][]*Route{}, workspaces: map[string]*document.Caller{}, callers: document.Callers{},
	}
	for _, s := range t.GetServices() {
		c.Services[s.GetName()] = &Service{
			Name: s.GetName(), HealthPath: s.GetHealthPath(), MaxConnections: int(s.GetMaxConnections()), ColdRate: s.GetColdRate(),
		}
	}
	for _, w := range t.GetWorkspaces() {
		c.addWorkspace(w)
	}
	for _, r := range t.GetRoutes() {
		host := strings.ToLower(r.GetHost())
		c.byHost[host] = append(c.byHost[host], c.compileRoute(r))
	}
	for _, list := range c.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

func compileLimits(l *controlpb.CallerLimits) Limits {
	return Limits{
		HeaderBytes: int(l.GetMaxHeaderBytes()), BodyBytes: int64(min(l.GetMaxBodyBytes(), math.MaxInt64)),
		HeaderTimeout: time.Duration(l.GetHeaderTimeoutMs()) * time.Millisecond,
		IdleTimeout:   time.Duration(l.GetIdleTimeoutMs()) * time.Millisecond,
	}
}

func (c *Table) compileRoute(r *controlpb.Route) *Route {
	compiled := &Route{
		Name: r.GetName(), Prefix: r.GetPathPrefix(), LatencyTarget: time.Duration(r.GetLatencyTargetMs()) * time.Millisecond,
		MaxAttempts: cmp.Or(int(r.GetMaxAttempts()), defaultAttempts), Public: r.GetPublic(),
	}
	largest := 0.0
	for _, s := range r.GetShares() {
		largest = max(largest, s.GetWeight())
	}
	for _, s := range r.GetShares() {
		if s.GetWeight() == 0 {
			continue
		}
		weight := s.GetWeight() / largest // the sum of large weights may overflow
		compiled.totalWeight += weight
		compiled.shares = append(compiled.shares, share{weight: weight, rule: c.compileRule(r, s.GetService())})
	}
	return compiled
}

// compileRule returns the rule for the requests of a route that go to one service.
func (c *Table) compileRule(r *controlpb.Route, service string) *document.Rule {
	key := document.IdempotencyKeyUnused
	if !r.GetIdempotent() {
		key = document.IdempotencyKeyOptional
	}
	return &document.Rule{
		Service: &document.Service{Name: service, Connections: c.Services[service].MaxConnections},
		Name:    r.GetName(), Path: r.GetPathPrefix(), Idempotent: r.GetIdempotent(), KeyPolicy: key, RunIn: compileRegions(r.GetRegions()),
		Deadline:     time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		MaxBodyBytes: c.MaxBodyBytes(),
	}
}

// MaxBodyBytes returns the largest permitted request body.
func (c *Table) MaxBodyBytes() int64 { return cmp.Or(c.Limits.BodyBytes, defaultMaxBodyBytes) }

// compileRegions returns the set of regions; an empty list means all.
func compileRegions(names []string) document.Regions {
	if len(names) == 0 {
		return document.AnyRegion()
	}
	return document.Regions{Names: slices.Sorted(slices.Values(names))}
}

// Match returns the route of a host with the longest prefix that the path begins with. The host may include a port.
func (c *Table) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// ChooseRule chooses a service for one request by weight, and returns the rule for it. random is uniformly distributed in
// [0, 1).
func (r *Route) ChooseRule(random float64) *document.Rule {
	at := random * r.totalWeight
	for _, s := range r.shares {
		if at < s.weight {
			return s.rule
		}
		at -= s.weight
	}
	return r.shares[len(r.shares)-1].rule
}
