#!/usr/bin/env bash
# A run of at most 60 s without interaction: applies the document of one example deployment, calls each service, kills a
# control replica and a process of backend servers under load, takes a failure domain out of service and back in, and
# compares the journals of backend servers and callers. Fails if a request ran twice or outside the home regions of its
# tenant.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/local.sh
source scripts/local.sh

create_folder run/demo
trap stop_all EXIT
trap 'exit 1' INT TERM
start_kerdrean

rennes_token=$(print_secret kerdrean kerdrean/rennes/line-1)
quimper_token=$(print_secret kerdrean kerdrean/quimper/line-1)
platform_key=examples/kerdrean/dev-key-kerdrean-platform.yaml

# send_requests PART RATE REQUESTS: calls every service; requests of quimper may be served in finistere only.
send_requests() {
  "$standin" load -gateways "$(gateway_caller_address $kerdrean_port 1)@finistere,$(gateway_caller_address $kerdrean_port 2)@ille" \
    -rate "$2" -requests "$3" -seed "$1" -resends 2 -twins 0.02 -timeout 5s -journal "$base/part-$1.calls" \
    -target "GET /recipes token=$rennes_token home=finistere+ille weight=3" \
    -target "POST /recipes/search token=$rennes_token home=finistere+ille body=100" \
    -target "POST /labels once token=$rennes_token home=finistere+ille body=200 weight=2" \
    -target "POST /labels once token=$quimper_token home=finistere body=200" \
    -target "POST /audit/records once token=$rennes_token home=finistere+ille body=500" \
    -target "POST /intake/recipes once token=$rennes_token home=finistere+ille body=300"
}

# set_domain STATE: takes finistere-b out of service (out) or back in (in).
set_domain() {
  "$heatherwall" domain -client "$base/kerdrean/client.yaml" -key "$platform_key" -wait "$1" finistere-b
}

echo "calling every service"
send_requests 1 150 600
echo "killing a control replica and the backend servers of recipe-store in finistere-a"
send_requests 2 150 900 &
load_pid=$!
sleep 2
stop_process kerdrean-control-2 KILL
stop_process kerdrean-servers-recipe-store-finistere-a KILL
wait $load_pid
echo "taking finistere-b out of service and back in"
send_requests 3 150 1200 &
load_pid=$!
sleep 1
set_domain out
sleep 2
set_domain in
wait $load_pid

stop_all
server_journals=$(printf '%s,' "$base"/kerdrean/*.journal)
caller_journals=$(printf '%s,' "$base"/part-*.calls)
"$standin" check -servers "$server_journals" -callers "$caller_journals" -title demo
