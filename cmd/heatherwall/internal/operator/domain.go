package operator

import "heatherwall.example/api/controlpb"

const domainSummary = `take a failure domain out or bring it back.

Before a failure domain goes out, its load is compared with the slots that remain. The command warns of each service
whose load would take more than 80% of them and then refuses, unless -force is given or the change is sent again with
-id. It warns and goes on when the load is not known`

// runDomain takes a failure domain out or brings it back.
func runDomain(c *call, args []string) error {
	c.addChangeFlags()
	c.flags.BoolVar(&c.options.force, "force", false, "take the failure domain out without asking whether the rest can carry its load")
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
