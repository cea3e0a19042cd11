#!/usr/bin/env bash
# Runs the benches. `scripts/bench.sh policy` compares the policies of selecting backend servers in virtual time and
# measures the cost of a decision; `scripts/bench.sh system` runs the real binary on loopback: added time of a gateway,
# use of replicas and gateways at 3 to 18 gateways, and the time of a change (about 3 minutes); `scripts/bench.sh scenarios`
# runs real gateways with stand-in servers through faults, each scenario with the shipped selection and with two choices
# by local in-flight counts (about 14 minutes). Without an argument the first two run. Further arguments go to the bench,
# for example: scripts/bench.sh policy -seed 2 -scenario noisy
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

which=${1:-all}
[ $# -gt 0 ] && shift
case $which in
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
