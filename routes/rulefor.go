package routes

import "heatherwall.example/document"

// RuleFor returns the rule for the requests of the route that go to the given service; ok is false if none go there.
func (r *Route) RuleFor(service string) (rule *document.Rule, ok bool) {
	for _, s := range r.shares {
		if s.rule.Service.Name == service {
			return s.rule, true
		}
	}
	return nil, false
}
