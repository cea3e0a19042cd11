package routes

import "testing"

// Guards against a rule of another service, and of one that gets no requests.
func TestRuleForService(t *testing.T) {
	c, err := Compile(newTable())
	if err != nil {
		t.Fatal(err)
	}
	split, _ := c.Match("b.example", "/")
	for _, service := range []string{"one", "two"} {
		if rule, ok := split.RuleFor(service); !ok || rule.Service.Name != service {
			t.Errorf("%s: %v, %v", service, rule, ok)
		}
	}
	short, _ := c.Match("a.example", "/x/")
	if rule, ok := short.RuleFor("two"); ok {
		t.Errorf("a rule of a service that the route does not use: %v", rule)
	}
}
