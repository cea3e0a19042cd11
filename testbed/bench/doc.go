// Package bench measures the real binary on loopback: the time that a gateway adds to a call, the resources that replicas
// and gateways use as their numbers grow, and the cost of claims and restarts. Run it with scripts/bench.sh.
package bench
