package operator

import (
	"slices"

	"heatherwall.example/api/controlpb"
)

const domainSummary = `take a failure domain out or bring it back.

Before a failure domain is taken out, the load is compared with the slots that remain in the other failure domains. The
command warns about each service whose load would take more than 80% of them, and if the load is not known, and then
proceeds. With -capacity=require it refuses when the slots are known to be too few, unless the change is resent with -id;
-capacity=skip disables the check`

// Values of the flag -capacity.
const (
	capacityWarn    = "warn"
	capacityRequire = "require"
	capacitySkip    = "skip"
)

// runDomain takes a failure domain out or brings it back.
func runDomain(c *invocation, args []string) error {
	c.addChangeFlags()
	c.flags.StringVar(&c.options.capacityMode, "capacity", capacityWarn, "what to do if the remaining slots cannot carry the load: `warn`, require or skip")
	positional, err := c.parse(args, 2)
	if err != nil {
		return err
	}
	if positional[0] != "out" && positional[0] != "in" {
		return c.usageError("expected out or in, got " + positional[0])
	}
	if !slices.Contains([]string{capacityWarn, capacityRequire, capacitySkip}, c.options.capacityMode) {
		return c.usageError("expected -capacity warn, require or skip, got " + c.options.capacityMode)
	}
	domain := &controlpb.DomainChange{FailureDomain: positional[1], Out: positional[0] == "out"}
	return c.submitChange(&controlpb.Change{Domain: domain}, positional[0]+" "+positional[1])
}
