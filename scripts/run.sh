#!/usr/bin/env bash
# Starts both example deployments on loopback, each as a separate setup of 3 control replicas, 2 gateways and simulated
# backend servers. Prints the addresses and commands to try, and stops everything on Ctrl-C.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/local.sh
source scripts/local.sh

create_folder run
trap stop_all EXIT
trap 'exit 0' INT TERM

start_kerdrean
start_wendover

cat <<'TEXT'

Both deployments are ready for requests. The control group of each deployment configures its gateways.

TEXT
print_next_commands
echo "Press Ctrl-C to stop. Logs, settings and data are in the folder run."
while true; do sleep 1 & wait $!; done
