// Package scenario measures the selection of backend servers on real gateway processes over loopback: each scenario runs
// once with the shipped selection and once with two choices by local in-flight counts. Run it with
// `scripts/bench.sh scenarios`; docs/measurements.md holds the results. Latencies between places are added by the
// stand-in servers; the control group, gossip and announcements have none.
package scenario
