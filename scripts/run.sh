#!/usr/bin/env bash
# Starts both example deployments on loopback, each as a setup of its own: 3 control replicas, 2 gateways and stand-in
# backend servers. Prints the addresses and commands to try, and stops everything on Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/local.sh
source scripts/local.sh

prepare_folder run
trap stop_all EXIT
trap 'exit 0' INT TERM

start_kerdrean
start_wendover

cat <<'TEXT'

Both deployments serve. The control group of each decides what its gateways do.

TEXT
print_next_commands
echo "Press Ctrl-C to stop. Logs, settings and data are in the folder run."
while true; do sleep 1 & wait $!; done
