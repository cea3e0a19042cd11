package gateway

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// view is the compiled configuration as the request path uses it. It is immutable.
type view struct {
	callers  map[[sha256.Size]byte]caller
	services map[string]*service
	// withinBytes and acrossBytes are the measuring budget in bytes/s inside a region and between regions.
	withinBytes int64
	acrossBytes int64
}

// caller is the owner of a bearer token.
type caller struct {
	member string
	tenant string
	// homeRegions is empty when the tenant has none of its own.
	homeRegions []string
}

type service struct {
	name       string
	credential [sha256.Size]byte
	// claimRegion holds the claims of the service's non-idempotent requests.
	claimRegion string
	rules       []*rule
}

type rule struct {
	name        string
	service     *service
	methods     []string // empty for all
	prefix      string
	callers     []string // member/tenant or member/*
	idempotent  bool
	keyOptional bool
	runIn       []string
	keepIn      []string
	homeRegions []string // empty for all
	deadline    time.Duration
	maxBody     int64         // bytes
	hedge       time.Duration // 0 for no hedging
}

// match returns the rule with the longest matching path prefix; name limits the search to one service, "" does not.
func (v *view) match(name, method, path string) *rule {
	var best *rule
	for _, s := range v.services {
		if name != "" && s.name != name {
			continue
		}
		for _, r := range s.rules {
			if r.matches(method, path) && r.precedes(best) {
				best = r
			}
		}
	}
	return best
}

func (r *rule) matches(method, path string) bool {
	if len(r.methods) > 0 && !slices.Contains(r.methods, method) {
		return false
	}
	rest, ok := strings.CutPrefix(path, r.prefix)
	return ok && (rest == "" || strings.HasSuffix(r.prefix, "/") || rest[0] == '/')
}

// precedes orders rules by prefix length, then by service and name, so that the choice does not depend on map order.
func (r *rule) precedes(other *rule) bool {
	if other == nil {
		return true
	}
	if len(r.prefix) != len(other.prefix) {
		return len(r.prefix) > len(other.prefix)
	}
	if r.service.name != other.service.name {
		return r.service.name < other.service.name
	}
	return r.name < other.name
}

func (r *rule) admits(c caller) bool {
	return slices.Contains(r.callers, c.member+"/"+c.tenant) || slices.Contains(r.callers, c.member+"/*")
}

// allowedRegions returns the only regions where the request may be served, sent and stored; all is true when there is
// no restriction.
func (r *rule) allowedRegions(c caller) (regions []string, all bool) {
	regions = intersect(r.homeRegions, c.homeRegions)
	all = len(r.homeRegions) == 0 && len(c.homeRegions) == 0
	return regions, all
}

// intersect treats an empty list as no restriction.
func intersect(a, b []string) []string {
	if len(a) == 0 {
		return b
	}
	if len(b) == 0 {
		return a
	}
	var both []string
	for _, x := range a {
		if slices.Contains(b, x) {
			both = append(both, x)
		}
	}
	return both
}
