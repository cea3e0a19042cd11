package routes

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"heatherwall.example/api/controlpb"
	"heatherwall.example/document"
)

// Defaults of a route that leaves a field out.
const (
	defaultAttempts = 2
	// defaultBodyBytes is the largest request body where the table names none.
	defaultBodyBytes = 64 << 20
)

// Table is a compiled route table. It is immutable, so that any goroutine may read it.
type Table struct {
	Version  uint64
	Services map[string]*Service
	Limits   Limits
	// byHost holds the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// Limits bounds what callers may send. Fields are 0 where the table names no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Service is a service of the table.
type Service struct {
	Name string
	// HealthPath is the path of the health check on each backend server.
	HealthPath string
	// MaxConnections is what a backend server accepts from all gateways together; 0 for no limit.
	MaxConnections int
	// ColdTime is the length of a cold start.
	ColdTime time.Duration
	// ColdRate is the number of requests per second that a backend server in cold start bears; 0 for no limit.
	ColdRate float64
}

// Route admits requests by host and path prefix.
type Route struct {
	Name   string
	Prefix string
	// Target is the time within which an answer is of full use; 0 for none.
	Target time.Duration
	// MaxAttempts is the largest number of backend servers that one request may be sent to.
	MaxAttempts int
	shares      []share
	total       float64
}

// share is the part of a route's requests that goes to one service.
type share struct {
	weight float64
	rule   *document.Rule
}

// Compile turns a valid table into what the request path uses. The error is an *InvalidError.
func Compile(t *controlpb.RouteTable) (*Table, error) {
	if err := Validate(t); err != nil {
		return nil, err
	}
	c := &Table{Version: t.GetVersion(), Services: map[string]*Service{}, Limits: compileLimits(t.GetLimits()), byHost: map[string][]*Route{}}
	for _, s := range t.GetServices() {
		c.Services[s.GetName()] = &Service{
			Name: s.GetName(), HealthPath: s.GetHealthPath(), MaxConnections: int(s.GetMaxConnections()),
			ColdTime: time.Duration(s.GetColdMs()) * time.Millisecond, ColdRate: s.GetColdRate(),
		}
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
		HeaderBytes: int(l.GetMaxHeaderBytes()), BodyBytes: int64(l.GetMaxBodyBytes()),
		HeaderTimeout: time.Duration(l.GetHeaderTimeoutMs()) * time.Millisecond,
		IdleTimeout:   time.Duration(l.GetIdleTimeoutMs()) * time.Millisecond,
	}
}

func (c *Table) compileRoute(r *controlpb.Route) *Route {
	compiled := &Route{
		Name: r.GetName(), Prefix: r.GetPathPrefix(), Target: time.Duration(r.GetLatencyTargetMs()) * time.Millisecond,
		MaxAttempts: cmp.Or(int(r.GetMaxAttempts()), defaultAttempts),
	}
	for _, s := range r.GetShares() {
		if s.GetWeight() == 0 {
			continue
		}
		compiled.total += s.GetWeight()
		compiled.shares = append(compiled.shares, share{weight: s.GetWeight(), rule: c.compileRule(r, s.GetService())})
	}
	return compiled
}

// compileRule gives the rule by which requests of a route run at one service.
func (c *Table) compileRule(r *controlpb.Route, service string) *document.Rule {
	run := document.AnyRegion()
	if len(r.GetRegions()) > 0 {
		run = document.Regions{Names: slices.Sorted(slices.Values(r.GetRegions()))}
	}
	key := document.IdempotencyKeyUnused
	if !r.GetIdempotent() {
		key = document.IdempotencyKeyOptional
	}
	return &document.Rule{
		Service: &document.Service{Name: service, Connections: c.Services[service].MaxConnections},
		Name:    r.GetName(), Path: r.GetPathPrefix(), Idempotent: r.GetIdempotent(), KeyPolicy: key, RunIn: run,
		Deadline:     time.Duration(r.GetTimeoutMs()) * time.Millisecond,
		MaxBodyBytes: cmp.Or(c.Limits.BodyBytes, defaultBodyBytes),
	}
}

// Match returns the route of a host whose prefix is the longest that begins the path. The host may carry a port.
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

// Rule returns the rule for one request of the route; random is uniformly distributed from 0 up to but not including 1.
func (r *Route) Rule(random float64) *document.Rule {
	at := random * r.total
	for _, s := range r.shares {
		if at < s.weight {
			return s.rule
		}
		at -= s.weight
	}
	return r.shares[len(r.shares)-1].rule
}
