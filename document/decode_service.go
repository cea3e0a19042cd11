package document

import (
	"path"
	"slices"
	"strings"
)

var supportedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (r *reader) topology(f field) *topologySpec {
	m := r.mapping(f, "owner", "regions")
	t := &topologySpec{owner: r.owner(m.required("owner"))}
	for _, e := range r.entries(m.required("regions")) {
		r.checkName(e.key)
		domains := r.names(e.value)
		if len(domains) == 0 {
			r.report(e.key.at, ReasonMissing, "expected at least one failure domain")
		}
		t.regions = append(t.regions, regionSpec{name: e.key, domains: domains})
	}
	return t
}

func (r *reader) measuring(f field) *measuringSpec {
	m := r.mapping(f, "owner", "within_region", "across_regions")
	return &measuringSpec{
		owner:         r.owner(m.required("owner")),
		withinRegion:  r.size(m.required("within_region"), 1, maxMeasuringRate),
		acrossRegions: r.size(m.required("across_regions"), 1, maxMeasuringRate),
	}
}

// owner decodes an owner: MEMBER or MEMBER/TEAM.
func (r *reader) owner(f field) positionedName {
	const want = "MEMBER or MEMBER/TEAM"
	text := r.scalar(f, want)
	if text == "" {
		return positionedName{at: f.at}
	}
	member, team, found := strings.Cut(text, "/")
	if !validName(member) || (found && !validName(team)) {
		r.report(f.at, ReasonBadValue, "expected %s", want)
		return positionedName{at: f.at}
	}
	return positionedName{text, f.at}
}

func (r *reader) service(name positionedName, f field) serviceSpec {
	m := r.mapping(f, "owner", "credential_sha256", "claim_region", "workers", "slots", "connections", "rules")
	s := serviceSpec{name: name, owner: r.owner(m.required("owner"))}
	s.credential = r.hash(m.required("credential_sha256"))
	s.claimRegion = r.name(m.optional("claim_region"))
	s.workers = int(r.integer(m.required("workers"), 1, maxWorkers))
	s.slots = int(r.integer(m.required("slots"), 1, maxSlots))
	s.connections = int(r.integer(m.required("connections"), 1, maxConnections))
	rules := m.required("rules")
	for _, item := range r.items(rules) {
		s.rules = append(s.rules, r.rule(item))
	}
	if rules.node != nil && len(rules.node.Content) == 0 {
		r.report(rules.at, ReasonMissing, "expected at least one rule")
	}
	return s
}

func (r *reader) rule(f field) ruleSpec {
	m := r.mapping(f, "name", "methods", "path", "callers", "idempotent", "idempotency_key", "run_in", "keep_in",
		"home_regions", "deadline", "max_body", "hedge")
	s := ruleSpec{at: f.at, name: r.name(m.required("name"))}
	s.methods = r.methods(m.required("methods"))
	s.path = r.pathPrefix(m.required("path"))
	s.callers = r.callerPatterns(m.required("callers"))
	s.idempotent = r.boolean(m.required("idempotent"))
	s.keyPolicy = r.keyPolicy(m.optional("idempotency_key"), s.idempotent)
	s.runIn = r.regionList(m.optional("run_in"))
	s.keepIn = r.regionList(m.optional("keep_in"))
	s.homeRegions = r.regionList(m.optional("home_regions"))
	s.deadline = r.duration(m.required("deadline"), MinDeadline, MaxDeadline)
	s.maxBody = r.maxBody(m.optional("max_body"))
	s.hedge = r.hedge(m.optional("hedge"), s.idempotent)
	return s
}

func (r *reader) methods(f field) []positionedName {
	var list []positionedName
	seen := map[string]bool{}
	for _, item := range r.items(f) {
		text := r.scalar(item, "a method")
		switch {
		case text == "":
		case !slices.Contains(supportedMethods, text):
			r.report(item.at, ReasonBadValue, "expected one of %s", strings.Join(supportedMethods, ", "))
		case seen[text]:
			r.report(item.at, ReasonDuplicate, "expected each method once")
		default:
			list = append(list, positionedName{text, item.at})
		}
		seen[text] = true
	}
	if f.node != nil && len(f.node.Content) == 0 {
		r.report(f.at, ReasonMissing, "expected at least one method")
	}
	return list
}

func (r *reader) pathPrefix(f field) positionedName {
	text := r.scalar(f, "a path prefix")
	if text == "" {
		return positionedName{at: f.at}
	}
	if text[0] != '/' || len(text) > MaxPathBytes || path.Clean(text) != text || strings.ContainsAny(text, "?#%*\\ ") {
		r.report(f.at, ReasonBadValue, "expected a path prefix that starts with / and has no /. segments, escapes or / at the end")
		return positionedName{at: f.at}
	}
	return positionedName{text, f.at}
}

func (r *reader) callerPatterns(f field) []positionedName {
	var list []positionedName
	for _, item := range r.items(f) {
		text := r.scalar(item, "MEMBER/TENANT or MEMBER/*")
		if text == "" {
			continue
		}
		member, tenant, _ := strings.Cut(text, "/")
		if !validName(member) || (tenant != "*" && !validName(tenant)) {
			r.report(item.at, ReasonBadValue, "expected MEMBER/TENANT or MEMBER/*")
			continue
		}
		list = append(list, positionedName{text, item.at})
	}
	if f.node != nil && len(f.node.Content) == 0 {
		r.report(f.at, ReasonMissing, "expected at least one caller")
	}
	return list
}

func (r *reader) keyPolicy(f field, idempotent bool) IdempotencyKeyPolicy {
	if idempotent {
		if f.node != nil {
			r.report(f.at, ReasonBadValue, "expected no idempotency_key in an idempotent rule")
		}
		return IdempotencyKeyUnused
	}
	switch text := r.scalar(f, "required or optional"); text {
	case "", "required":
		return IdempotencyKeyRequired
	case "optional":
		return IdempotencyKeyOptional
	}
	r.report(f.at, ReasonBadValue, "expected required or optional")
	return IdempotencyKeyRequired
}

func (r *reader) maxBody(f field) int64 {
	if f.node == nil {
		return DefaultMaxBodyBytes
	}
	return r.size(f, 0, MaxBodyBytes)
}

func (r *reader) hedge(f field, idempotent bool) bool {
	hedge := r.boolean(f)
	if hedge && !idempotent {
		r.report(f.at, ReasonBadValue, "expected no hedge in a rule that is not idempotent")
	}
	return hedge
}
