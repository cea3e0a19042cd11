// Package bench measures the real binary on loopback: the time that a gateway adds to a call, and what replicas and
// gateways use as their number grows. Run it with scripts/bench.sh.
package bench
