#!/usr/bin/env bash
# Compares the policies of selecting backend servers in virtual time, and measures the cost of a decision.
# Arguments are passed on to policybench, for example: scripts/bench.sh -seed 2 -scenario noisy
set -euo pipefail
cd "$(dirname "$0")/.."
go run ./testbed/policybench "$@"
go test -run '^$' -bench '^BenchmarkPick$' -benchtime 200ms ./balance
