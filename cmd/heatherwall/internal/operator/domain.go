package operator

import "heatherwall.example/api/controlpb"

// runDomain takes a failure domain out or brings it back.
func runDomain(c *call, args []string) error {
	c.addChangeFlags()
	positional, err := c.parse(args, 2)
	if err != nil {
		return err
	}
	if positional[0] != "out" && positional[0] != "in" {
		return c.usage("expected out or in, got " + positional[0])
	}
	domain := &controlpb.DomainChange{FailureDomain: positional[1], Out: positional[0] == "out"}
	return c.change(&controlpb.Change{Domain: domain}, positional[0]+" "+positional[1])
}
