#!/usr/bin/env bash
# A run of at most 60 s without interaction: applies the document of one example deployment, calls each service, kills a
# control replica and a process of backend servers in the middle, takes a failure domain out and in, and compares the
# journals of backend servers and callers. Fails if a request ran twice or in the wrong place.
set -euo pipefail
cd "$(dirname "$0")/.."
# shellcheck source=scripts/local.sh
source scripts/local.sh

prepare_folder run/demo
trap stop_all EXIT
trap 'exit 1' INT TERM
start_kerdrean

rennes=$(secret kerdrean kerdrean/rennes/line-1)
quimper=$(secret kerdrean kerdrean/quimper/line-1)
platform_key=examples/kerdrean/dev-key-kerdrean-platform.yaml

# call PART RATE REQUESTS: calls every service; quimper may be served in finistere only.
call() {
  "$standin" load -gateways "$(gateway_callers $kerdrean_port 1)@finistere,$(gateway_callers $kerdrean_port 2)@ille" \
    -rate "$2" -requests "$3" -seed "$1" -resends 2 -twins 0.02 -timeout 5s -journal "$base/part-$1.calls" \
    -target "GET /recipes token=$rennes home=finistere+ille weight=3" \
    -target "POST /recipes/search token=$rennes home=finistere+ille body=100" \
    -target "POST /labels once token=$rennes home=finistere+ille body=200 weight=2" \
    -target "POST /labels once token=$quimper home=finistere body=200" \
    -target "POST /audit/records once token=$rennes home=finistere+ille body=500" \
    -target "POST /intake/recipes once token=$rennes home=finistere+ille body=300"
}

domain() {
  "$heatherwall" domain -client "$base/kerdrean/client.yaml" -key "$platform_key" -wait "$1" finistere-b
}

echo "calling every service"
call 1 150 600
echo "killing a control replica and the backend servers of recipe-store in finistere-a"
call 2 150 900 &
load=$!
sleep 2
end kerdrean-control-2 KILL
end kerdrean-servers-recipe-store-finistere-a KILL
wait $load
echo "taking finistere-b out and in again"
call 3 150 1200 &
load=$!
sleep 1
domain out
sleep 2
domain in
wait $load

stop_all
journals=$(printf '%s,' "$base"/kerdrean/*.journal)
callers=$(printf '%s,' "$base"/part-*.calls)
"$standin" check -servers "$journals" -callers "$callers" -title demo
