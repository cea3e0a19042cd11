// Package scenario measures the selection of backend servers with real gateway processes on loopback: each scenario runs
// once with the shipped selection and once with two random choices by local in-flight counts. Run it with
// `scripts/bench.sh scenarios`; docs/measurements.md holds the results. The stand-in servers add the latencies between
// places to requests; traffic of the control group, gossip and announcements has no added latency.
package scenario
