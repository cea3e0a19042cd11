#!/usr/bin/env bash
# Runs the benchmarks. Without an argument, policy and system run; further arguments are passed to the benchmark.
#
#   scripts/bench.sh policy     compares load-balancing policies in virtual time and measures the cost of a selection.
#   scripts/bench.sh system     runs the real binary on loopback: latency added by a gateway, resource usage of replicas
#                               and gateways with 3 to 18 gateways, and the latency of a change (about 3 minutes).
#   scripts/bench.sh scenarios  runs real gateways and simulated backend servers through faults, each scenario with the
#                               shipped selection and with the power of two choices on local in-flight counts (about
#                               14 minutes).
#
# Examples:
#   scripts/bench.sh policy -seed 2 -scenario noisy
#   scripts/bench.sh scenarios -seed 2 -deployment kerdrean -scenario 'steady|stragglers'
set -euo pipefail
cd "$(dirname "$0")/.."

policy() {
  go run ./testbed/policybench "$@"
  go test -run '^$' -bench '^BenchmarkPick$' -benchtime 200ms ./balance
}

system() {
  go test -run '^$' -bench . -benchtime 1x -timeout 20m ./testbed/bench "$@"
}

scenarios() {
  go test -run '^$' -bench '^BenchmarkScenarios$' -benchtime 1x -timeout 40m ./testbed/scenario -args "$@"
}

suite=${1:-all}
[ $# -gt 0 ] && shift
case $suite in
policy) policy "$@" ;;
system) system "$@" ;;
scenarios) scenarios "$@" ;;
all)
  policy "$@"
  system
  ;;
*)
  echo "usage: scripts/bench.sh [policy|system|scenarios] [arguments]" >&2
  exit 2
  ;;
esac
