#!/usr/bin/env bash
# Runs the bench of the real binary on loopback: added time of a gateway, use of replicas and gateways at 3 to 18
# gateways, and the time of a change. One process group at a time; takes about 3 minutes.
set -euo pipefail
cd "$(dirname "$0")/.."
exec go test -run '^$' -bench . -benchtime 1x -timeout 20m ./testbed/bench "$@"
