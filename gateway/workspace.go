package gateway

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"heatherwall.example/document"
	"heatherwall.example/gateway/tokens"
)

// anyCaller is the caller of requests without a workspace.
var anyCaller = &document.Caller{Tenant: &document.Tenant{Member: &document.Member{}, Home: document.AnyRegion()}}

// authScheme returns the scheme in which callers send their token.
func (d *Dialect) authScheme() string { return cmp.Or(d.AuthScheme, "Bearer") }

// callerToken returns the token that a caller sent. A request with several Authorization headers has none: a reader could
// take any of them.
func (d *Dialect) callerToken(h http.Header) (token string, ok bool) {
	values := h["Authorization"]
	if len(values) != 1 {
		return "", false
	}
	scheme, token, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, d.authScheme()) {
		return "", false
	}
	token = strings.Trim(token, " ")
	return token, token != ""
}

// identifyWorkspace finds the workspace by the key of the request, if the route table requires keys. A key that is unknown
// may belong to a newer table.
func (p *requestPath) identifyWorkspace(c *call) *Refusal {
	c.caller = anyCaller
	table := c.lease.catalogue.routes
	if !table.KeysRequired {
		return nil
	}
	key, hasKey := p.dialect.callerToken(c.r.Header)
	caller, known := table.CallerByKey(key)
	switch {
	case hasKey && known:
		c.caller = caller
	case c.route.Public:
	case c.lease.mayBeUnknownRoute(p.clock.now()):
		return refuse(ReasonConfigurationStale, "the key belongs to no workspace, but there may be a newer configuration").withRetryAfter(retryAfterLong)
	case !hasKey:
		return refuse(ReasonUnauthenticated, "expected the key of a workspace")
	default:
		return refuse(ReasonUnauthenticated, "the key belongs to no workspace")
	}
	return c.place()
}

// identifyRelayedWorkspace takes the workspace from the other gateway, which has checked the key.
func (p *requestPath) identifyRelayedWorkspace(c *call) *Refusal {
	c.caller = anyCaller
	table := c.lease.catalogue.routes
	if !table.KeysRequired {
		return nil
	}
	caller, known := table.CallerOf(c.relayed.workspace)
	switch {
	case known:
		c.caller = caller
	case c.relayed.workspace != "" || !c.route.Public:
		return refuse(ReasonNoServer, "the workspace is not known here").withRetryAfter(retryAfterLong)
	}
	return c.place()
}

// place sets where the request may run: in the regions that both its route and its workspace permit.
func (c *call) place() *Refusal {
	regions := c.rule.RunIn.Intersect(c.caller.Tenant.Home)
	if regions.Empty() {
		return refuse(ReasonNoCommonRegion, "the workspace and the route have no home region in common")
	}
	c.placement = document.Placement{Home: document.AnyRegion(), RunIn: regions, KeepIn: document.Regions{}}
	return nil
}

// takeToken makes sure that the request has a valid token, if its workspace has a quota. A relay takes none: the gateway of the
// caller has one.
func (r *runner) takeToken() *Refusal {
	c, p := r.c, r.p
	if p.tokens == nil || c.relayed != nil || !c.caller.Tenant.IsLimited {
		return nil
	}
	if c.token != nil && c.token.IsValid(p.clock.now()) {
		return nil
	}
	token, err := p.tokens.Take(c.ctx, c.caller.Tenant.Name, time.Until(c.deadline))
	var spent *tokens.SpentError
	var unavailable *tokens.UnavailableError
	switch {
	case err == nil:
		c.token = &token
		return nil
	case errors.As(err, &spent):
		return refuse(ReasonQuota, "the quota of the workspace is spent").withRetryAfter(spent.RetryAfter)
	case errors.As(err, &unavailable):
		return refuse(ReasonQuotaUnavailable, "the quota of the workspace cannot be checked at present").withRetryAfter(unavailable.RetryAfter)
	}
	return refuse(ReasonDeadlineExceeded, "no token of the workspace within the deadline")
}

// giveBackToken gives back the token of a request that has reached no server.
func (r *runner) giveBackToken() {
	token, ok := r.c.currentToken()
	if r.c.token = nil; !ok {
		return
	}
	r.p.background.Go(func() { r.p.tokens.GiveBack(context.Background(), token) })
}

// currentToken returns the token of the request; false if it has none.
func (c *call) currentToken() (token tokens.Token, ok bool) {
	if c.token == nil {
		return tokens.Token{}, false
	}
	return *c.token, true
}

// setWorkspaceHeader puts the name of the workspace into the header of a request to a backend server, in the place of what
// the caller sent there. Where no keys are required, callers may use the header as they like.
func (p *requestPath) setWorkspaceHeader(c *call, h http.Header) {
	name := p.dialect.Workspace
	if name == "" || !c.requiresKeys() {
		return
	}
	deleteSpellings(h, name)
	if workspace := c.caller.Tenant.Name; workspace != "" {
		h.Set(name, workspace)
	}
}

// requiresKeys reports whether the route table of the call requires keys.
func (c *call) requiresKeys() bool {
	return c.lease.catalogue.routes != nil && c.lease.catalogue.routes.KeysRequired
}

// deleteSpellings deletes a header under each name that servers may take for the same: in any case, and with underscores in
// place of hyphens.
func deleteSpellings(h http.Header, name string) {
	for key := range h {
		if strings.EqualFold(strings.ReplaceAll(key, "_", "-"), name) {
			delete(h, key)
		}
	}
}
